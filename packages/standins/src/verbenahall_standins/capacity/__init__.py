"""Measures how cost grows with size, for docs/CAPACITY.md.

``python -m verbenahall_standins.capacity MEASUREMENT`` runs one of three
measurements on this machine:

- ``folds``: memory and processor time of the states built from the log, in
  this process;
- ``fleet``: memory and processor time of membership, routing and rollout,
  in this process;
- ``rest``: processor time, memory and traffic of idle instances, run as
  processes over loopback.
"""
