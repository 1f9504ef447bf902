"""Which endpoints write events that fit to those of a stream."""

from collections.abc import Sequence

from verbenahall.roster._messages import Entry


def fits_version(entry: Entry, version: str | None) -> bool:
    """Whether an endpoint has a software version; None is any version."""
    return version is None or entry.version == version


def select_version(
    entries: Sequence[Entry], version: str | None
) -> Sequence[Entry]:
    """Return the endpoints that may go on with a stream of a version.

    Entries without a version may have different ones, so a stream that began
    at one of them goes on only where no entry has a version.
    """
    if version == '' and any(one.version for one in entries):
        return ()
    return [one for one in entries if fits_version(one, version)]
