"""The network links of one instance to the endpoints, which can be cut."""

import enum
import socket
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final, final

from verbenahall_standins.soak._proxy import Link, Proxy

_HOST: Final = '127.0.0.1'
#: Connections that fill the queue of a listener which accepts none.
_QUEUE_FILLERS: Final = 2


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


#: State of the links of open connections in each form of a cut.
_OPEN_LINKS: Final[Mapping[Cut, Link]] = MappingProxyType(
    {
        Cut.NONE: Link.GOOD,
        Cut.HANGING: Link.SILENT,
        Cut.RESET: Link.RESET,
        Cut.NO_NEW: Link.GOOD,
    },
)


@final
class _LinkedSocket(socket.socket):
    """A socket whose connects go through the links of an instance."""

    __slots__ = ('links',)

    def connect(self, address: Any) -> None:
        """Connect by the link to ``address``, if there is one."""
        super().connect(self.links.find_target(address))


@final
class EndpointLinks:
    """Links of one instance to endpoints, by the endpoints' addresses.

    For example::

        links = EndpointLinks()
        await links.start(['127.0.0.1:7100'])
        links.install(gateway.core.session)
        links.cut(Cut.HANGING)
    """

    __slots__ = ('_cut', '_dark', '_fillers', '_proxies', '_refusing')

    def __init__(self) -> None:
        """Prepare; nothing listens before ``start``."""
        self._cut: dict[str, Cut] = {}
        self._proxies: dict[str, Proxy] = {}
        self._dark = socket.socket()
        self._refusing = socket.socket()
        self._fillers: list[socket.socket] = []

    async def start(self, addresses: Sequence[str]) -> None:
        """Start a link to each address."""
        for address in addresses:
            proxy = Proxy(address)
            await proxy.start()
            self._proxies[address] = proxy
        self._refusing.bind((_HOST, 0))
        self._dark.bind((_HOST, 0))
        # The kernel drops the first packet of a connection while the queue of
        # the listener is full, so that the connect gets no response.
        self._dark.listen(0)
        for _ in range(_QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._dark.getsockname())
            self._fillers.append(filler)

    async def stop(self) -> None:
        """Close all links."""
        for proxy in self._proxies.values():
            await proxy.stop()
        for opened in (self._dark, self._refusing, *self._fillers):
            opened.close()

    def install(self, session: Any) -> None:
        """Let the session's new connections use these links."""
        session.connector.open_socket = self.open_socket

    def cut(self, form: Cut, addresses: Sequence[str] = ()) -> None:
        """Cut the links to some addresses, to all if none are given."""
        for address in addresses or tuple(self._proxies):
            self._cut[address] = form
            self._proxies[address].set(_OPEN_LINKS[form])

    def open_socket(self, address: Any) -> socket.socket:
        """Open a socket for a connection to ``address``."""
        family, kind, protocol, *_ = address
        opened = _LinkedSocket(family, kind, protocol)
        opened.links = self
        opened.setblocking(False)
        return opened

    def find_target(self, address: Any) -> Any:
        """Return the address to which a connect to ``address`` goes."""
        host, port = address
        name = f'{host}:{port}'
        proxy = self._proxies.get(name)
        if proxy is None:
            return address
        match self._cut.get(name, Cut.NONE):
            case Cut.HANGING | Cut.NO_NEW:
                return self._dark.getsockname()
            case Cut.RESET:
                return self._refusing.getsockname()
        proxy_host, _, proxy_port = proxy.address.rpartition(':')
        return proxy_host, int(proxy_port)
