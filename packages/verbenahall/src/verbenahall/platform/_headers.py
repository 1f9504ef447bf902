"""Decodes headers of requests and answers, and builds those of sends."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from multidict import CIMultiDict

from verbenahall.authentication import digest_key
from verbenahall.placement import Part, Work
from verbenahall.platform import _names as names

_MS_IN_SECOND: Final = 1000
_MISDIRECTED: Final = 421
#: Statuses whose Retry-After is meant for this system.
_REFUSALS: Final = frozenset((429, 503))
#: Hop-by-hop headers, and those that the HTTP library sets from the body.
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
_PREFILL_STAGE: Final = 'prefill'
#: Longest request id by which a stream is taken up, in characters.
_MAX_RESUMED_ID: Final = 128

_NO_NAMES: Final[frozenset[str]] = frozenset()

RawHeaders = Iterable[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """The headers of a caller's request that the system uses.

    ``identity`` is the request id, empty if there is none. ``wait_s`` is how
    long the caller still waits, None if it is not stated. ``last_event`` is
    the last event that the caller received of a broken stream, ``resumes`` the
    request id of the attempt that brought the first one, empty if there is
    none, more than one or a longer one than ids are. ``key`` is the digest of
    its API key, empty if there is none or more than one.
    """

    identity: str
    wait_s: float | None
    work: Work
    last_event: int | None
    key: bytes = b''
    resumes: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class SendOptions:
    """The headers that the system sets on one send to an endpoint.

    ``endpoint`` is the name of the endpoint that must answer. ``kv_source``
    locates the KV cache of the prompt (address and handle). With
    ``prefill_only`` the engine prefills the prompt and decodes nothing.
    """

    endpoint: str
    wait_s: float
    priority: int | None = None
    prefill_only: bool = False
    kv_source: str = ''
    last_event: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """The headers of an endpoint's answer that the system uses.

    ``not_run`` means that the endpoint has not started the request, ``stated``
    that the answer says so, and ``identified`` that it has a request id.
    ``signed`` is whether the answer has an endpoint's signature. ``rates``
    holds the rates that the endpoint advertises, in requests per second, as
    text. ``misdirected`` means that another endpoint has answered.
    ``leaving`` means that the endpoint is about to exit. ``retry_after`` holds
    the Retry-After headers of a refusal and ``date`` its Date header, as text.
    """

    not_run: bool
    signed: bool
    rates: tuple[str, ...] = ()
    misdirected: bool = False
    leaving: bool = False
    retry_after: tuple[str, ...] = ()
    date: str = ''
    stated: bool = False
    identified: bool = False


def read_request_head(headers: Mapping[str, str]) -> RequestHead:
    """Decode a caller's headers; invalid values count as absent."""
    return RequestHead(
        identity=headers.get(names.REQUEST_ID, ''),
        wait_s=_parse_wait(headers.get(names.DEADLINE_MS, '')),
        work=_read_work(headers),
        last_event=read_event_number(headers.get(names.LAST_EVENT_ID, '')),
        key=_read_key(headers),
        resumes=_read_resumed_id(headers),
    )


def read_event_number(text: str) -> int | None:
    """Return an event's number, None if it is not a number."""
    return int(text) if text.isascii() and text.isdigit() else None


def build_send_headers(
    raw: RawHeaders,
    options: SendOptions,
    workspace: str = '',
) -> CIMultiDict[str]:
    """Build the headers of a send from those of the caller.

    ``workspace`` is passed to the endpoint if the request belongs to one.
    Headers that only the system may set are removed from the caller's. A caller
    that could set them would, for example, read another one's KV cache.
    """
    headers = strip_hop_headers(raw, names.SYSTEM_HEADERS)
    headers[names.EXPECT_ENDPOINT] = options.endpoint
    if workspace:
        headers[names.TENANT] = workspace
    headers[names.DEADLINE_MS] = _format_wait(options.wait_s)
    if options.priority is not None:
        headers[names.PRIORITY] = str(options.priority)
    if options.prefill_only:
        headers[names.STAGE] = _PREFILL_STAGE
    if options.kv_source:
        headers[names.KV_FROM] = options.kv_source
    if options.last_event is not None:
        headers[names.LAST_EVENT_ID] = str(options.last_event)
    return headers


def build_forward_headers(
    raw: RawHeaders,
    wait_s: float,
    last_event: int | None,
) -> CIMultiDict[str]:
    """Build the headers of a request that another instance serves.

    They are those of the caller, with the time that is left in seconds, and
    the last event that the caller has received.
    """
    headers = strip_hop_headers(raw)
    headers[names.DEADLINE_MS] = _format_wait(wait_s)
    if last_event is not None:
        headers[names.LAST_EVENT_ID] = str(last_event)
    return headers


def strip_hop_headers(
    raw: RawHeaders,
    excluded: frozenset[str] = _NO_NAMES,
) -> CIMultiDict[str]:
    """Return the end-to-end headers, without those in ``excluded``.

    Headers that ``Connection`` names are hop-by-hop too.
    """
    pairs = [
        (
            name.decode('utf-8', 'surrogateescape'),
            found.decode('utf-8', 'surrogateescape'),
        )
        for name, found in raw
    ]
    dropped = _HOP_HEADERS | excluded | _find_connection_headers(pairs)
    return CIMultiDict(pair for pair in pairs if pair[0].lower() not in dropped)


def strip_answer_headers(status: int, raw: RawHeaders) -> CIMultiDict[str]:
    """Return the headers of an endpoint's answer that callers get.

    What an endpoint states about itself concerns this system only. That
    includes the Retry-After of a refusal: a caller's next request may go to
    another endpoint.
    """
    headers = strip_hop_headers(raw, names.ENDPOINT_HEADERS)
    if status in _REFUSALS:
        headers.popall(names.RETRY_AFTER, None)
    return headers


def read_answer_head(status: int, headers: Mapping[str, str]) -> AnswerHead:
    """Decode the headers of an endpoint's answer."""
    all_headers = CIMultiDict(headers)
    leaving = _list_values(all_headers, names.LEAVING)
    return AnswerHead(
        not_run=names.NOT_RUN in headers or status == _MISDIRECTED,
        signed=names.STAMP in headers,
        rates=_list_values(all_headers, names.RATES),
        misdirected=status == _MISDIRECTED,
        leaving=names.LEAVING_YES in {text.strip() for text in leaving},
        retry_after=_list_values(
            all_headers, (names.RETRY_AFTER,) if status in _REFUSALS else ()
        ),
        date=headers.get(names.DATE, ''),
        stated=names.NOT_RUN in headers,
        identified=names.REQUEST_ID in headers,
    )


def _list_values(
    headers: CIMultiDict[str], header_names: Iterable[str]
) -> tuple[str, ...]:
    """Return the values of headers that may occur several times."""
    return tuple(
        text for name in header_names for text in headers.getall(name, ())
    )


def _find_connection_headers(
    pairs: Sequence[tuple[str, str]],
) -> frozenset[str]:
    return frozenset(
        token.strip().lower()
        for name, found in pairs
        if name.lower() == 'connection'
        for token in found.split(',')
    )


def _read_key(headers: Mapping[str, str]) -> bytes:
    keys = CIMultiDict(headers).getall(names.KEY, ())
    return digest_key(keys[0]) if len(keys) == 1 else b''


def _read_resumed_id(headers: Mapping[str, str]) -> str:
    found = CIMultiDict(headers).getall(names.RESUMES, ())
    if len(found) != 1 or len(found[0]) > _MAX_RESUMED_ID:
        return ''
    return found[0].strip()


def _format_wait(wait_s: float) -> str:
    return str(max(1, int(wait_s * _MS_IN_SECOND)))


def _parse_wait(text: str) -> float | None:
    if text.isascii() and text.isdigit():
        return int(text) / _MS_IN_SECOND
    return None


def _read_work(headers: Mapping[str, str]) -> Work:
    prompt, _, output = headers.get(names.TOKEN_COUNT, '').partition(',')
    hint = read_event_number(headers.get(names.LENGTH_HINT, '').strip())
    max_output = read_event_number(output.strip()) or 0
    return Work(
        parts=tuple(_read_parts(headers.get(names.PROMPT_PREFIX, ''))),
        prompt_tokens=read_event_number(prompt.strip()) or 0,
        # The token count is an upper bound; the hint is the median of the
        # actual length.
        output_tokens=max_output if hint is None else min(hint, max_output),
    )


def _read_parts(text: str) -> Iterable[Part]:
    for item in text.split(','):
        identity, _, tokens = item.strip().partition(':')
        if identity and tokens.isascii() and tokens.isdigit():
            yield Part(identity, int(tokens))
