"""What the clients of a crowd send, one form for each kind of misuse."""

import dataclasses
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

_BODY_BYTES: Final = 4_194_304
_PIECE_BYTES: Final = 65_536
_SLOW_BODY_BYTES: Final = 1_000_000
_SLOW_BYTES: Final = 17_000
_SENT_AHEAD_BYTES: Final = 8000
_LONG_TEXT_BYTES: Final = 15_000
_LONG_LINE_BYTES: Final = 60_000
_HEADERS: Final = 60_000
_RECONNECTS: Final = 2000
#: How long clients open connections, in seconds: less than the time after which
#: one without a request is closed.
_RECONNECT_S: Final = 45.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Where a crowd's requests go: the host, and paths of a listener.

    ``small`` is answered shortly, ``large`` with a megabyte, and ``upload``
    takes a body. ``unknown`` has no route.
    """

    host: str
    small: str
    large: str
    upload: str
    unknown: str = '/nowhere/1'

    def make_head(self, method: str, path: str, *fields: str) -> bytes:
        """Return the head of a request, with the given header lines."""
        lines = (
            f'{method} {path} HTTP/1.1',
            f'Host: {self.host}',
            'X-Verbenahall-Request-Id: crowd-1',
            *fields,
            '',
            '',
        )
        return '\r\n'.join(lines).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """The bytes of one request of a client, or of many sent ahead.

    ``piece`` is sent until ``piece_bytes`` have been sent, then ``end``. All of
    it is sent ``repeats`` times. A client that ``reads`` waits for each answer;
    the others read nothing. One that ``drips`` then goes on with one byte a
    second, and one that ``reconnects`` closes its connection and opens another
    one so many times.
    """

    head: bytes = b''
    piece: bytes = b''
    piece_bytes: int = 0
    end: bytes = b''
    repeats: int = 1
    reads: bool = False
    drips: bool = False
    reconnects: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """A kind of crowd: how many clients, and what each of them sends.

    A client tries to send for ``send_s`` seconds.
    """

    clients: int
    make_script: Callable[[Target], Script]
    send_s: float = 5.0


def _make_upload_head(target: Target, path: str, length: int) -> bytes:
    return target.make_head('POST', path, f'Content-Length: {length}')


def _make_chunked_head(target: Target) -> bytes:
    return target.make_head('POST', target.upload, 'Transfer-Encoding: chunked')


def _begin_head(target: Target) -> bytes:
    """Return a head without the empty line at its end."""
    return target.make_head('GET', target.small).removesuffix(b'\r\n')


def _send_endless_line(target: Target) -> Script:
    head = _begin_head(target) + b'X-A: '
    return Script(head, b'a' * _PIECE_BYTES, 4 * _BODY_BYTES)


def _send_endless_headers(target: Target) -> Script:
    return Script(_begin_head(target), b'X-A: b\r\n' * 8192, 4 * _BODY_BYTES)


def _send_many_headers(target: Target) -> Script:
    head = _begin_head(target) + b'X-A: b\r\n' * _HEADERS
    return Script(head, end=b'\r\n')


def _send_partial_line(target: Target) -> Script:
    return Script(_begin_head(target) + b'X-A: ' + b'a' * _LONG_LINE_BYTES)


def _send_empty_lines(target: Target) -> Script:
    return Script(b'', b'\r\n' * 32_768, 16 * _BODY_BYTES)


def _send_whole_bodies(target: Target) -> Script:
    head = _make_upload_head(target, target.upload, _BODY_BYTES)
    piece = bytes(_PIECE_BYTES)
    return Script(head, piece, _BODY_BYTES, repeats=25, reads=True)


def _send_tiny_chunks(target: Target) -> Script:
    return Script(
        _make_chunked_head(target), b'1\r\na\r\n' * 10_000, 8 * _BODY_BYTES
    )


def _send_endless_trailer(target: Target) -> Script:
    head = _make_chunked_head(target) + b'1\r\na\r\n0\r\n'
    line = b'X-A: ' + b'a' * _LONG_LINE_BYTES + b'\r\n'
    return Script(head, line, 2 * _BODY_BYTES)


def _send_all_but_the_end(target: Target) -> Script:
    head = _make_upload_head(target, target.upload, _BODY_BYTES)
    return _leave_out_last_byte(head)


def _send_chunks_all_but_the_end(target: Target) -> Script:
    chunk = b'10000\r\n' + bytes(_PIECE_BYTES) + b'\r\n'
    count = _BODY_BYTES // _PIECE_BYTES
    return Script(_make_chunked_head(target), chunk, (count - 1) * len(chunk))


def _send_without_route(target: Target) -> Script:
    head = _make_upload_head(target, target.unknown, _BODY_BYTES)
    return _leave_out_last_byte(head)


def _leave_out_last_byte(head: bytes) -> Script:
    """Send a body but for its last byte."""
    piece = bytes(_PIECE_BYTES)
    return Script(head, piece, _BODY_BYTES - _PIECE_BYTES, piece[:-1])


def _send_slowly(target: Target) -> Script:
    """Declare a large body, and send hardly any of it."""
    head = _make_upload_head(target, target.upload, _SLOW_BODY_BYTES)
    return Script(head, end=bytes(_SLOW_BYTES), drips=True)


def _send_ahead(target: Target) -> Script:
    field = 'X-Filler: ' + 'a' * _SENT_AHEAD_BYTES
    return Script(target.make_head('GET', target.small, field), repeats=500)


def _send_bodies_ahead(target: Target) -> Script:
    head = _make_upload_head(target, target.upload, _PIECE_BYTES)
    return Script(head, end=bytes(_PIECE_BYTES), repeats=200)


def _leave_answers_unread(target: Target) -> Script:
    return Script(target.make_head('GET', target.large), repeats=100)


def _leave_small_answers_unread(target: Target) -> Script:
    return Script(target.make_head('GET', target.small), repeats=20_000)


def _send_nothing(target: Target) -> Script:
    return Script()


def _open_short_connections(target: Target) -> Script:
    return Script(reconnects=_RECONNECTS)


def _send_on_short_connections(target: Target) -> Script:
    head = target.make_head('GET', target.small)
    return Script(head, reads=True, reconnects=_RECONNECTS)


def _send_long_paths(target: Target) -> Script:
    path = target.unknown + 'a' * _LONG_TEXT_BYTES
    head = target.make_head('GET', path)
    return Script(head, repeats=400, reads=True)


def _send_long_identities(target: Target) -> Script:
    head = target.make_head('GET', target.small)
    identity = b'crowd-' + b'a' * _LONG_TEXT_BYTES
    return Script(head.replace(b'crowd-1', identity), repeats=300, reads=True)


#: Forms at the listener of callers.
FORMS: Final[Mapping[str, Form]] = MappingProxyType(
    {
        'one-endless-header-line': Form(8, _send_endless_line),
        'endless-header-lines': Form(100, _send_endless_headers),
        'many-short-headers': Form(300, _send_many_headers),
        'partial-header-line': Form(700, _send_partial_line),
        'empty-lines': Form(100, _send_empty_lines),
        'whole-bodies-of-one-client': Form(1, _send_whole_bodies),
        'whole-bodies': Form(8, _send_whole_bodies),
        'one-byte-chunks': Form(60, _send_tiny_chunks),
        'endless-trailers': Form(40, _send_endless_trailer),
        'bodies-all-but-the-end': Form(40, _send_all_but_the_end),
        'chunked-bodies-all-but-the-end': Form(
            40, _send_chunks_all_but_the_end
        ),
        'bodies-without-route': Form(300, _send_without_route),
        'slow-bodies': Form(40, _send_slowly),
        'slow-bodies-on-all-connections': Form(700, _send_slowly),
        'sent-ahead': Form(100, _send_ahead),
        'bodies-sent-ahead': Form(100, _send_bodies_ahead),
        'unread-answers': Form(100, _leave_answers_unread),
        'small-unread-answers': Form(100, _leave_small_answers_unread),
        'connections-without-request': Form(700, _send_nothing),
        'short-connections': Form(10, _open_short_connections, _RECONNECT_S),
        'requests-on-short-connections': Form(
            10, _send_on_short_connections, _RECONNECT_S
        ),
        'long-paths': Form(20, _send_long_paths),
        'long-request-ids': Form(20, _send_long_identities),
    }
)

#: Forms at the listeners of a process that are not for callers' requests.
LISTENER_FORMS: Final[Mapping[str, Form]] = MappingProxyType(
    {
        name: FORMS[name]
        for name in (
            'one-endless-header-line',
            'endless-header-lines',
            'many-short-headers',
            'partial-header-line',
            'empty-lines',
            'one-byte-chunks',
            'bodies-all-but-the-end',
            'sent-ahead',
            'small-unread-answers',
            'connections-without-request',
            'short-connections',
        )
    }
)

#: Forms at the product's own interface, where routes are not by host.
SERVICE_FORMS: Final[Mapping[str, Form]] = MappingProxyType(
    {
        name: form
        for name, form in FORMS.items()
        if name not in {'unread-answers', 'long-request-ids'}
    }
)
