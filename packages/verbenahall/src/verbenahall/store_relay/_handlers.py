"""What an instance does with the records of a topic."""

import dataclasses
from collections.abc import Callable, Mapping

from verbenahall.platform import KeyedRecord
from verbenahall.store_relay._reachability import Received


@dataclasses.dataclass(frozen=True, slots=True)
class TopicHandler:
    """A topic, and the handlers for its records.

    ``apply_record`` is called for each changed record, and ``apply_all`` with
    the records of a whole read. After a change the topic is not polled for
    ``pause_s``, because changes mostly come in groups, which then cost one
    call. With ``newest_only`` each record replaces those before it: of several
    that arrive at once, only the newest for which ``apply_record`` returns True
    is applied.
    """

    topic: str
    apply_record: Callable[[KeyedRecord, Received], object]
    apply_all: Callable[[Mapping[str, bytes], Received], None]
    pause_s: float
    newest_only: bool = False
