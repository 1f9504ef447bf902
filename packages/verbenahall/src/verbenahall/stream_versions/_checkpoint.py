"""What the store has on record of the versions of all services."""

import dataclasses
from collections.abc import Mapping
from typing import Any, final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire

#: For how many seconds each version of each service has not served.
Ages = Mapping[str, Mapping[str, float]]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Checkpoint:
    """All versions that served lately, up to a position of the list's topic."""

    position: int
    ages: Ages

    def list_versions(self) -> frozenset[tuple[str, str]]:
        """Return the pairs of service and version."""
        return frozenset(
            (service, version)
            for service, versions in self.ages.items()
            for version in versions
        )


def encode_checkpoint(checkpoint: Checkpoint) -> bytes:
    """Encode a checkpoint.

    An age is rounded down, so that no version counts as gone too soon.
    """
    ages = {
        service: {version: int(age_s) for version, age_s in versions.items()}
        for service, versions in checkpoint.ages.items()
    }
    return wire.encode({'position': checkpoint.position, 'ages': ages})


def decode_checkpoint(content: bytes) -> Maybe[Checkpoint]:
    """Decode a checkpoint; Nothing if it is invalid."""
    match wire.decode_table(content):
        case Success({'position': int(position), 'ages': dict(ages)}):
            is_valid = position >= 0 and all(map(_is_valid, ages.values()))
            return Some(Checkpoint(position, ages)) if is_valid else Nothing
        case _:
            return Nothing


def _is_valid(versions: Any) -> bool:
    return isinstance(versions, dict) and all(
        isinstance(age_s, int) and age_s >= 0 for age_s in versions.values()
    )
