"""At which software version a stream began, and whether it may go on.

Engines of several software versions may serve one service, and the events of
two versions do not fit together. While a service has one version nothing is
recorded. Otherwise each beginning is sent to a few instances, the owners of
its key, and looked up there when a caller takes the stream up again.
"""

from verbenahall.stream_versions._checkpoint import (
    Checkpoint,
    decode_checkpoint,
    encode_checkpoint,
)
from verbenahall.stream_versions._decisions import (
    choose_owners,
    choose_queried,
    decide_version,
    has_owners,
)
from verbenahall.stream_versions._history import VersionHistory
from verbenahall.stream_versions._life import StreamLife
from verbenahall.stream_versions._messages import (
    Beginning,
    Evidence,
    Reply,
    VersionQuery,
    decode,
    encode,
    make_stream_key,
)
from verbenahall.stream_versions._records import StreamRecord, StreamRecords

__all__ = (
    'Beginning',
    'Checkpoint',
    'Evidence',
    'Reply',
    'StreamLife',
    'StreamRecord',
    'StreamRecords',
    'VersionHistory',
    'VersionQuery',
    'choose_owners',
    'choose_queried',
    'decide_version',
    'decode',
    'decode_checkpoint',
    'encode',
    'encode_checkpoint',
    'has_owners',
    'make_stream_key',
)
