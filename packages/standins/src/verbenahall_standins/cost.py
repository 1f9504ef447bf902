"""What an engine's work costs, as pure functions of tokens and batch.

The constants describe one engine of two accelerators that holds a dense model
of about 13 billion parameters in 16-bit weights. Each names its source or the
assumption behind it; only their proportions matter to the policies compared.
"""

from types import MappingProxyType
from typing import Final

from verbenahall.fleet import Role

#: Assumption: four characters of English, Welsh or French make a token.
CHARACTERS_PER_TOKEN: Final = 4
#: Compute bound: 2 x 13e9 operations a token at 40% of 2 x 300e12 a second.
PREFILL_S_PER_TOKEN: Final = 1.1e-4
#: Attention over the prompt grows with its square; assumption: doubles the
#: cost of a token at 32,000 tokens.
PREFILL_S_PER_TOKEN_PAIR: Final = 3.4e-9
#: Memory bound: 26 GB of weights read at 70% of 2 x 1.6 TB a second, and
#: 6 ms of launch and communication.
STEP_S: Final = 0.018
#: Sampling and scheduling of one more sequence; assumption.
STEP_S_PER_SEQUENCE: Final = 1e-4
#: 0.8 MB of KV cache a token (40 layers of 5120, keys and values, 16 bit)
#: read at 70% of 3.2 TB a second.
STEP_S_PER_CACHED_TOKEN: Final = 3.6e-7
#: What is left beside the weights in 2 x 80 GB, at 0.8 MB a token.
KV_TOKENS: Final = 150_000
KV_BYTES_PER_TOKEN: Final = 819_200
#: One 200 Gb/s link at 80%.
KV_LINK_BYTES_PER_S: Final = 2e10
#: The share of the KV memory that old prefixes may fill; assumption.
PREFIX_CACHE_TOKENS: Final = 40_000
#: Cache blocks are shared at this granularity.
BLOCK_TOKENS: Final = 64
#: Assumption: common default of batching engines.
BATCH_SEQUENCES: Final = 64
#: The brief: a role change takes an engine away for seconds.
ROLE_CHANGE_S: Final = 6.0
#: Assumption: patching in an adapter of a loaded model.
ADAPTER_CHANGE_S: Final = 1.0

#: Prompt tokens that one step may take up beside the decoding sequences. A
#: small budget keeps the time between tokens short, a large one wastes less
#: of each step; a role is nothing but this budget.
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
    """Return the seconds to prefill ``tokens`` that follow ``before`` others.

    The sum over chunks equals the cost of the whole, so chunking itself is
    free and only the steps that it takes cost time.
    """
    pairs = tokens * (tokens + 2 * before)
    return tokens * PREFILL_S_PER_TOKEN + pairs * PREFILL_S_PER_TOKEN_PAIR


def step_s(sequences: int, cached_tokens: int) -> float:
    """Return the seconds of one step that decodes a token for each sequence.

    ``cached_tokens`` is the sum over the sequences' contexts.
    """
    return (
        STEP_S
        + sequences * STEP_S_PER_SEQUENCE
        + cached_tokens * STEP_S_PER_CACHED_TOKEN
    )


def transfer_s(tokens: int) -> float:
    """Return the seconds to move the KV cache of ``tokens``."""
    return tokens * KV_BYTES_PER_TOKEN / KV_LINK_BYTES_PER_S
