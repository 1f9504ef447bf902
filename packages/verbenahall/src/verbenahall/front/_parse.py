"""Parses and validates the headers and bodies of requests."""

import math
from collections.abc import Iterable, Mapping
from typing import Any, Final

import xxhash
from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall import wire
from verbenahall.admission import LOWEST_PRIORITY, Ticket
from verbenahall.errors import ErrorKind, Problem
from verbenahall.front._messages import ModelCall, RequestHead, ServiceCall

_DEFAULT_PRIORITY: Final = 2
_DEFAULT_WORKSPACE: Final = 'default'
_DEFAULT_OUTPUT_TOKENS: Final = 256
_MAX_DEADLINE_MS: Final = 3_600_000
_MAX_NAME_LENGTH: Final = 256
_CHARACTERS_PER_TOKEN: Final = 4
#: Prompts with at least this many characters are routed by their prefix; for
#: shorter ones a shared prefix saves too little prefill.
_PREFIX_LENGTH: Final = 1024
_SERVICES_PATH: Final = '/services/'
_DEFAULT_CONTENT_TYPE: Final = 'application/octet-stream'
#: Methods that HTTP defines as idempotent.
_IDEMPOTENT: Final = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
_MS_PER_S: Final = 1000
_PRIORITIES: Final = tuple(
    str(priority) for priority in range(LOWEST_PRIORITY + 1)
)


def read_head(
    headers: Mapping[str, str],
    request: str,
    default_deadline_s: float,
    now: float,
) -> Result[RequestHead, Problem]:
    """Parse the headers that all routes share."""
    priority = headers.get('X-Priority', str(_DEFAULT_PRIORITY))
    deadline_ms = headers.get('X-Deadline-Ms', '')
    workspace = headers.get('X-Workspace', _DEFAULT_WORKSPACE)
    key = headers.get('Idempotency-Key', '')
    if priority not in _PRIORITIES:
        return _reject(f'X-Priority must be 0 to {LOWEST_PRIORITY}')
    wait_s = _parse_deadline(deadline_ms, default_deadline_s)
    if wait_s is None:
        return _reject(
            'X-Deadline-Ms must be an integer number of milliseconds'
        )
    if not _is_name(workspace) or not (_is_name(key) or not key):
        return _reject(
            'names and keys must be printable and at most 256 characters'
        )
    ticket = Ticket(request, int(priority), workspace, now + wait_s)
    return Success(RequestHead(ticket, key, now))


def read_model_call(
    head: RequestHead,
    path: str,
    body: bytes,
    depth: int,
) -> Result[ModelCall, Problem]:
    """Parse the body of a model request."""
    match wire.decode_table(body):
        case Success(table) if not is_nested_deeper(body, table, depth):
            return _build_call(head, path, body, table)
        case Success(_):
            return _reject(f'the body is nested deeper than {depth} levels')
        case failure:
            return failure


def read_service_call(
    head: RequestHead,
    request: web.BaseRequest,
    raw_path: str,
    body: bytes,
    services: Mapping[str, Any],
) -> ServiceCall:
    """Parse a request to a plain service.

    The path and query after the service's name are forwarded byte for byte.
    The service's settings may name further methods that are repeatable.
    """
    service, _, tail = raw_path.removeprefix(_SERVICES_PATH).partition('/')
    service, separator, query = service.partition('?')
    settings = services.get(service)
    repeatable = settings.repeatable if settings else ()
    return ServiceCall(
        head=head,
        service=service,
        method=request.method,
        target=f'/{tail}{separator}{query}',
        body=body,
        content_type=request.headers.get('Content-Type', _DEFAULT_CONTENT_TYPE),
        accept=request.headers.get('Accept', '*/*'),
        repeatable=request.method in _IDEMPOTENT.union(repeatable),
    )


def is_nested_deeper(body: bytes, table: Any, depth: int) -> bool:
    """Whether a decoded body nests deeper than ``depth``.

    Most bodies have no more opening brackets than that and need no traversal.
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
    head: RequestHead,
    path: str,
    body: bytes,
    table: dict[str, Any],
) -> Result[ModelCall, Problem]:
    model = table.get('model')
    adapter = table.get('adapter') or ''
    output_tokens = table.get('max_tokens', _DEFAULT_OUTPUT_TOKENS)
    text = _extract_text(table)
    if not isinstance(model, str) or not isinstance(adapter, str):
        return _reject(
            '"model" is required; "model" and "adapter" must be strings'
        )
    if not _is_positive_integer(output_tokens):
        return _reject('"max_tokens" must be a positive integer')
    if text is None:
        return _reject(
            '"prompt" must be a string, or "messages" a list of messages'
        )
    return Success(
        ModelCall(
            head=head,
            path=path,
            body=body,
            table=table,
            model=model,
            adapter=adapter,
            stream=table.get('stream') is True,
            prompt_tokens=math.ceil(len(text) / _CHARACTERS_PER_TOKEN),
            output_tokens=output_tokens,
            prefix=_hash_prefix(model, adapter, text),
        ),
    )


def _extract_text(table: dict[str, Any]) -> str | None:
    prompt = table.get('prompt')
    if isinstance(prompt, str):
        return prompt
    messages = table.get('messages')
    if not isinstance(messages, list) or not messages:
        return None
    texts = [_extract_content(message) for message in messages]
    if None in texts:
        return None
    return '\n'.join(texts)


def _extract_content(message: Any) -> str | None:
    if not isinstance(message, dict):
        return None
    content = message.get('content')
    if isinstance(content, list):
        return wire.encode(content).decode()
    return content if isinstance(content, str) else None


def _hash_prefix(model: str, adapter: str, text: str) -> str:
    if len(text) < _PREFIX_LENGTH:
        return ''
    start = text[:_PREFIX_LENGTH]
    identity = f'{model}\0{adapter}\0{start}'
    return xxhash.xxh64_hexdigest(identity.encode('utf-8', 'surrogatepass'))


def _parse_deadline(deadline_ms: str, default_s: float) -> float | None:
    if not deadline_ms:
        return default_s
    if not deadline_ms.isascii() or not deadline_ms.isdigit():
        return None
    if len(deadline_ms) > len(str(_MAX_DEADLINE_MS)):
        return None
    return min(int(deadline_ms), _MAX_DEADLINE_MS) / _MS_PER_S


def _is_positive_integer(number: Any) -> bool:
    # A JSON true is decoded as a bool, which Python counts as an int.
    return (
        isinstance(number, int) and not isinstance(number, bool) and number > 0
    )


def _is_name(text: str) -> bool:
    return 0 < len(text) <= _MAX_NAME_LENGTH and text.isprintable()


def _reject(message: str) -> Result[Any, Problem]:
    return Failure(Problem(ErrorKind.BAD_REQUEST, message))
