"""Overload: which requests are served when not all of them can be.

Decides the order of a prefill queue and when refused callers return. The state
belongs to one queue and is lost with its process.
"""

from verbenahall.overload._delays import EngineDelays
from verbenahall.overload._earlier_waits import EarlierWaits
from verbenahall.overload._messages import (
    Candidate,
    Rank,
    Source,
    Stage,
    Turn,
)
from verbenahall.overload._outcomes import GroupOutcomes
from verbenahall.overload._report import report_overload
from verbenahall.overload._returns import ReturnTimes
from verbenahall.overload._selection import (
    EngineShare,
    make_rank,
    rank_candidates,
)
from verbenahall.overload._state import OverloadState

__all__ = (
    'Candidate',
    'EarlierWaits',
    'EngineDelays',
    'EngineShare',
    'GroupOutcomes',
    'OverloadState',
    'Rank',
    'ReturnTimes',
    'Source',
    'Stage',
    'Turn',
    'make_rank',
    'rank_candidates',
    'report_overload',
)
