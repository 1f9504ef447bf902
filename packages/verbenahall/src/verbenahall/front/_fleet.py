"""The endpoints that could take a request, as routing wants them."""

import itertools
import math
from collections.abc import Sequence
from typing import Final, final

from returns.result import Failure, Result, Success

from verbenahall.admission import AdmissionLimits
from verbenahall.config import InstanceConfig
from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import Endpoint, EndpointKind, Role
from verbenahall.front._messages import Call, ModelCall
from verbenahall.front._dependencies import Parts
from verbenahall.routing import Candidate, take_subset

#: A list of candidates is used again for this long, in seconds.
_FRESH_S: Final = 0.02
_FRESH_S_PER_CANDIDATE: Final = 0.0005
_MOST_LISTS: Final = 1024
#: Flags have one slot of their own for this many others, and two at least.
#: The slots are many, since flags come in bursts and are short; engines serve
#: them first, so that they hardly keep others waiting.
_SLOTS_PER_FLAG_SLOT: Final = 2
_FEWEST_FLAG_SLOTS: Final = 2
#: All queues of a lane together hold this many times one queue's bound.
_TOTAL_QUEUES: Final = 2

_Wanted = tuple[str, str, str]
_Listed = tuple[float, Sequence[Candidate]]


def name_wanted(call: Call) -> _Wanted:
    """Name what an endpoint must hold: service, model, adapter."""
    if isinstance(call, ModelCall):
        return '', call.model, call.adapter
    return call.service, '', ''


@final
class FleetView:
    """Reads membership and engine states, with a short memory."""

    def __init__(self, parts: Parts, config: InstanceConfig) -> None:
        """Start with an empty memory."""
        self._parts = parts
        self._config = config
        self._lists: dict[_Wanted, _Listed] = {}

    def candidates(self, wanted: _Wanted) -> Sequence[Candidate]:
        """Return this instance's subset of those that hold what is wanted.

        Of the own data centre and of others, each up to the subset's size.
        Routing would narrow as well, but anew for each request.
        """
        now = self._parts.clock()
        fresh_until, known = self._lists.get(wanted, (-math.inf, ()))
        if now < fresh_until:
            return known
        if len(self._lists) >= _MOST_LISTS:
            self._lists.clear()
        service, model, adapter = wanted
        found = (
            self._list_services(service, now)
            if service
            else self._list_engines(model, adapter, now)
        )
        # The more there are, the dearer the list and the longer it is used.
        fresh_s = _FRESH_S + _FRESH_S_PER_CANDIDATE * len(found)
        subset = self._narrow(found)
        self._lists[wanted] = (now + fresh_s, subset)
        return subset

    def list_names(self) -> set[str]:
        """Return the names of all live endpoints that take requests."""
        now = self._parts.clock()
        kinds = (EndpointKind.ENGINE, EndpointKind.SERVICE)
        lists = [self._parts.live(kind, now, '') for kind in kinds]
        return {found.name for found in itertools.chain.from_iterable(lists)}

    def check(self, wanted: _Wanted) -> Result[None, Problem]:
        """Say at once when nobody can take the request."""
        if self.candidates(wanted):
            return Success(None)
        unready = self._parts.unready()
        if unready:
            # What is not known yet would be answered as not existing.
            return Failure(unready)
        service, model, adapter = wanted
        settings = self._parts.settings()
        if service:
            return self._miss_service(service, settings.services)
        known = model in settings.models
        if not known and not self._parts.states.knows_model(model):
            return _fail(ErrorKind.UNKNOWN_MODEL, f'no model {model!r}')
        if adapter and adapter not in settings.adapters:
            return _fail(ErrorKind.UNKNOWN_MODEL, f'no adapter {adapter!r}')
        return _fail(ErrorKind.NO_ENDPOINT, f'no engine holds {model!r} now')

    def limits_of(self, lane: str) -> AdmissionLimits:
        """Return the bounds of a lane (``model:name`` or ``service:name``)."""
        kind, _, name = lane.partition(':')
        wanted = (name, '', '') if kind == 'service' else ('', name, '')
        count = max(1, len(self.candidates(wanted)))
        limits = self._config.limits
        slots = count * limits.in_flight_per_engine
        return AdmissionLimits(
            slots=slots,
            flag_slots=max(_FEWEST_FLAG_SLOTS, slots // _SLOTS_PER_FLAG_SLOT),
            queue_per_priority=limits.queue_per_priority,
            queue_per_workspace=limits.queue_per_workspace,
            queue_total=_TOTAL_QUEUES * limits.queue_per_priority,
        )

    def can_resume(self, name: str) -> bool:
        """Whether an engine says that it can begin a stream later on."""
        found = self._parts.states.by_name.get(name)
        return found is not None and found.resumes

    def version_of(self, name: str, model: str) -> str:
        """Return the version of a model that an engine holds."""
        found = self._parts.states.by_name.get(name)
        return found.models.get(model, '') if found else ''

    def _narrow(self, found: list[Candidate]) -> list[Candidate]:
        near, far = [], []
        for candidate in found:
            own = candidate.endpoint.data_centre == self._config.data_centre
            (near if own else far).append(candidate)
        instance = self._config.name
        return [*take_subset(instance, near), *take_subset(instance, far)]

    def _list_live(
        self,
        kind: EndpointKind,
        now: float,
        service: str,
    ) -> list[Endpoint]:
        """Return the live endpoints that no operator drains."""
        drains = self._parts.settings().drains
        live = self._parts.live(kind, now, service)
        return [found for found in live if found.name not in drains]

    def _list_services(self, service: str, now: float) -> list[Candidate]:
        live = self._list_live(EndpointKind.SERVICE, now, service)
        return [Candidate(endpoint, Role.MIXED) for endpoint in live]

    def _list_engines(
        self,
        model: str,
        adapter: str,
        now: float,
    ) -> list[Candidate]:
        found = []
        for endpoint in self._list_live(EndpointKind.ENGINE, now, ''):
            state = self._parts.states.by_name.get(endpoint.name)
            # Another process under the same name holds other models; its
            # predecessor's state must not draw requests to it.
            if state is None or state.incarnation != endpoint.incarnation:
                continue
            if state.holds(model, adapter):
                found.append(Candidate(endpoint, state.role))
        return found

    def _miss_service(
        self,
        service: str,
        known: object,
    ) -> Result[None, Problem]:
        if service in known:
            return _fail(ErrorKind.NO_ENDPOINT, f'{service!r} is not live')
        return _fail(ErrorKind.NOT_FOUND, f'no service {service!r}')


def _fail(kind: ErrorKind, message: str) -> Result[None, Problem]:
    return Failure(Problem(kind, message))
