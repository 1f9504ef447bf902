"""Circuit breaker of an endpoint: closed, open after a failure, half-open.

An endpoint that is back after a failure has cold caches, or may fail again.
If all instances sent it their whole share at once, each of these requests
would be lost with it.
"""

import enum
from typing import Final, final

#: Time after which an endpoint that no probe has reached is tried by a request,
#: in seconds. Without probes, each request that tried it again lost a whole
#: connect timeout.
_UNREACHABLE_S: Final = 5.0
#: Time in seconds in which an endpoint is not probed after it has failed in its
#: trials: the first one, and the longest after several failures in a row.
_MIN_PAUSE_S: Final = 0.5
_MAX_PAUSE_S: Final = 8.0
#: Requests that must succeed, one after the other, until an endpoint is used
#: without a limit again.
_TRIALS: Final = 3
#: Longest time in seconds for which a trial without an outcome keeps others
#: from the endpoint. A scheduler may never get the outcome of one.
_TRIAL_S: Final = 10.0


@final
class Phase(enum.Enum):
    """Which requests an endpoint gets: all, none, or one at a time."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


@final
class Sending(enum.Enum):
    """Who limits the requests to an endpoint that is back.

    An instance counts its own requests. A scheduler counts those that it
    assigns, so an instance sends an assigned one whatever else it has open.
    """

    OWN = 'own'
    ASSIGNING = 'assigning'
    ASSIGNED = 'assigned'


@final
class Trial:
    """The request with which an endpoint is tried, and until when at most."""

    __slots__ = ('key', 'until')

    def __init__(self) -> None:
        """Start without a request."""
        self.key = ''
        self.until = -float('inf')


@final
class Breaker:
    """The circuit breaker of one endpoint; times are monotonic seconds.

    Until ``open_until`` it gets no request, and from ``probe_at`` on it is
    probed. ``trials_left`` is how many requests have to succeed until it
    counts as recovered, and ``trials`` the ones under way. ``pause_s`` is the
    last pause after a failed trial, and ``alerted`` whether only an alert of a
    peer has opened the breaker.
    """

    __slots__ = (
        'alerted',
        'open_until',
        'pause_s',
        'probe_at',
        'trials',
        'trials_left',
    )

    def __init__(self) -> None:
        """Start closed."""
        self.alerted = False
        self.open_until = -float('inf')
        self.pause_s: float = 0
        self.probe_at = -float('inf')
        self.trials = {sending: Trial() for sending in Sending}
        self.trials_left = 0

    def find_phase(self, now: float) -> Phase:
        """Return which requests the endpoint gets."""
        if now < self.open_until:
            return Phase.OPEN
        return Phase.HALF_OPEN if self.trials_left else Phase.CLOSED

    def admits(self, now: float, sending: Sending) -> bool:
        """Whether the endpoint may get another request."""
        if not self.trials_left:
            return True
        match self.find_phase(now):
            case Phase.OPEN:
                return False
            case Phase.HALF_OPEN:
                return now >= self.trials[sending].until
            case _:
                return True

    def is_probe_due(self, now: float) -> bool:
        """Whether the endpoint is excluded and may be probed."""
        return self.probe_at <= now < self.open_until


def open_breaker(
    breaker: Breaker, now: float, *, probe_after_s: float = 0
) -> None:
    """Exclude an endpoint that is not reached.

    The pause before the next probe doubles with each failure of an endpoint
    that was back; failures while it is excluded do not count again.
    ``probe_after_s`` delays the first probe.
    """
    phase = breaker.find_phase(now)
    if phase is Phase.HALF_OPEN:
        pause_s = max(_MIN_PAUSE_S, 2 * breaker.pause_s)
        breaker.pause_s = min(pause_s, _MAX_PAUSE_S)
    if phase is not Phase.OPEN:
        breaker.probe_at = now + max(breaker.pause_s, probe_after_s)
    until = now + breaker.pause_s + _UNREACHABLE_S
    breaker.open_until = max(breaker.open_until, until)
    breaker.trials_left = _TRIALS
    _clear_trials(breaker)


def begin_trial(
    breaker: Breaker, sending: Sending, key: str, now: float
) -> None:
    """Count a request that is sent to an endpoint that is back."""
    if breaker.find_phase(now) is Phase.HALF_OPEN:
        trial = breaker.trials[sending]
        trial.key = key
        trial.until = now + _TRIAL_S


def record_trial(
    breaker: Breaker, sending: Sending, now: float, *, good: bool
) -> None:
    """Record the outcome of a request.

    A failure without a trial under way is that of an earlier request, which
    was lost when the endpoint was.
    """
    if breaker.find_phase(now) is not Phase.HALF_OPEN:
        return
    trial = breaker.trials[sending]
    if good:
        breaker.trials_left -= 1
        trial.until = -float('inf')
        if not breaker.trials_left:
            close_breaker(breaker)
    elif now < trial.until:
        open_breaker(breaker, now)


def end_trial(breaker: Breaker, sending: Sending, key: str) -> None:
    """Allow the next trial after one that ended, maybe without an outcome.

    A stream has its outcome at its first event and may end long after that, so
    its end has no effect on a later trial.
    """
    trial = breaker.trials[sending]
    if trial.key == key:
        trial.until = -float('inf')


def admit_trials(breaker: Breaker) -> None:
    """Allow trials at an endpoint that has accepted a connection."""
    breaker.open_until = -float('inf')
    breaker.alerted = False


def close_breaker(breaker: Breaker) -> None:
    """Use an endpoint without a limit."""
    admit_trials(breaker)
    breaker.trials_left = 0
    breaker.pause_s = 0
    _clear_trials(breaker)


def _clear_trials(breaker: Breaker) -> None:
    for trial in breaker.trials.values():
        trial.until = -float('inf')
