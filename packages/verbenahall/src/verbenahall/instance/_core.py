"""The shared core of an instance.

It consists of the client sessions, the log with its folds, the membership,
and the readiness of the instance.
"""

import random
import secrets
from typing import Final, final

from verbenahall import clock
from verbenahall.admin import Readiness
from verbenahall.buffers import ByteBudget, make_byte_limit
from verbenahall.claims import Claims
from verbenahall.config import InstanceConfig
from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.front import Sessions, make_session
from verbenahall.instance._folds import Folds
from verbenahall.instance._membership_adapter import MembershipAdapter
from verbenahall.log import LogClient
from verbenahall.membership import (
    MembershipRules,
    MembershipState,
    find_endpoint,
    list_endpoints,
    list_live,
)
from verbenahall.shutdown import RunTimes, ShutdownState
from verbenahall.snapshots import SnapshotManager

_INCARNATION_BYTES: Final = 4
#: Maximum age of the log's last answer, in seconds, at which the instance can
#: count as caught up.
_MAX_CONTACT_AGE_S: Final = 10.0


@final
class Core:
    """The parts that the control loops and request handling share."""

    def __init__(self, config: InstanceConfig) -> None:
        """Build every part; the event loop must be running."""
        self.config = config
        self.incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self.holder = f'{config.name}.{self.incarnation}'
        self.rng = random.Random(self.holder)
        budget = ByteBudget(make_byte_limit(config.limits.find_memory_bytes()))
        self.sessions = Sessions(
            make_session(budget.bounds),
            make_session(budget.bounds, single_use=True),
            budget,
        )
        self.client = LogClient(
            config.platform.log,
            self.sessions.pooled,
            self.holder,
        )
        self.run_times = RunTimes(clock.monotonic)
        #: The graceful stop of the process, None before it is known.
        self.stop: ShutdownState | None = None
        self.claims = Claims(self.client, self.holder)
        self.folds = Folds(self.claims)
        self.members = MembershipState(
            MembershipRules(silent_after_s=config.timing.silent_after_s),
        )
        self.membership = MembershipAdapter(self.members, self.folds.orders)
        self.snapshots = SnapshotManager(
            self.client,
            self.folds.list_foldables(),
            self.sessions.pooled,
            self._list_addresses,
            is_peer=self._is_peer,
        )
        self.stopping = False

    def read_readiness(self) -> Readiness:
        """Return whether the instance takes requests, and if not, why not."""
        if self.stopping:
            return Readiness(ready=False, reason='stopping')
        if not self.snapshots.ready:
            return Readiness(ready=False, reason=self.snapshots.reason)
        return Readiness(ready=True)

    def is_caught_up(self) -> bool:
        """Whether the follower has recently read up to the end of the log."""
        follower = self.snapshots.follower
        age_s = clock.monotonic() - follower.last_contact
        is_recent = follower.head >= 0 and age_s < _MAX_CONTACT_AGE_S
        return is_recent and follower.position >= follower.head

    async def close(self) -> None:
        """Close the client sessions."""
        await self.sessions.pooled.close()
        await self.sessions.single_use.close()

    def bears(self, target: str, left_s: float) -> bool:
        """Whether a stop leaves enough time for another request.

        ``target`` is its model or service, ``left_s`` how long its caller still
        waits, in seconds. Callers without a deadline wait longer than any
        grace period: if nothing is known, half of that counts.
        """
        if self.stop is None:
            return True
        unknown_s = self.stop.timing.grace_s / 2
        needed_s = self.run_times.estimate(target, left_s, unknown_s)
        return needed_s <= self.stop.find_left_s(clock.monotonic())

    def list_peers(self) -> list[Endpoint]:
        """Return the other live instances."""
        now = clock.monotonic()
        instances = list_live(self.members, EndpointKind.INSTANCE, now)
        return [peer for peer in instances if peer.name != self.config.name]

    def is_local(self, peer: Endpoint) -> bool:
        """Whether a peer is in this instance's data centre."""
        return peer.data_centre == self.config.data_centre

    def is_instance(self, name: str, host: str | None) -> bool:
        """Whether the platform's list has an instance with this address."""
        peer = find_endpoint(self.members, name)
        return (
            peer is not None
            and peer.kind is EndpointKind.INSTANCE
            and peer.address.rpartition(':')[0] == host
        )

    def _list_addresses(self) -> list[str]:
        """Return the other instances' addresses, local data centre first."""
        peers = sorted(self.list_peers(), key=self.is_local, reverse=True)
        return [peer.address for peer in peers]

    def _is_peer(self, host: str) -> bool:
        """Whether the platform's list has an instance with this host."""
        return any(
            endpoint.kind is EndpointKind.INSTANCE
            and endpoint.address.rpartition(':')[0] == host
            for endpoint in list_endpoints(self.members)
        )
