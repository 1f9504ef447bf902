"""Attempts of a request: identities, retries, retry budgets and streams."""

from verbenahall.requests._budget import RetryBudget, WindowBudget
from verbenahall.requests._decisions import (
    build_problem,
    decide_retry,
    build_quarantine_problem,
    may_have_run,
    get_outcome_label,
)
from verbenahall.requests._not_sent import (
    Limited,
    Quarantined,
    Unauthorized,
)
from verbenahall.requests._messages import (
    AttemptIds,
    RetryContext,
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
from verbenahall.requests._stream_check import (
    StreamState,
    StreamStep,
    process_chunk,
)

__all__ = (
    'AttemptIds',
    'Broken',
    'RetryContext',
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
    'build_problem',
    'decide_retry',
    'build_quarantine_problem',
    'process_chunk',
    'may_have_run',
    'get_outcome_label',
)
