"""Answer texts of the engine stand-in, a pure function of the request.

Tests compare answers with ``build_expected_answer`` to detect truncated,
mixed or wrong ones. All engines with the same model give the same answer, so
a stream can resume on another engine.
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
    """Return the prompt of a completion or chat request as one string."""
    messages = body.get('messages')
    if messages:
        return '\n'.join(str(message['content']) for message in messages)
    return str(body.get('prompt', ''))


def build_chunk(seed: int, index: int) -> str:
    """Return the answer's token at ``index`` for a seed."""
    word = _WORDS[(seed >> (index % 8)) % len(_WORDS)]
    return f'{word}{index} '


def compute_seed(model: str, adapter: str, prompt: str) -> int:
    """Return the seed from which all tokens of an answer are derived."""
    return zlib.crc32(f'{model}\n{adapter}\n{prompt}'.encode())


def build_expected_answer(
    prompt: str,
    count: int,
    model: str,
    adapter: str = '',
) -> str:
    """Return the complete, correct answer of ``count`` tokens."""
    seed = compute_seed(model, adapter, prompt)
    return ''.join(build_chunk(seed, index) for index in range(count))
