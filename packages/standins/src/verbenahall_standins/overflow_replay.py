"""Replays prompts for two groups of engines whose phases of load are apart.

One group gets long prompts while the other one is nearly idle, and in turns
(pattern 1 of docs/design/hard-load.md). Without sockets: instances know the
pressure that the groups have stated in their answers to them.
"""

import enum
import itertools
import random
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final, final

from verbenahall import overflow
from verbenahall_standins.lines import Line

#: Objective of all prompts, in seconds.
OBJECTIVE_S: Final = 0.6
#: The other one of the two groups.
OTHER: Final[Mapping[str, str]] = MappingProxyType({'a': 'b', 'b': 'a'})
#: Engines of a group, and the time in which one of them prefills a prompt whose
#: prefix is cached, in seconds.
_ENGINES: Final = 4
_PREFILL_S: Final = 0.05
#: Time to prefill a short and a long prefix that is not cached, in seconds.
SHORT_PREFIX_S: Final = 0.03
LONG_PREFIX_S: Final = 0.15
#: Length of a phase in seconds, and the loads of the two groups as shares of
#: what each can prefill.
_PHASE_S: Final = 2.8
_LOADS: Final = (1.35, 0.3)
_DURATION_S: Final = 28.0
_INSTANCES: Final = 8
#: Share of the objective that a prompt may wait for others.
_WAIT_SHARE: Final = 0.5
_SERVICE: Final = 'reader'


@final
class Policy(enum.Enum):
    """By what an instance chooses the group that it asks first.

    The prefix only, the prefix and the pressures, or the lowest pressure that
    it knows, which is the naive way.
    """

    PREFIX = 'prefix'
    OVERFLOW = 'overflow'
    LOWEST = 'lowest'


@final
class _Group:
    """A group whose engines prefill one prompt after the other."""

    def __init__(self) -> None:
        self.load = overflow.GroupLoad()
        self._free_at: float = 0

    def assign(self, now: float, missing_s: float) -> float:
        """Queue a prompt; return how long it waits, in seconds.

        ``missing_s`` is the time to prefill the prefix if it is not cached.
        """
        wait_s = max(0, self._free_at - now)
        self._free_at = now + wait_s + (_PREFILL_S + missing_s) / _ENGINES
        overflow.record_objective(self.load, OBJECTIVE_S)
        overflow.record_wait(self.load, wait_s, now)
        return wait_s


@final
class OverflowReplay:
    """Prompts of eight instances for two groups under one policy.

    ``waits`` holds how long each prompt has waited, in seconds, and ``taken``
    when which group took a prompt past the other one.
    """

    def __init__(
        self,
        policy: Policy,
        seed: int = 1,
        prefix_s: float = SHORT_PREFIX_S,
    ) -> None:
        """Replay the whole trace of a seed.

        ``prefix_s`` is the time to prefill a prefix that is not cached.
        """
        self.waits: list[float] = []
        self.taken: list[tuple[float, str]] = []
        self._policy = policy
        self._prefix_s = prefix_s
        self._groups = {name: _Group() for name in OTHER}
        rng = random.Random(seed)
        instances = [overflow.StatusTable() for _ in range(_INSTANCES)]
        for now, name in _generate_arrivals(rng):
            self._send(rng.choice(instances), name, now)

    @property
    def late_share(self) -> float:
        """The share of prompts that wait for over half of their objective."""
        late = [one for one in self.waits if one > OBJECTIVE_S * _WAIT_SHARE]
        return len(late) / len(self.waits)

    def _send(
        self, statuses: overflow.StatusTable, name: str, now: float
    ) -> None:
        """Ask the groups for one prompt in order until one accepts it."""
        order = self._order(statuses, name, now)
        for target in order.groups:
            load = self._groups[target].load
            spilled = order.find_spilled(target)
            accepted = not spilled or overflow.accepts_spill(
                load, spilled, (), now
            )
            if accepted:
                self._assign(target, name, now)
            status = overflow.describe_load(load, (), now)
            statuses.record(_SERVICE, target, status, now)
            if accepted:
                return

    def _assign(self, target: str, name: str, now: float) -> None:
        missing_s = 0 if target == name else self._prefix_s
        self.waits.append(self._groups[target].assign(now, missing_s))
        if target != name:
            self.taken.append((now, target))

    def _order(
        self, statuses: overflow.StatusTable, name: str, now: float
    ) -> overflow.GroupOrder:
        groups = (name, OTHER[name])
        match self._policy:
            case Policy.PREFIX:
                return overflow.GroupOrder(groups)
            case Policy.OVERFLOW:
                prefix_share = self._prefix_s / OBJECTIVE_S
                return overflow.order_groups(
                    statuses, _SERVICE, groups, prefix_share, now
                )
        found = [statuses.find(_SERVICE, one, now) for one in groups]
        pressures = [one.pressure if one else 0 for one in found]
        if pressures[1] < pressures[0]:
            groups = (OTHER[name], name)
        return overflow.GroupOrder(groups)


def build_lines(seed: int) -> Iterator[Line]:
    """Yield the share of late prompts by policy, the prefix as the baseline."""
    baseline = OverflowReplay(Policy.PREFIX, seed).late_share
    prefixes = {'short': SHORT_PREFIX_S, 'long': LONG_PREFIX_S}
    for policy, label in itertools.product(Policy, prefixes):
        replay = OverflowReplay(policy, seed, prefixes[label])
        yield Line(
            f'phases, {label} prefixes, {policy.value} late',
            replay.late_share,
            'share',
            baseline,
        )


def _generate_arrivals(rng: random.Random) -> Iterator[tuple[float, str]]:
    """Yield times and the groups by prefix."""
    period_s = _PREFILL_S / _ENGINES
    for tick in range(int(_DURATION_S / period_s)):
        now = tick * period_s
        phase = int(now / _PHASE_S) % len(_LOADS)
        for number, name in enumerate(OTHER):
            load = _LOADS[(number + phase) % len(_LOADS)]
            for _ in range(int(load + rng.random())):
                yield now, name
