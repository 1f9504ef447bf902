"""Reads callers' headers and bodies, refusing what is malformed."""

import math
from collections.abc import Iterable, Mapping
from typing import Any, Final

import xxhash
from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import wire
from verbenahall.admission import LOWEST_PRIORITY, Ticket
from verbenahall.errors import ErrorKind, Problem
from verbenahall.front._messages import Head, ModelCall, ServiceCall

_DEFAULT_PRIORITY: Final = 2
_DEFAULT_WORKSPACE: Final = 'default'
_DEFAULT_OUTPUT_TOKENS: Final = 256
_LONGEST_DEADLINE_MS: Final = 3_600_000
_LONGEST_NAME: Final = 256
_TEXT_PER_TOKEN: Final = 4
#: Only a prompt longer than this is worth gathering on one engine.
_PREFIX_TEXT: Final = 1024
_SERVICES: Final = '/services/'
_ANY_BYTES: Final = 'application/octet-stream'
#: Methods that may be repeated by the definition of HTTP.
_IDEMPOTENT: Final = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
_MS_PER_S: Final = 1000
_PRIORITIES: Final = tuple(str(row) for row in range(LOWEST_PRIORITY + 1))


def read_head(
    headers: Mapping[str, str],
    request: str,
    default_deadline_s: float,
    now: float,
) -> Result[Head, Problem]:
    """Check the headers that every route shares."""
    priority = headers.get('X-Priority', str(_DEFAULT_PRIORITY))
    deadline_ms = headers.get('X-Deadline-Ms', '')
    workspace = headers.get('X-Workspace', _DEFAULT_WORKSPACE)
    key = headers.get('Idempotency-Key', '')
    if priority not in _PRIORITIES:
        return _refuse(f'X-Priority must be 0 to {LOWEST_PRIORITY}')
    wait_s = _read_deadline(deadline_ms, default_deadline_s)
    if wait_s is None:
        return _refuse('X-Deadline-Ms must be a whole number of milliseconds')
    if not _is_name(workspace) or not (_is_name(key) or not key):
        return _refuse('a name or key is printable and at most 256 long')
    ticket = Ticket(request, int(priority), workspace, now + wait_s)
    return Success(Head(ticket, key, now))


def read_model_call(
    head: Head,
    path: str,
    body: bytes,
    depth: int,
) -> Result[ModelCall, Problem]:
    """Check a model request's body."""
    match wire.decode_table(body):
        case Success(table) if not is_deeper(body, table, depth):
            return _build_call(head, path, body, table)
        case Success(_):
            return _refuse(f'the body nests deeper than {depth}')
        case failure:
            return failure


def read_service_call(
    head: Head,
    request: web.BaseRequest,
    body: bytes,
    services: Mapping[str, Any],
) -> ServiceCall:
    """Take a service request apart; settings may add repeatable methods.

    What lies behind the service's name is passed on byte for byte.
    """
    service, _, tail = request.raw_path.removeprefix(_SERVICES).partition('/')
    service, mark, query = service.partition('?')
    settings = services.get(service)
    repeatable = settings.repeatable if settings else ()
    return ServiceCall(
        head=head,
        service=service,
        method=request.method,
        target=f'/{tail}{mark}{query}',
        body=body,
        content_type=request.headers.get('Content-Type', _ANY_BYTES),
        accept=request.headers.get('Accept', '*/*'),
        repeatable=request.method in _IDEMPOTENT.union(repeatable),
    )


def is_deeper(body: bytes, table: Any, depth: int) -> bool:
    """Whether a decoded body nests deeper than ``depth``.

    Most bodies open fewer brackets than that altogether and need no walk.
    """
    if body.count(b'{') + body.count(b'[') <= depth:
        return False
    level: list[Any] = [table]
    for _ in range(depth):
        level = [child for parent in level for child in _children(parent)]
        if not level:
            return False
    return True


def _children(parent: Any) -> Iterable[Any]:
    match parent:
        case dict():
            nested: Iterable[Any] = parent.values()
        case list():
            nested = parent
        case _:
            return ()
    return (child for child in nested if isinstance(child, dict | list))


def _build_call(
    head: Head,
    path: str,
    body: bytes,
    table: dict[str, Any],
) -> Result[ModelCall, Problem]:
    model = table.get('model')
    adapter = table.get('adapter') or ''
    output_tokens = table.get('max_tokens', _DEFAULT_OUTPUT_TOKENS)
    text = _find_text(table)
    if not isinstance(model, str) or not isinstance(adapter, str):
        return _refuse('"model" must be given, as text; "adapter" is text')
    if not _is_count(output_tokens):
        return _refuse('"max_tokens" must be a whole number above 0')
    if text is None:
        return _refuse('"prompt" must be text, or "messages" a list of them')
    return Success(
        ModelCall(
            head=head,
            path=path,
            body=body,
            table=table,
            model=model,
            adapter=adapter,
            stream=table.get('stream') is True,
            prompt_tokens=math.ceil(len(text) / _TEXT_PER_TOKEN),
            output_tokens=output_tokens,
            prefix=_name_prefix(model, adapter, text),
        ),
    )


def _find_text(table: dict[str, Any]) -> str | None:
    prompt = table.get('prompt')
    if isinstance(prompt, str):
        return prompt
    messages = table.get('messages')
    if not isinstance(messages, list) or not messages:
        return None
    texts = [_find_content(message) for message in messages]
    if None in texts:
        return None
    return '\n'.join(texts)


def _find_content(message: Any) -> str | None:
    if not isinstance(message, dict):
        return None
    content = message.get('content')
    if isinstance(content, list):
        return wire.encode(content).decode()
    return content if isinstance(content, str) else None


def _name_prefix(model: str, adapter: str, text: str) -> str:
    if len(text) < _PREFIX_TEXT:
        return ''
    start = text[:_PREFIX_TEXT]
    named = f'{model}\0{adapter}\0{start}'
    return xxhash.xxh64_hexdigest(named.encode('utf-8', 'surrogatepass'))


def _read_deadline(deadline_ms: str, default_s: float) -> float | None:
    if not deadline_ms:
        return default_s
    if not deadline_ms.isascii() or not deadline_ms.isdigit():
        return None
    if len(deadline_ms) > len(str(_LONGEST_DEADLINE_MS)):
        return None
    return min(int(deadline_ms), _LONGEST_DEADLINE_MS) / _MS_PER_S


def _is_count(found: Any) -> bool:
    # JSON's true would pass as the whole number 1.
    return isinstance(found, int) and not isinstance(found, bool) and found > 0


def _is_name(text: str) -> bool:
    return 0 < len(text) <= _LONGEST_NAME and text.isprintable()


def _refuse(message: str) -> Result[Any, Problem]:
    return Failure(Problem(ErrorKind.BAD_REQUEST, message))
