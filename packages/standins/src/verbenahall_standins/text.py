"""The text that an engine stand-in answers, a pure function of the request.

A test compares an answer with ``write_answer`` and so sees a truncated, mixed
or foreign one. Engines that hold the same model answer alike, which lets a
stream resume on another engine.
"""

import zlib
from typing import Any, Final

_WORDS: Final = (
    'line',
    'club',
    'match',
    'relay',
    'breaker',
    'shift',
    'page',
    'print',
    'gate',
    'storm',
    'proof',
    'north',
    'river',
    'crew',
    'issue',
    'feeder',
)


def extract_prompt(body: dict[str, Any]) -> str:
    """Return the prompt of a completion or chat body as one text."""
    messages = body.get('messages')
    if messages:
        return '\n'.join(str(message['content']) for message in messages)
    return str(body.get('prompt', ''))


def build_chunk(seed: int, index: int) -> str:
    """Return the token at ``index`` of the answer with this seed."""
    word = _WORDS[(seed >> (index % 8)) % len(_WORDS)]
    return f'{word}{index} '


def compute_seed(model: str, adapter: str, prompt: str) -> int:
    """Return the seed that all tokens of an answer come from."""
    return zlib.crc32(f'{model}\n{adapter}\n{prompt}'.encode())


def write_answer(
    prompt: str,
    count: int,
    model: str,
    adapter: str = '',
) -> str:
    """Return the whole answer of ``count`` tokens to a prompt."""
    seed = compute_seed(model, adapter, prompt)
    return ''.join(build_chunk(seed, index) for index in range(count))
