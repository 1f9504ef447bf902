"""Runs an instance whose connections to endpoints go through links.

``python -m verbenahall_standins.soak._linked_instance FILE`` reads the links
from ``FILE``.
"""

import sys
from pathlib import Path
from unittest import mock

from verbenahall.gateway.__main__ import main
from verbenahall.platform import _connections as connections
from verbenahall_standins.soak._links import LinkOpener

if __name__ == '__main__':
    opener = LinkOpener(Path(sys.argv[1]))
    with mock.patch.object(connections, '_open_socket', opener.open_socket):
        sys.exit(main())
