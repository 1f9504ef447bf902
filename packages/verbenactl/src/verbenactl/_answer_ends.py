"""How answers ended, from the lines ``answered`` of all instances."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any, Final

#: Result of a request by the end of its answer, but for ``whole``.
RESULT_BY_END: Final[Mapping[str, str]] = MappingProxyType(
    {
        'refused': 'refused',
        'broken_off': 'broken',
        'cut_off': 'cut',
        'deadline': 'deadline',
        'caller_left': 'left',
    },
)
WHOLE: Final = 'whole'
#: Sentence on the end of an answer, without whether part of it was sent.
_SENTENCE_BY_END: Final[Mapping[str, str]] = MappingProxyType(
    {
        WHOLE: "The endpoint's answer was passed on to its last byte",
        'refused': 'The instance refused the request, which has not run',
        'broken_off': 'The endpoint broke its answer off',
        'cut_off': 'The instance cut the answer off while the endpoint might'
        ' have gone on',
        'deadline': 'The time of the request was over before its answer was'
        ' whole',
        'caller_left': 'The caller left before its answer was whole',
    },
)
#: Ends to which it matters whether the caller had received a part.
_PARTIAL_ENDS: Final = frozenset(
    ('broken_off', 'cut_off', 'deadline', 'caller_left')
)
#: Pairs of the end that a peer logs of a request that it serves, and the end
#: that the instance logs that has forwarded it.
_PASSED_ON: Final = frozenset(
    (
        ('refused', WHOLE),
        ('broken_off', WHOLE),
        ('cut_off', WHOLE),
        ('deadline', WHOLE),
        ('cut_off', 'broken_off'),
        ('deadline', 'broken_off'),
    )
)
#: First digit of a successful HTTP status.
_SUCCESS: Final = '2'


def choose_answer(
    answers: Iterable[Mapping[str, Any]],
) -> Mapping[str, Any] | None:
    """Return the line ``answered`` that says how the answer ended.

    This is the last one, unless its instance has only passed on what a peer
    made of the request; then it is the peer's. None if there is no line.
    """
    chosen: Mapping[str, Any] | None = None
    for answer in answers:
        if chosen is None or not _is_passed_on(answer, chosen):
            chosen = answer
    return chosen


def is_success(answer: Mapping[str, Any]) -> bool:
    """Whether the status of a line ``answered`` is a success."""
    return str(answer.get('outcome', '')).startswith(_SUCCESS)


def describe_end(answer: Mapping[str, Any]) -> str | None:
    """Return a sentence on the end of an answer; None if it isn't logged."""
    end = answer.get('end')
    if end is None:
        return None
    sentence = _SENTENCE_BY_END.get(end, f'The answer ended as {end}')
    if end in _PARTIAL_ENDS:
        sent = 'part' if answer.get('begun') else 'none'
        sentence = f'{sentence}; {sent} of it had been sent'
    return f'{sentence}.'


def _is_passed_on(answer: Mapping[str, Any], before: Mapping[str, Any]) -> bool:
    end = answer.get('end')
    if end == WHOLE and is_success(answer):
        return False
    return (before.get('end'), end) in _PASSED_ON
