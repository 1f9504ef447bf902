"""Slopes for docs/CAPACITY.md, measured on this machine.

``python -m verbenahall_standins.capacity folds`` measures state and processor
time of the folds in this process, ``... fleet`` those of what an instance keeps
and decides about a fleet, ``... rest`` the cost of instances that
serve nothing, as processes over loopback.
"""
