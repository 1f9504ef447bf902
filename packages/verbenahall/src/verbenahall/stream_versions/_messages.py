"""Datagrams about the versions at which streams began."""

import dataclasses
import enum
import hashlib
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final, final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire

#: Size of a key in bytes; datagrams hold it in hexadecimal.
_KEY_BYTES: Final = 10
#: First bytes of every message, by which other datagrams are recognised without
#: being decoded.
_PREFIX: Final = b'{"stream":'
_AGE_DIGITS: Final = 3


@final
class Evidence(enum.Enum):
    """What an instance knows of the version of a stream.

    ``RECORDED`` is the version that began it. ``SOLE`` is the only version that
    its service had for longer than any stream lives, ``LISTED`` the same by a
    list that the store has not confirmed lately. ``SEVERAL`` means that the
    service had several and the stream is unknown, ``UNKNOWN`` that the instance
    has not known the service for long enough.
    """

    RECORDED = 'recorded'
    SOLE = 'sole'
    LISTED = 'listed'
    SEVERAL = 'several'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Beginning:
    """A stream of a service began ``age_s`` seconds ago at a version."""

    key: str
    service: str
    version: str
    age_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionQuery:
    """Asks for the version of a stream; ``number`` identifies the query."""

    number: int
    key: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a query; ``version`` is empty where it is not known."""

    number: int
    evidence: Evidence
    version: str = ''


Message = Beginning | VersionQuery | Reply
_Parser = Callable[[list[Any]], Maybe[Message]]


def make_stream_key(service: str, workspace: str, request: str) -> str:
    """Return the key of the stream that a request began.

    It is the same at all instances. An id of another service or workspace has
    another key::

        make_stream_key('drafter', 'desk', '9c41d07be2a35f68')
    """
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    for text in (service, workspace, request):
        encoded = text.encode('utf-8', 'surrogateescape')
        digest.update(len(encoded).to_bytes(_KEY_BYTES))
        digest.update(encoded)
    return digest.hexdigest()


def encode(message: Message) -> bytes:
    """Encode a message for a datagram."""
    match message:
        case Beginning(key, service, version, age_s):
            row = ['began', key, service, version, round(age_s, _AGE_DIGITS)]
        case VersionQuery(number, key, service):
            row = ['query', number, key, service]
        case Reply(number, evidence, version):
            row = ['reply', number, evidence.value, version]
    return wire.encode({'stream': row})


def decode(datagram: bytes) -> Maybe[Message]:
    """Decode a datagram; Nothing if it is no valid message about a stream."""
    if not datagram.startswith(_PREFIX):
        return Nothing
    match wire.decode_table(datagram):
        case Success({'stream': [str(name), *values]}) if name in _PARSERS:
            return _PARSERS[name](values)
        case _:
            return Nothing


def _parse_beginning(values: list[Any]) -> Maybe[Message]:
    match values:
        case [
            str(key),
            str(service),
            str(version),
            int() | float() as age_s,
        ] if age_s >= 0:
            return Some(Beginning(key, service, version, age_s))
        case _:
            return Nothing


def _parse_query(values: list[Any]) -> Maybe[Message]:
    match values:
        case [int(number), str(key), str(service)]:
            return Some(VersionQuery(number, key, service))
        case _:
            return Nothing


def _parse_reply(values: list[Any]) -> Maybe[Message]:
    match values:
        case [int(number), str(text), str(version)] if text in _EVIDENCE:
            return Some(Reply(number, Evidence(text), version))
        case _:
            return Nothing


_EVIDENCE: Final = frozenset(one.value for one in Evidence)
_PARSERS: Final[Mapping[str, _Parser]] = MappingProxyType(
    {
        'began': _parse_beginning,
        'query': _parse_query,
        'reply': _parse_reply,
    },
)
