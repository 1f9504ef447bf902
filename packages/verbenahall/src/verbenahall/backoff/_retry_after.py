"""Reads the Retry-After headers of an endpoint's refusal (RFC 9110, 10.2.3)."""

import datetime
import re
from collections.abc import Sequence
from email import utils
from typing import Final

from returns.maybe import Maybe, Nothing, Some

#: Longest backoff that is observed, in seconds. A faulty header must not take
#: an endpoint out of use for good.
_MAX_BACKOFF_S: Final = 3600.0
#: Seconds, also with a fraction, which some endpoints send.
_SECONDS: Final = re.compile(r'\d+(?:\.\d*)?|\.\d+', re.ASCII)


def read_retry_after(texts: Sequence[str], date: str = '') -> Maybe[float]:
    """Return the backoff that a refusal requests, in seconds.

    Nothing if there is no header with a positive time. Of several the longest
    one applies, and none lasts longer than an hour. An HTTP date is relative
    to ``date``, the Date header of the same answer, because the clocks of the
    two machines may differ; without that header it is invalid. So are
    negative numbers and any other text::

        read_retry_after(['3'])  # Some(3.0)
        read_retry_after(['-1', 'soon'])  # Nothing
    """
    longest_s = max((_read_seconds(text, date) for text in texts), default=0)
    return Some(min(longest_s, _MAX_BACKOFF_S)) if longest_s > 0 else Nothing


def _read_seconds(text: str, date: str) -> float:
    """Return the time that one header states, 0 if it is invalid."""
    stripped = text.strip()
    if _SECONDS.fullmatch(stripped):
        return float(stripped)
    end, sent = (_read_date(one) for one in (stripped, date))
    if end is None or sent is None:
        return 0
    return (end - sent).total_seconds()


def _read_date(text: str) -> datetime.datetime | None:
    try:
        parsed = utils.parsedate_to_datetime(text)
    except (TypeError, ValueError, OverflowError):
        return None
    # A date without a zone can't be compared with one that has a zone.
    return parsed.replace(tzinfo=parsed.tzinfo or datetime.UTC)
