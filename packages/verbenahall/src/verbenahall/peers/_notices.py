"""Notices of one kind on the socket between instances."""

from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar, final

from returns.maybe import Maybe, Some

from verbenahall.peers._shell import PeerExchange
from verbenahall.peers._state import Peer

Notice = TypeVar('Notice')


@final
class NoticeChannel(Generic[Notice]):
    """Passes notices of one kind on, and other datagrams to the next handler.

    ``decode`` returns Nothing for datagrams of other kinds, and ``on_notice``
    gets each notice with its sender's address.
    """

    __slots__ = ('_decode', '_exchange', '_next_handler', '_on_notice')

    def __init__(
        self,
        exchange: PeerExchange,
        decode: Callable[[bytes], Maybe[Notice]],
        on_notice: Callable[[Notice, str], Any],
    ) -> None:
        """Install the channel in the exchange, before the other handlers."""
        self._decode = decode
        self._exchange = exchange
        self._next_handler = exchange.datagram_handler
        self._on_notice = on_notice
        exchange.datagram_handler = self.handle_datagram

    def handle_datagram(self, datagram: bytes, sender: str) -> bool:
        """Pass a notice on; False if no handler knows the datagram."""
        found = self._decode(datagram)
        if isinstance(found, Some):
            self._on_notice(found.unwrap(), sender)
            return True
        return self._next_handler(datagram, sender)

    def send(self, datagram: bytes, peers: Iterable[Peer]) -> None:
        """Send one datagram to some peers."""
        for peer in peers:
            self._exchange.send(datagram, peer.address)
