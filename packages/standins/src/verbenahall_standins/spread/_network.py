"""Hosts with links of a bandwidth, and the calls and datagrams between them."""

import asyncio
import contextlib
import dataclasses
import enum
import random
from collections.abc import AsyncIterator, Callable, Mapping
from http import HTTPStatus
from typing import Any, Final, final

import aiohttp

_BITS_IN_BYTE: Final = 8
_BITS_IN_MEGABIT: Final = 1_000_000
#: Bytes that are sent at a time; transfers on one link take turns.
_PIECE_BYTES: Final = 16_384
#: Time between two hosts in one direction, and the longest time until a host
#: handles what has arrived, in seconds.
_LATENCY_S: Final = 0.0014
_MAX_HANDLING_S: Final = 0.02
_HEAD_BYTES: Final = 300


@final
class Refusal(enum.Enum):
    """How the store refuses an instance."""

    NONE = 'none'
    STATUS = 'status'
    RESET = 'reset'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer of a host."""

    status: int
    body: bytes = b''
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


#: Answers a call of an address with a path and a query; the answer is open
#: until the exit of its context.
Handler = Callable[
    [str, str, Mapping[str, str]],
    contextlib.AbstractAsyncContextManager[Answer],
]


@final
class Host:
    """One host: its link, what it serves, and whether it stands still.

    ``refusal`` is how the store treats it.
    """

    __slots__ = (
        'address',
        'handle_call',
        'handle_datagram',
        'megabits',
        'received_bytes',
        'refusal',
        'runs',
        '_free_at',
    )

    def __init__(self, address: str, megabits: float) -> None:
        """Start with an idle link."""
        self.address = address
        self.handle_call: Handler | None = None
        self.handle_datagram: Callable[[bytes, str], object] = _ignore
        self.megabits = megabits
        self.received_bytes = 0
        self.refusal = Refusal.NONE
        self.runs = asyncio.Event()
        self.runs.set()
        self._free_at: dict[str, float] = {'in': 0, 'out': 0}

    def reserve(self, direction: str, size: int, now: float) -> float:
        """Return when the link has carried so many more bytes."""
        start = max(now, self._free_at[direction])
        bits = size * _BITS_IN_BYTE
        end = start + bits / (self.megabits * _BITS_IN_MEGABIT)
        self._free_at[direction] = end
        return end


@final
class Network:
    """All hosts by address, and the time that messages between them take.

    ``loss`` is the share of the datagrams that don't arrive.
    """

    __slots__ = ('hosts', 'loss', '_random')

    def __init__(self, rng: random.Random) -> None:
        """Start without hosts."""
        self.hosts: dict[str, Host] = {}
        self.loss: float = 0
        self._random = rng

    def add_host(self, address: str, megabits: float) -> Host:
        """Add a host; ``address`` is ``IP:port``."""
        self.hosts[address] = Host(address, megabits)
        return self.hosts[address]

    def send_datagram(self, sender: Host, address: str, data: bytes) -> None:
        """Deliver a datagram, unless one of the hosts stands still."""
        receiver = self.hosts.get(address)
        if receiver is None or not sender.runs.is_set():
            return
        if self._random.random() < self.loss:
            return
        loop = asyncio.get_running_loop()
        at = self._find_arrival(sender, receiver, len(data))
        at += self._random.uniform(0, _MAX_HANDLING_S)
        loop.call_at(at, _deliver, receiver, data, sender.address)

    async def transfer(self, sender: Host, receiver: Host, size: int) -> None:
        """Wait until so many bytes have arrived."""
        loop = asyncio.get_running_loop()
        at = self._find_arrival(sender, receiver, size)
        await asyncio.sleep(at - loop.time())
        await receiver.runs.wait()
        receiver.received_bytes += size

    async def handle(self) -> None:
        """Wait until a host handles what has arrived."""
        await asyncio.sleep(self._random.uniform(0, _MAX_HANDLING_S))

    def _find_arrival(self, sender: Host, receiver: Host, size: int) -> float:
        now = asyncio.get_running_loop().time()
        sent_at = sender.reserve('out', size, now)
        received_at = receiver.reserve('in', size, now)
        return max(sent_at, received_at) + _LATENCY_S


@final
class Session:
    """What an instance uses of an HTTP session."""

    __slots__ = ('_host', '_network')

    def __init__(self, network: Network, host: Host) -> None:
        """Call from ``host``."""
        self._host = host
        self._network = network

    def get(self, url: str, **options: Any) -> Any:
        """Send a request without a body."""
        return self.request('GET', url, **options)

    @contextlib.asynccontextmanager
    async def request(
        self, method: str, url: str, *, params: Mapping[str, str], **_: Any
    ) -> AsyncIterator[Any]:
        """Call another host; the body arrives piece by piece."""
        address, _, path = url.removeprefix('http://').partition('/')
        called = self._network.hosts[address]
        if called.handle_call is None:
            raise aiohttp.ClientOSError('refused')
        await self._host.runs.wait()
        await self._network.transfer(self._host, called, _HEAD_BYTES)
        await self._network.handle()
        async with called.handle_call(
            self._host.address, f'/{path}', params
        ) as answer:
            await called.runs.wait()
            await self._network.transfer(called, self._host, _HEAD_BYTES)
            yield _Response(self._network, called, self._host, answer)


@final
class _Response:
    """An answer of which the head has arrived; also its own body."""

    __slots__ = (
        'headers',
        'status',
        '_called',
        '_caller',
        '_network',
        '_rest',
    )

    def __init__(
        self, network: Network, called: Host, caller: Host, answer: Answer
    ) -> None:
        self.headers = answer.headers
        self.status = answer.status
        self._called = called
        self._caller = caller
        self._network = network
        self._rest = answer.body

    @property
    def ok(self) -> bool:
        return self.status < HTTPStatus.BAD_REQUEST

    @property
    def content_length(self) -> int:
        return len(self._rest)

    @property
    def content(self) -> '_Response':
        return self

    async def readany(self) -> bytes:
        piece = self._rest[:_PIECE_BYTES]
        self._rest = self._rest[_PIECE_BYTES:]
        if piece:
            await self._called.runs.wait()
            await self._network.transfer(self._called, self._caller, len(piece))
        return piece

    async def read(self) -> bytes:
        pieces = []
        while piece := await self.readany():
            pieces.append(piece)
        return b''.join(pieces)


def _deliver(receiver: Host, data: bytes, sender: str) -> None:
    if receiver.runs.is_set():
        receiver.received_bytes += len(data)
        receiver.handle_datagram(data, sender)


def _ignore(data: bytes, sender: str) -> None:
    """Ignore a datagram."""
