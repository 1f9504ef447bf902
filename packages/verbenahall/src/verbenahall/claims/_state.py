"""Claims folded from the log, and the claims that this process awaits."""

from typing import final

from verbenahall.claims._messages import KEYS_PER_GENERATION


@final
class ClaimsState:
    """Winning claims by key, and the open claims of this process.

    ``young`` and ``old`` map a key to the offset of the record that won it.
    When ``young`` is full, it replaces ``old``. So memory is bounded, and
    which keys are kept depends on the log alone.

    ``unsent`` holds keys for the next record, and ``waiting`` keys whose
    verdict is awaited. ``unused`` holds won claims that were not used and
    whose release has not been sent. ``freeing`` holds those whose release may
    already be in the log.
    """

    __slots__ = (
        'holder',
        'generation_size',
        'position',
        'young',
        'old',
        'unsent',
        'waiting',
        'unused',
        'freeing',
    )

    def __init__(
        self,
        holder: str,
        generation_size: int = KEYS_PER_GENERATION,
    ) -> None:
        """Start with an empty fold; ``holder`` must be unique to this run."""
        self.holder = holder
        self.generation_size = generation_size
        self.position = 0
        self.young: dict[str, int] = {}
        self.old: dict[str, int] = {}
        self.unsent: dict[str, None] = {}
        self.waiting: set[str] = set()
        self.unused: dict[str, int] = {}
        self.freeing: dict[str, int] = {}
