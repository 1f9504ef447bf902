"""What a retry was charged for, until it is placed."""

from typing import final

from verbenahall.requests import Outcome, WindowBudget, is_charged


@final
class RetryCharge:
    """The sends that the retry budget was charged for the next attempt.

    A retry is charged before it is placed, with a prefill of its own. It may
    turn out to take fewer sends, or none.
    """

    __slots__ = ('_budget', '_sends')

    def __init__(self, budget: WindowBudget) -> None:
        """Start with nothing charged to the budget of a service."""
        self._budget = budget
        self._sends = 0

    def record(self, outcome: Outcome, sends: int) -> None:
        """Note that a retry after an outcome was charged, if it is charged."""
        self._sends = sends if is_charged(outcome) else 0

    def settle(self, sends: int) -> None:
        """Take back the charge beyond the sends that the attempt takes."""
        self._budget.refund(max(self._sends - sends, 0))
        self._sends = 0
