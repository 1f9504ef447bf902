"""Datagrams by which instances tell each other of endpoints that leave."""

import dataclasses
from typing import Final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire
from verbenahall.roster._decisions import record_leaving
from verbenahall.roster._messages import Incarnation
from verbenahall.roster._state import Roster

#: First bytes of every notice, by which other datagrams are recognised without
#: being decoded.
_PREFIX: Final = b'{"leaving":'


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingNotice:
    """An incarnation whose answers say that it leaves."""

    incarnation: Incarnation


def encode_notice(notice: LeavingNotice) -> bytes:
    """Encode a notice for a datagram."""
    return wire.encode({'leaving': notice.incarnation})


def decode_notice(datagram: bytes) -> Maybe[LeavingNotice]:
    """Decode a datagram; Nothing if it is not a valid notice."""
    if not datagram.startswith(_PREFIX):
        return Nothing
    match wire.decode_table(datagram):
        case Success({'leaving': [str(name), int(born)]}):
            return Some(LeavingNotice((name, born)))
        case _:
            return Nothing


def apply_notice(roster: Roster, notice: LeavingNotice) -> bool:
    """Record the leaving of a listed incarnation; False if nothing changes.

    A notice of any other incarnation has no effect.
    """
    name, _ = notice.incarnation
    listing = roster.listings.get(name)
    if listing is None or listing.entry.incarnation != notice.incarnation:
        return False
    return record_leaving(roster, notice.incarnation)
