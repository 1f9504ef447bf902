"""What every other part of an instance stands on.

The sessions, the log with its folds, the membership, and whether the
instance is ready.
"""

import random
import secrets
from typing import Final, final

from verbenahall import clock
from verbenahall.admin import Readiness
from verbenahall.claims import Claims
from verbenahall.config import InstanceConfig
from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.front import Sessions, make_session
from verbenahall.instance._membership_adapter import Experience
from verbenahall.instance._folds import Folds
from verbenahall.log import LogClient
from verbenahall.membership import (
    MembershipRules,
    MembershipState,
    all_endpoints,
    live,
)
from verbenahall.snapshots import SnapshotKeeper

_INCARNATION_BYTES: Final = 4
#: The log counts as heard while its last answer is at most this old.
_HEARD_S: Final = 10.0


@final
class Core:
    """The parts that the control loops and the callers' path share."""

    def __init__(self, config: InstanceConfig) -> None:
        """Build every part; the loop must be running."""
        self.config = config
        self.incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self.holder = f'{config.name}.{self.incarnation}'
        self.source = random.Random(self.holder)
        self.sessions = Sessions(make_session(), make_session(fresh=True))
        self.client = LogClient(
            config.platform.log,
            self.sessions.kept,
            self.holder,
        )
        self.claims = Claims(self.client, self.holder)
        self.folds = Folds(self.claims)
        self.members = MembershipState(
            MembershipRules(silent_after_s=config.timing.silent_after_s),
        )
        self.experience = Experience(self.members, self.folds.orders)
        self.snapshots = SnapshotKeeper(
            self.client,
            self.folds.list_foldables(),
            self.sessions.kept,
            self._list_peers,
            is_peer=self._is_peer,
        )
        self.stopping = False

    def read_readiness(self) -> Readiness:
        """Say whether the instance takes requests, and if not, why not."""
        if self.stopping:
            return Readiness(ready=False, reason='stopping')
        if not self.snapshots.ready:
            return Readiness(ready=False, reason=self.snapshots.reason)
        return Readiness(ready=True)

    def is_caught_up(self) -> bool:
        """Whether the follower has read to the log's end just now."""
        follower = self.snapshots.follower
        age_s = clock.monotonic() - follower.last_contact
        heard = follower.head >= 0 and age_s < _HEARD_S
        return heard and follower.position >= follower.head

    async def close(self) -> None:
        """Close the client sessions."""
        await self.sessions.kept.close()
        await self.sessions.fresh.close()

    def _list_peers(self) -> list[str]:
        """Return the other instances' addresses, the data centre's first."""
        now = clock.monotonic()
        found = live(self.members, EndpointKind.INSTANCE, now)
        others = [peer for peer in found if peer.name != self.config.name]
        others.sort(key=self._is_far)
        return [peer.address for peer in others]

    def _is_peer(self, host: str) -> bool:
        """Whether a host is that of an instance on the platform's list."""
        return any(
            endpoint.kind is EndpointKind.INSTANCE
            and endpoint.address.rpartition(':')[0] == host
            for endpoint in all_endpoints(self.members)
        )

    def _is_far(self, peer: Endpoint) -> bool:
        return peer.data_centre != self.config.data_centre
