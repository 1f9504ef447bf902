"""Cost model of an engine: pure functions of tokens and batch size.

The constants describe one engine with two accelerators that serves a dense
model of about 13 billion parameters in 16-bit weights. Comments give the
derivation or the assumption. Policies are compared with each other, so only
the proportions of the constants matter.
"""

from types import MappingProxyType
from typing import Final

from verbenahall.fleet import Role

#: Assumed for English, Welsh and French.
CHARACTERS_PER_TOKEN: Final = 4
#: Compute bound: 2 x 13e9 operations a token at 40% of 2 x 300e12 a second.
PREFILL_S_PER_TOKEN: Final = 1.1e-4
#: Attention grows with the square of the prompt length; assumed to double
#: the cost of a token at 32,000 tokens.
PREFILL_S_PER_TOKEN_PAIR: Final = 3.4e-9
#: Memory bound: 26 GB of weights read at 70% of 2 x 1.6 TB a second, plus
#: 6 ms for launch and communication.
STEP_S: Final = 0.018
#: Sampling and scheduling of one more sequence (assumed).
STEP_S_PER_SEQUENCE: Final = 1e-4
#: 0.8 MB of KV cache for a token (40 layers of 5120, keys and values, 16
#: bits) read at 70% of 3.2 TB a second.
STEP_S_PER_CACHED_TOKEN: Final = 3.6e-7
#: Memory left beside the weights in 2 x 80 GB, at 0.8 MB for a token.
KV_TOKENS: Final = 150_000
KV_BYTES_PER_TOKEN: Final = 819_200
#: One link of 200 Gb/s at 80%.
KV_LINK_BYTES_PER_S: Final = 2e10
#: The part of ``KV_TOKENS`` for cached prefixes (assumed).
PREFIX_CACHE_TOKENS: Final = 40_000
#: Tokens of a block, the unit in which prefixes are shared.
BLOCK_TOKENS: Final = 64
#: Maximum sequences in a batch, a common default of batching engines.
BATCH_SEQUENCES: Final = 64
#: Time in which an engine is out of service while it changes its role, in
#: seconds.
ROLE_CHANGE_S: Final = 6.0
#: Time to add an adapter to a loaded model, in seconds (assumed).
ADAPTER_CHANGE_S: Final = 1.0

#: Prompt tokens that one step may process beside the decoding sequences. A
#: small budget keeps the time between tokens short, a large one uses steps
#: more fully. Roles differ only in this budget.
PREFILL_BUDGET: Final = MappingProxyType(
    {
        Role.MIXED: 512,
        Role.PREFILL: 4096,
        Role.DECODE: 64,
    },
)


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text, at least 1."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def prefill_s(tokens: int, before: int = 0) -> float:
    """Return the seconds to prefill ``tokens`` after ``before`` earlier ones.

    The costs of a prompt's chunks add up to the cost of the whole prompt, so
    that chunking costs only the additional steps.
    """
    pairs = tokens * (tokens + 2 * before)
    return tokens * PREFILL_S_PER_TOKEN + pairs * PREFILL_S_PER_TOKEN_PAIR


def step_s(sequences: int, cached_tokens: int) -> float:
    """Return the seconds of one step that decodes a token for each sequence.

    ``cached_tokens`` is the total context length of the sequences.
    """
    return (
        STEP_S
        + sequences * STEP_S_PER_SEQUENCE
        + cached_tokens * STEP_S_PER_CACHED_TOKEN
    )


def transfer_s(tokens: int) -> float:
    """Return the seconds to move the KV cache of ``tokens``."""
    return tokens * KV_BYTES_PER_TOKEN / KV_LINK_BYTES_PER_S
