"""What instances tell each other about the work that they have open."""

from verbenahall.peers._messages import (
    News,
    Word,
    decode_message,
    encode_news,
    encode_word,
    split_news,
)
from verbenahall.peers._shell import PeerExchange
from verbenahall.peers._state import (
    Confirmed,
    Peer,
    PeerBook,
    choose_due,
    find_heard,
    find_missing,
    greet,
    hear,
    is_sampled,
    tell_whom,
)
from verbenahall.peers._ranks import find_rank, list_first
from verbenahall.peers._watchers import (
    find_confirmed,
    find_furthest,
    is_relieved,
)

__all__ = (
    'Confirmed',
    'News',
    'Peer',
    'PeerBook',
    'PeerExchange',
    'Word',
    'choose_due',
    'decode_message',
    'encode_news',
    'encode_word',
    'find_confirmed',
    'find_furthest',
    'find_heard',
    'find_missing',
    'find_rank',
    'greet',
    'hear',
    'is_relieved',
    'list_first',
    'is_sampled',
    'split_news',
    'tell_whom',
)
