"""Timings of the model, in whole ticks."""

from typing import Final

from verbenahall.authority import LeaseTiming
from verbenahall.orders import OrderTiming

SCOPE: Final = 'cardigan'
#: All times are whole ticks; pauses shorter than a tick have no effect.
LEASE: Final = LeaseTiming(lease_s=2, margin_s=0, clock_rate=0)
ORDERS: Final = OrderTiming(order_timeout_s=1, longest_pause_s=1)
