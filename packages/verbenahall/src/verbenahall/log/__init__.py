"""Client of the platform's log: appends, reads and following.

Example::

    client = LogClient('127.0.0.1:7100', session, holder='entry-1')
    match await client.append('settings', body):
        case Success(offset): ...
        case Failure(problem): ...  # problem.ran: may the record exist?
"""

from verbenahall.log._client import LogClient
from verbenahall.log._follower import FOLLOWED_STREAMS, LogFollower
from verbenahall.log._messages import MAX_RECORD_BYTES, Page

__all__ = (
    'FOLLOWED_STREAMS',
    'MAX_RECORD_BYTES',
    'LogClient',
    'LogFollower',
    'Page',
)
