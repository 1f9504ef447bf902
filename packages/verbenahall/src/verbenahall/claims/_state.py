"""Claims folded from the log, and those that this process waits for."""

from typing import final

from verbenahall.claims._messages import KEYS_PER_GENERATION


@final
class ClaimsState:
    """Who claimed which key first.

    ``young`` and ``old`` map a key to the offset of the record that won it.
    When ``young`` is full it becomes ``old``, so what is known depends on
    the log alone and memory stays bounded. ``unsent`` holds keys to put in
    the next record, ``waiting`` those whose verdict is awaited, ``unused``
    won claims that never ran and are not yet told, ``freeing`` those of
    them that may already be told.
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
        """Start with an empty fold; ``holder`` must never be used again."""
        self.holder = holder
        self.generation_size = generation_size
        self.position = 0
        self.young: dict[str, int] = {}
        self.old: dict[str, int] = {}
        self.unsent: dict[str, None] = {}
        self.waiting: set[str] = set()
        self.unused: dict[str, int] = {}
        self.freeing: dict[str, int] = {}
