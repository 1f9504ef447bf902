"""For how long a stream may be taken up after its beginning."""

from typing import final


@final
class StreamLife:
    """How long streams live by the manifests so far.

    ``version`` is that of the newest manifest, 0 before the first one. Streams
    that began under the manifest before live by its timeouts still::

        life = StreamLife()
        life.change(1, 12, now=0)
        life.change(2, 8, now=100)
        life.find_s(now=105)  # 12
        life.find_s(now=113)  # 8
    """

    __slots__ = ('version', '_earlier', '_seconds')

    def __init__(self) -> None:
        """Start without a manifest."""
        self.version = 0
        self._seconds: float | None = None
        #: Longer lives of earlier manifests, and until when they count.
        self._earlier: list[tuple[float, float]] = []

    def change(self, version: int, seconds: float, now: float) -> None:
        """Apply the life of a stream by a new manifest."""
        if self._seconds is not None and self._seconds > seconds:
            self._earlier.append((self._seconds, now + self._seconds))
        self.version = version
        self._seconds = seconds

    def find_s(self, now: float) -> float | None:
        """Return how long a stream may live, None without a manifest."""
        if self._seconds is None:
            return None
        self._earlier = [one for one in self._earlier if one[1] > now]
        return max(
            [self._seconds, *(longer_s for longer_s, _ in self._earlier)]
        )
