"""Decides whether another engine is tried beside a silent one."""

from typing import final

from verbenahall.fleet import Role
from verbenahall.gateway._attempts import Attempts
from verbenahall.gateway._core import Core
from verbenahall.gateway._relay import EventRelay
from verbenahall.requests import Silent
from verbenahall.roster import Entry, select_version


@final
class EngineHedges:
    """Decides on the hedges of a branch, and records its silent engines."""

    __slots__ = ('silent_engine', '_attempts', '_core', '_relay')

    def __init__(
        self, core: Core, attempts: Attempts, relay: EventRelay
    ) -> None:
        """Start without a silent engine."""
        self._attempts = attempts
        self._core = core
        #: Name of the engine that was found silent last, if any.
        self.silent_engine = ''
        self._relay = relay

    def may_hedge(self, engine: Entry, *, executes: bool) -> bool:
        """Whether another branch may begin while an engine is silent.

        ``executes`` is false if the engine only prefills the prompt. Another
        branch prefills it again, and then runs the request. One that may run
        once needs another prefill engine for that: its only run isn't risked
        while the prompt may still be prefilled.
        """
        if engine.name != self.silent_engine:
            self.silent_engine = engine.name
            self._core.spawn(self._record_silent(engine))
        if not self._has_other(engine, executes=executes):
            return False
        return self._attempts.may_hedge(
            Silent(executes),
            engine.name,
            delivered=self._relay.begun,
            send_count=2 if executes else 1,
        )

    async def _record_silent(self, engine: Entry) -> None:
        """Record that an engine is silent, so that others are preferred.

        With the path to all engines lost, silence says nothing about one.
        """
        core = self._core
        await core.forwarder.wait_checked(engine.service)
        if not core.reach.is_lost(engine.service):
            now = core.now()
            core.endpoint_health.record_outcome(engine.name, now, good=False)
            core.placement.failures.record(engine.name, now, failed=True)

    def _has_other(self, engine: Entry, *, executes: bool) -> bool:
        """Whether another engine may help, here or at a peer.

        A stream without events may begin at any version.
        """
        is_lost = self._core.reach.is_lost(engine.service)
        if is_lost and self._attempts.call.hop is None:
            return True
        others = [
            one
            for one in self._core.endpoints.list_available(
                engine.service, self._core.now()
            )
            if one.name != engine.name and one.name not in self._attempts.tried
        ]
        if not executes and self._attempts.call.route.is_exclusive:
            return any(one.role is Role.PREFILL for one in others)
        fitting = select_version(others, self._relay.state.version)
        return any(one.role is not Role.PREFILL for one in fitting)
