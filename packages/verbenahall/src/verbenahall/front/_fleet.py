"""The candidate endpoints for a request, in the form that routing needs."""

import itertools
import math
from collections.abc import Sequence
from typing import Final, final

from returns.result import Failure, Result, Success

from verbenahall.admission import AdmissionLimits
from verbenahall.config import InstanceConfig
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.fleet import Endpoint, EndpointKind, Role
from verbenahall.front._dependencies import FrontDependencies
from verbenahall.front._feedback import get_incarnation_key
from verbenahall.front._messages import Call, ModelCall
from verbenahall.routing import Candidate, select_subset

#: How long a list of candidates is cached, in seconds.
_CACHE_S: Final = 0.02
_CACHE_S_PER_CANDIDATE: Final = 0.0005
_MAX_CACHED_LISTS: Final = 1024
#: Flags (priority 0) have one reserved slot per this many ordinary slots, and
#: at least two. That is many, because flags are short and come in bursts;
#: engines serve them first, so other requests are hardly delayed.
_SLOTS_PER_FLAG_SLOT: Final = 2
_MIN_FLAG_SLOTS: Final = 2
#: The limit for all queues of a lane together, as a multiple of the limit of
#: one queue.
_TOTAL_QUEUE_FACTOR: Final = 2

Requirement = tuple[str, str, str]
_CachedList = tuple[float, Sequence[Candidate]]


def get_requirement(call: Call) -> Requirement:
    """Return the service, model and adapter that a call requires."""
    if isinstance(call, ModelCall):
        return '', call.model, call.adapter
    return call.service, '', ''


@final
class FleetView:
    """Reads membership and engine states, with a short-lived cache."""

    def __init__(
        self, dependencies: FrontDependencies, config: InstanceConfig
    ) -> None:
        """Start with an empty cache."""
        self._dependencies = dependencies
        self._config = config
        self._cache: dict[Requirement, _CachedList] = {}

    def list_candidates(self, requirement: Requirement) -> Sequence[Candidate]:
        """Return this instance's subset of the endpoints that meet it.

        The result joins two subsets: one of the local data centre and one of
        all others. Routing would also select a subset, but for every request.
        """
        now = self._dependencies.clock()
        expires_at, cached = self._cache.get(requirement, (-math.inf, ()))
        if now < expires_at:
            return cached
        if len(self._cache) >= _MAX_CACHED_LISTS:
            self._cache.clear()
        candidates = [
            candidate
            for candidate in self._list_live(requirement, now)
            if not _find_backoff_s(self._dependencies, candidate, now)
        ]
        # A longer list costs more to build and is cached for longer.
        cache_s = _CACHE_S + _CACHE_S_PER_CANDIDATE * len(candidates)
        subset = self._select_subset(candidates)
        self._cache[requirement] = (now + cache_s, subset)
        return subset

    def list_names(self) -> set[str]:
        """Return the names of all available engines and services."""
        now = self._dependencies.clock()
        kinds = (EndpointKind.ENGINE, EndpointKind.SERVICE)
        lists = [
            self._dependencies.list_available(kind, now, '') for kind in kinds
        ]
        return {
            endpoint.name for endpoint in itertools.chain.from_iterable(lists)
        }

    def check(self, requirement: Requirement) -> Result[None, Problem]:
        """Return the problem if no endpoint can serve the request now."""
        if self.list_candidates(requirement):
            return Success(None)
        unready = self._dependencies.check_ready()
        if unready:
            # Until the instance is ready, a model may only seem not to exist.
            return Failure(unready)
        now = self._dependencies.clock()
        backoff_s = min(
            (
                _find_backoff_s(self._dependencies, candidate, now)
                for candidate in self._list_live(requirement, now)
            ),
            default=0,
        )
        if backoff_s:
            return Failure(_build_backoff_problem(backoff_s))
        service, model, adapter = requirement
        settings = self._dependencies.read_settings()
        if service:
            listed = self._dependencies.list_services()
            known = service in settings.services or service in listed
            return _build_missing_service(service, known=known)
        known = model in settings.models
        if not known and not self._dependencies.states.has_model(model):
            return _fail(ErrorKind.UNKNOWN_MODEL, f'no model {model!r}')
        if adapter and adapter not in settings.adapters:
            return _fail(ErrorKind.UNKNOWN_MODEL, f'no adapter {adapter!r}')
        return _fail(
            ErrorKind.NO_ENDPOINT, f'no live engine has model {model!r}'
        )

    def get_limits(self, lane: str) -> AdmissionLimits:
        """Return the limits of a lane (``model:name`` or ``service:name``)."""
        kind, _, name = lane.partition(':')
        requirement = (name, '', '') if kind == 'service' else ('', name, '')
        count = max(1, len(self.list_candidates(requirement)))
        limits = self._config.limits
        slots = count * limits.in_flight_per_engine
        return AdmissionLimits(
            slots=slots,
            flag_slots=max(_MIN_FLAG_SLOTS, slots // _SLOTS_PER_FLAG_SLOT),
            queue_per_priority=limits.queue_per_priority,
            queue_per_workspace=limits.queue_per_workspace,
            queue_total=_TOTAL_QUEUE_FACTOR * limits.queue_per_priority,
        )

    def can_resume(self, name: str) -> bool:
        """Whether an engine can resume a stream at a given token."""
        state = self._dependencies.states.by_name.get(name)
        return state is not None and state.resumes

    def get_version(self, name: str, model: str) -> str:
        """Return the version of a model on an engine, or empty text."""
        state = self._dependencies.states.by_name.get(name)
        return state.models.get(model, '') if state else ''

    def _select_subset(self, candidates: list[Candidate]) -> list[Candidate]:
        local, remote = [], []
        for candidate in candidates:
            is_local = (
                candidate.endpoint.data_centre == self._config.data_centre
            )
            (local if is_local else remote).append(candidate)
        instance = self._config.name
        return [
            *select_subset(instance, local),
            *select_subset(instance, remote),
        ]

    def _list_live(
        self, requirement: Requirement, now: float
    ) -> list[Candidate]:
        """Return the candidates, also those that have requested a backoff."""
        service, model, adapter = requirement
        if service:
            return self._list_services(service, now)
        return self._list_engines(model, adapter, now)

    def _list_undrained(
        self,
        kind: EndpointKind,
        now: float,
        service: str,
    ) -> list[Endpoint]:
        """Return the available endpoints that no operator is draining."""
        drains = self._dependencies.read_settings().drains
        live = self._dependencies.list_available(kind, now, service)
        return [endpoint for endpoint in live if endpoint.name not in drains]

    def _list_services(self, service: str, now: float) -> list[Candidate]:
        live = self._list_undrained(EndpointKind.SERVICE, now, service)
        return [Candidate(endpoint, Role.MIXED) for endpoint in live]

    def _list_engines(
        self,
        model: str,
        adapter: str,
        now: float,
    ) -> list[Candidate]:
        candidates = []
        for endpoint in self._list_undrained(EndpointKind.ENGINE, now, ''):
            state = self._dependencies.states.by_name.get(endpoint.name)
            # A new process under the same name may have other models, so
            # the state of its predecessor must not be used for it.
            if state is None or state.incarnation != endpoint.incarnation:
                continue
            if state.can_serve(model, adapter):
                candidates.append(Candidate(endpoint, state.role))
        return candidates


def is_lost(fleet: FleetView, requirement: Requirement) -> bool:
    """Whether no endpoint can be reached for a requirement."""
    checked = fleet.check(requirement)
    return (
        isinstance(checked, Failure)
        and checked.failure().kind is ErrorKind.NO_ENDPOINT
    )


def _build_missing_service(
    service: str, *, known: bool
) -> Result[None, Problem]:
    if known:
        return _fail(
            ErrorKind.NO_ENDPOINT,
            f'no endpoint of service {service!r} is live',
        )
    return _fail(ErrorKind.NOT_FOUND, f'no service {service!r}')


def _find_backoff_s(
    dependencies: FrontDependencies, candidate: Candidate, now: float
) -> float:
    """Return the time until a candidate accepts requests, in seconds."""
    return dependencies.backoffs.find_left_s(
        get_incarnation_key(candidate.endpoint), now
    )


def _build_backoff_problem(backoff_s: float) -> Problem:
    message = 'the endpoints have requested a backoff'
    return Problem(ErrorKind.OVERLOADED, message, Ran.NO, backoff_s)


def _fail(kind: ErrorKind, message: str) -> Result[None, Problem]:
    return Failure(Problem(kind, message))
