"""Runs an instance whose connections to endpoints go through links.

``python -m verbenahall_standins.soak._linked_instance FILE`` reads the links
from ``FILE``, and from a file beside it which share of its peers' datagrams it
loses.
"""

import sys
from pathlib import Path
from unittest import mock

from verbenahall.gateway.__main__ import main
from verbenahall.peers import PeerExchange
from verbenahall.platform import _connections as connections
from verbenahall_standins.soak._datagrams import DatagramLoss, get_loss_path
from verbenahall_standins.soak._links import LinkOpener

if __name__ == '__main__':
    links_path = Path(sys.argv[1])
    opener = LinkOpener(links_path)
    loss = DatagramLoss(get_loss_path(links_path))
    send = loss.wrap(PeerExchange.send)
    receive = loss.wrap(PeerExchange.datagram_received)
    with (
        mock.patch.object(connections, '_open_socket', opener.open_socket),
        mock.patch.object(PeerExchange, 'send', send),
        mock.patch.object(PeerExchange, 'datagram_received', receive),
    ):
        sys.exit(main())
