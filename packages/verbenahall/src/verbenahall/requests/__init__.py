"""Attempts of a request: identities, retries, retry budgets and streams."""

from verbenahall.requests._budget import (
    DeferredBudget,
    RetryBudget,
    WindowBudget,
)
from verbenahall.requests._decisions import (
    build_problem,
    build_quarantine_problem,
    build_stopping_problem,
    decide_retry,
    get_outcome_label,
    is_charged,
    may_have_run,
)
from verbenahall.requests._messages import (
    AttemptIds,
    GiveUp,
    Retry,
    RetryContext,
)
from verbenahall.requests._not_sent import (
    HELD_BACK,
    BackingOff,
    Limited,
    Quarantined,
    Stopping,
    Unauthorized,
)
from verbenahall.requests._outcomes import (
    Broken,
    NeverWritten,
    NotSent,
    Outcome,
    Refused,
    Silent,
    TimedOut,
    Unprepared,
)
from verbenahall.requests._stream_check import (
    StreamState,
    StreamStep,
    process_chunk,
)

__all__ = (
    'HELD_BACK',
    'DeferredBudget',
    'AttemptIds',
    'BackingOff',
    'Broken',
    'GiveUp',
    'Limited',
    'NeverWritten',
    'NotSent',
    'Outcome',
    'Quarantined',
    'Refused',
    'Retry',
    'RetryBudget',
    'RetryContext',
    'Silent',
    'Stopping',
    'StreamState',
    'StreamStep',
    'TimedOut',
    'Unauthorized',
    'Unprepared',
    'WindowBudget',
    'build_problem',
    'build_quarantine_problem',
    'build_stopping_problem',
    'decide_retry',
    'get_outcome_label',
    'is_charged',
    'may_have_run',
    'process_chunk',
)
