"""The network links of one instance to the endpoints, which can be cut."""

import dataclasses
import enum
import json
import socket
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, final

from verbenahall_standins.soak._proxy import Link, Listener, Proxy


@final
class Cut(enum.Enum):
    """How the links of an instance to the endpoints are cut."""

    NONE = 'none'
    #: Open connections and new ones get no response.
    HANGING = 'hanging'
    #: Open connections are reset, and new ones are refused.
    RESET = 'reset'
    #: Open connections go on, and new ones get no response.
    NO_NEW = 'no_new'


@dataclasses.dataclass(frozen=True, slots=True)
class _Effect:
    """What open and new connections meet."""

    link: Link
    listener: Listener


_EFFECTS: Final[Mapping[Cut, _Effect]] = MappingProxyType(
    {
        Cut.NONE: _Effect(Link.GOOD, Listener.OPEN),
        Cut.HANGING: _Effect(Link.SILENT, Listener.DARK),
        Cut.RESET: _Effect(Link.RESET, Listener.CLOSED),
        Cut.NO_NEW: _Effect(Link.GOOD, Listener.DARK),
    },
)


@final
class _LinkedSocket(socket.socket):
    """A socket whose connects go through the links of an instance."""

    __slots__ = ('targets',)

    def connect(self, address: Any) -> None:
        """Connect by the link to ``address``, if there is one."""
        host, port = address
        target = self.targets.get(f'{host}:{port}')
        if target is not None:
            host, _, port = target.rpartition(':')
        super().connect((host, int(port)))


@final
class EndpointLinks:
    """Links of one instance to endpoints, by the endpoints' addresses.

    For example, with an instance on the same event loop::

        links = EndpointLinks()
        await links.start(['127.0.0.1:7100'])
        gateway.core.session.connector.open_socket = links.open_socket
        await links.cut(Cut.HANGING)

    An instance in a process of its own reads the file that ``write`` makes.
    """

    __slots__ = ('_proxies',)

    def __init__(self) -> None:
        """Prepare; nothing listens before ``start``."""
        self._proxies: dict[str, Proxy] = {}

    async def start(self, addresses: Sequence[str]) -> None:
        """Start a link to each address."""
        for address in addresses:
            proxy = Proxy(address)
            await proxy.start()
            self._proxies[address] = proxy

    async def stop(self) -> None:
        """Close all links."""
        for proxy in self._proxies.values():
            await proxy.stop()

    async def cut(self, form: Cut, addresses: Sequence[str] = ()) -> None:
        """Cut the links to some addresses, to all if none are given."""
        effect = _EFFECTS[form]
        for address in addresses or tuple(self._proxies):
            proxy = self._proxies[address]
            await proxy.set_listener(effect.listener)
            proxy.set(effect.link)

    def write(self, path: Path) -> None:
        """Write the addresses of the links to a file, for ``LinkOpener``."""
        path.write_text(json.dumps(self._list_targets()))

    def open_socket(self, address: Any) -> socket.socket:
        """Open a socket whose connect goes through these links."""
        return _open_socket(self._list_targets(), address)

    def _list_targets(self) -> Mapping[str, str]:
        return {name: proxy.address for name, proxy in self._proxies.items()}


@final
class LinkOpener:
    """Opens sockets that connect through the links in a file."""

    __slots__ = ('_targets',)

    def __init__(self, path: Path) -> None:
        """Read the addresses of the links."""
        self._targets: Mapping[str, str] = json.loads(path.read_text())

    def open_socket(self, address: Any) -> socket.socket:
        """Open a socket whose connect goes through the links."""
        return _open_socket(self._targets, address)


def _open_socket(targets: Mapping[str, str], address: Any) -> socket.socket:
    family, kind, protocol, *_ = address
    opened = _LinkedSocket(family, kind, protocol)
    opened.targets = targets
    opened.setblocking(False)
    return opened
