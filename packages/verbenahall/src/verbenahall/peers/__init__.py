"""What instances tell each other about the work that they have open."""

from verbenahall.peers._messages import Word, decode_word, encode_word
from verbenahall.peers._shell import PeerExchange
from verbenahall.peers._state import (
    PeerBook,
    choose_due,
    find_heard,
    greet,
    hear,
    tell_whom,
)

__all__ = (
    'PeerBook',
    'PeerExchange',
    'Word',
    'choose_due',
    'decode_word',
    'encode_word',
    'find_heard',
    'greet',
    'hear',
    'tell_whom',
)
