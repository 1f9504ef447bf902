"""Attempts of a request: identities, retries, retry budgets and streams."""

from verbenahall.requests._budget import RetryBudget, WindowBudget
from verbenahall.requests._decisions import (
    conclude,
    decide_next,
    describe_quarantine,
    may_have_run,
    name_outcome,
)
from verbenahall.requests._hindrances import (
    Limited,
    Quarantined,
    Unauthorized,
)
from verbenahall.requests._messages import (
    AttemptNames,
    Facts,
    GiveUp,
    Retry,
)
from verbenahall.requests._outcomes import (
    Broken,
    NeverWritten,
    Outcome,
    Refused,
    TimedOut,
    Unprepared,
)
from verbenahall.requests._stream import StreamState, StreamStep, feed

__all__ = (
    'AttemptNames',
    'Broken',
    'Facts',
    'GiveUp',
    'Limited',
    'NeverWritten',
    'Outcome',
    'Quarantined',
    'Refused',
    'Retry',
    'RetryBudget',
    'StreamState',
    'StreamStep',
    'TimedOut',
    'Unauthorized',
    'Unprepared',
    'WindowBudget',
    'conclude',
    'decide_next',
    'describe_quarantine',
    'feed',
    'may_have_run',
    'name_outcome',
)
