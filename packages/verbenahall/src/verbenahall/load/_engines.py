"""The last reported state of each engine."""

import dataclasses
from collections.abc import Mapping
from typing import Any, final

from returns.result import Failure, Result, Success

from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import Adapter, Role
from verbenahall.load._messages import Report


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """The state that an engine reports about itself.

    ``models`` maps the names of its models to their versions. ``changing``
    means that the engine accepts no requests now. ``resumes`` means that it
    can start a stream at a later token than the first.
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

    def can_serve(self, model: str, adapter: str) -> bool:
        """Whether the engine can serve the model and adapter now."""
        if self.changing or model not in self.models:
            return False
        return not adapter or any(
            loaded.name == adapter and loaded.model == model
            for loaded in self.adapters
        )


@final
class EngineStates:
    """The last state of each engine, by name."""

    __slots__ = ('by_name',)

    def __init__(self) -> None:
        """Start without states."""
        self.by_name: dict[str, EngineState] = {}

    def put(self, state: EngineState) -> None:
        """Store the state of an engine in place of its last one."""
        self.by_name[state.name] = state

    def remove(self, name: str) -> None:
        """Remove the state of an engine whose answers contradict it."""
        self.by_name.pop(name, None)

    def has_model(self, model: str) -> bool:
        """Whether any engine has the model."""
        return any(model in state.models for state in self.by_name.values())


def read_engine_state(table: dict[str, Any]) -> Result[EngineState, Problem]:
    """Parse the body of ``GET /state``, or fail if it is malformed."""
    try:
        return Success(_build_state(table))
    except (KeyError, TypeError, ValueError) as error:
        problem = Problem(
            ErrorKind.ENDPOINT_FAILED,
            f'malformed engine state: {error!r}',
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
