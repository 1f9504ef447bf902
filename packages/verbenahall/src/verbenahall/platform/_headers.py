"""Decodes callers' headers and endpoints' answers, and builds sends."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from multidict import CIMultiDict

from verbenahall.authentication import digest_key
from verbenahall.placement import Part, Work
from verbenahall.platform import _names as names

_MS_IN_SECOND: Final = 1000
_MISDIRECTED: Final = 421
#: Headers that concern one connection only, and those that the HTTP library
#: sets from the body.
_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
    ),
)
_READ_ONLY: Final = 'prefill'

_NOTHING: Final[frozenset[str]] = frozenset()

RawHeaders = Iterable[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """What a caller's headers say about its request.

    ``wait_s`` is how long the caller still waits, None when it does not say;
    ``last_event`` is the last event that it has of a broken stream, and
    ``key`` the digest of its API key, empty when it has none or several.
    """

    identity: str
    wait_s: float | None
    work: Work
    last_event: int | None
    key: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """What the system sets on one send to an endpoint.

    ``kv_source`` is where the KV cache of the prompt lies (address and
    handle). ``read_only`` has the prompt read and nothing generated.
    """

    endpoint: str
    wait_s: float
    priority: int | None = None
    read_only: bool = False
    kv_source: str = ''
    last_event: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What an endpoint's headers say about its answer.

    ``not_run`` is the endpoint's word that it has not started the request.
    ``signed`` tells whether the answer bears an endpoint's signature, and
    ``rates`` what it names as the requests a second that it takes, as text.
    ``misdirected`` means that another endpoint has answered.
    """

    not_run: bool
    signed: bool
    rates: tuple[str, ...] = ()
    misdirected: bool = False


def read_ask(headers: Mapping[str, str]) -> Ask:
    """Decode a caller's headers; what cannot be read counts as absent."""
    return Ask(
        identity=headers.get(names.REQUEST_ID, ''),
        wait_s=_read_wait(headers.get(names.DEADLINE_MS, '')),
        work=_read_work(headers),
        last_event=read_event_number(headers.get(names.LAST_EVENT_ID, '')),
        key=_read_key(headers),
    )


def read_event_number(text: str) -> int | None:
    """Return an event's number, None when it has none."""
    return int(text) if text.isascii() and text.isdigit() else None


def build_send_headers(
    raw: RawHeaders,
    order: SendOrder,
    workspace: str = '',
) -> CIMultiDict[str]:
    """Build the headers of a send from the caller's own ones.

    The endpoint is told the ``workspace``, if the request runs in its name.

    Headers that only the system may set are left out, whatever the caller
    has sent: with them a caller could read another one's KV cache.
    """
    headers = strip_hop_headers(raw, names.SYSTEM_HEADERS)
    headers[names.EXPECT_ENDPOINT] = order.endpoint
    if workspace:
        headers[names.TENANT] = workspace
    wait_ms = max(1, int(order.wait_s * _MS_IN_SECOND))
    headers[names.DEADLINE_MS] = str(wait_ms)
    if order.priority is not None:
        headers[names.PRIORITY] = str(order.priority)
    if order.read_only:
        headers[names.STAGE] = _READ_ONLY
    if order.kv_source:
        headers[names.KV_FROM] = order.kv_source
    if order.last_event is not None:
        headers[names.LAST_EVENT_ID] = str(order.last_event)
    return headers


def strip_hop_headers(
    raw: RawHeaders,
    left_out: frozenset[str] = _NOTHING,
) -> CIMultiDict[str]:
    """Return the headers that travel from end to end.

    A header that ``Connection`` names concerns that connection only.
    """
    pairs = [
        (
            name.decode('utf-8', 'surrogateescape'),
            found.decode('utf-8', 'surrogateescape'),
        )
        for name, found in raw
    ]
    dropped = _HOP_HEADERS | left_out | _find_named(pairs)
    return CIMultiDict(pair for pair in pairs if pair[0].lower() not in dropped)


def read_answer(status: int, headers: Mapping[str, str]) -> AnswerFacts:
    """Decode what an endpoint says about its own answer."""
    every = CIMultiDict(headers)
    return AnswerFacts(
        not_run=names.NOT_RUN in headers or status == _MISDIRECTED,
        signed=names.STAMP in headers,
        rates=tuple(
            text for name in names.RATES for text in every.getall(name, ())
        ),
        misdirected=status == _MISDIRECTED,
    )


def _find_named(pairs: Sequence[tuple[str, str]]) -> frozenset[str]:
    return frozenset(
        token.strip().lower()
        for name, found in pairs
        if name.lower() == 'connection'
        for token in found.split(',')
    )


def _read_key(headers: Mapping[str, str]) -> bytes:
    keys = CIMultiDict(headers).getall(names.KEY, ())
    return digest_key(keys[0]) if len(keys) == 1 else b''


def _read_wait(text: str) -> float | None:
    if text.isascii() and text.isdigit():
        return int(text) / _MS_IN_SECOND
    return None


def _read_work(headers: Mapping[str, str]) -> Work:
    prompt, _, output = headers.get(names.TOKEN_COUNT, '').partition(',')
    hint = read_event_number(headers.get(names.LENGTH_HINT, '').strip())
    most = read_event_number(output.strip()) or 0
    return Work(
        parts=tuple(_read_parts(headers.get(names.PROMPT_PREFIX, ''))),
        prompt_tokens=read_event_number(prompt.strip()) or 0,
        # The count is the most that may come; the hint is right at the
        # median.
        output_tokens=most if hint is None else min(hint, most),
    )


def _read_parts(text: str) -> Iterable[Part]:
    for item in text.split(','):
        identity, _, tokens = item.strip().partition(':')
        if identity and tokens.isascii() and tokens.isdigit():
            yield Part(identity, int(tokens))
