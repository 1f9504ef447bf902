"""Reads the description of a deployment from a folder in ``examples/``."""

import dataclasses
import itertools
import re
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from verbenahall import wire

_Row = Mapping[str, Any]

_FLEET: Final = 'fleet'


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """A deployment; processes are mapped from name to data centre."""

    name: str
    folder: Path
    instances: Mapping[str, str]
    engines: Mapping[str, str]
    services: Mapping[str, str]
    service: str
    models: tuple[str, ...]
    speed: float

    def get_placement(self, name: str) -> dict[str, str]:
        """Return the kind and data centre of a process."""
        kinds = {
            'instance': self.instances,
            'engine': self.engines,
            'service': self.services,
        }
        matching = [kind for kind in kinds if name in kinds[kind]]
        kind = matching[0]
        return {'kind': kind, 'data_centre': kinds[kind][name]}


def read_description(folder: Path) -> Description:
    """Read the description in a deployment's folder."""
    table = tomllib.loads((folder / 'deployment.toml').read_text())
    rows = table['data_centres']
    count = table['instances_per_data_centre']
    return Description(
        name=folder.name,
        folder=folder,
        instances=_build_instance_names(rows, count),
        engines=_map_to_data_centres(rows, 'engines'),
        services=_map_to_data_centres(rows, 'services'),
        service=table['service']['name'],
        models=tuple(table['engine']['models']),
        speed=table['speed'],
    )


def list_settings_files(description: Description) -> list[tuple[str, Path]]:
    """Return each team's settings file; the team ``fleet`` comes first."""
    files = (description.folder / 'settings').glob('*.toml')
    ordered = sorted(files, key=lambda file: file.stem != _FLEET)
    return [(file.stem, file) for file in ordered]


def set_values(text: str, values: Mapping[str, str | int]) -> str:
    """Set keys in TOML text; only the first line of each key changes."""
    for key, new_value in values.items():
        line = re.compile(f'^{key} = .*$', re.MULTILINE)
        encoded = wire.encode(new_value).decode()
        text = line.sub(f'{key} = {encoded}', text, count=1)
    return text


def _build_instance_names(rows: list[_Row], count: int) -> dict[str, str]:
    names = {}
    for row, number in itertools.product(rows, range(1, count + 1)):
        data_centre = row['name']
        names[f'{data_centre}-{number}'] = data_centre
    return names


def _map_to_data_centres(rows: list[_Row], key: str) -> dict[str, str]:
    names = {}
    for row in rows:
        names.update(dict.fromkeys(row[key], row['name']))
    return names
