"""What each engine last said that it holds."""

import dataclasses
from collections.abc import Mapping
from typing import Any, final

from returns.result import Failure, Result, Success

from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import Adapter, Role
from verbenahall.load._messages import Report


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """An engine's own word: role, models by version, adapters.

    ``changing`` means that it takes no work now. ``resumes`` means that it
    can begin a stream at a later token.
    """

    name: str
    incarnation: str
    role: Role
    models: Mapping[str, str]
    adapters: frozenset[Adapter]
    changing: bool
    leaving: bool
    resumes: bool
    report: Report

    def holds(self, model: str, adapter: str) -> bool:
        """Whether it can take a request for the model and adapter now."""
        if self.changing or model not in self.models:
            return False
        return not adapter or any(
            held.name == adapter and held.model == model
            for held in self.adapters
        )


@final
class EngineStates:
    """All engines' states by name."""

    __slots__ = ('by_name',)

    def __init__(self) -> None:
        """Start with nothing heard."""
        self.by_name: dict[str, EngineState] = {}

    def put(self, found: EngineState) -> None:
        """Keep an engine's newest state."""
        self.by_name[found.name] = found

    def forget(self, name: str) -> None:
        """Drop a state that the engine itself has contradicted."""
        self.by_name.pop(name, None)

    def knows_model(self, model: str) -> bool:
        """Whether any engine holds the model."""
        return any(model in found.models for found in self.by_name.values())


def read_engine_state(table: dict[str, Any]) -> Result[EngineState, Problem]:
    """Turn the body of ``GET /state`` into a state, or say it is malformed."""
    try:
        return Success(_build_state(table))
    except (KeyError, TypeError, ValueError) as error:
        problem = Problem(
            ErrorKind.ENDPOINT_FAILED,
            f'the state of an engine is malformed: {error!r}',
        )
        return Failure(problem)


def _build_state(table: dict[str, Any]) -> EngineState:
    adapters = frozenset(Adapter(**row) for row in table['adapters'])
    report = Report(
        int(table['running']),
        int(table['queued']),
        float(table['kv_free_share']),
    )
    return EngineState(
        name=str(table['name']),
        incarnation=str(table['incarnation']),
        role=Role(table['role']),
        models=dict(table['models']),
        adapters=adapters,
        changing=bool(table['changing']),
        leaving=bool(table['leaving']),
        resumes=bool(table['resumes']),
        report=report,
    )
