"""Digests between instances: what to say, to whom, and what to believe."""

import heapq
from collections.abc import Iterable, Iterator
from typing import Final

import xxhash

from verbenahall.fleet import EndpointKind
from verbenahall.membership._decisions import (
    hear_word,
    live,
    observe_answer,
)
from verbenahall.membership._messages import (
    Digest,
    OwnReport,
    PassedWord,
    PeerView,
    Suspicion,
    Word,
)
from verbenahall.membership._standing import review
from verbenahall.membership._state import Member, MembershipState

#: Bounds on one digest, so that a rack's failure does not swell it.
_WORDS_AT_ONCE: Final = 16
_SUSPICIONS_AT_ONCE: Final = 8
_AGE_DIGITS: Final = 2


def choose_peers(
    own: str,
    names: Iterable[str],
    epoch: int,
    count: int,
) -> list[str]:
    """Choose ``count`` peers by rendezvous hashing.

    The choice holds for an epoch, so that connections are used again, and
    differs between epochs, so that no pair stays strangers.
    """
    others = (name for name in names if name != own)
    return heapq.nlargest(
        count,
        others,
        key=lambda name: _score(own, name, epoch),
    )


def _score(own: str, name: str, epoch: int) -> int:
    return xxhash.xxh3_64_intdigest(f'{own}|{name}|{epoch}'.encode())


def list_peers(
    state: MembershipState,
    own: str,
    data_centre: str,
    now: float,
) -> list[str]:
    """List the live instances of a data centre but for ``own``."""
    return [
        endpoint.name
        for endpoint in live(state, EndpointKind.INSTANCE, now)
        if endpoint.data_centre == data_centre and endpoint.name != own
    ]


def build_digest(
    state: MembershipState,
    sender: tuple[str, str],
    report: OwnReport,
    now: float,
    *,
    leaving: bool,
) -> Digest:
    """Build the heartbeat of ``sender``, a name with its incarnation.

    A word is passed on only while it is young, so that a word taken back
    dies out among the peers.
    """
    name, incarnation = sender
    words = heapq.nsmallest(
        _WORDS_AT_ONCE,
        _find_words(state, now),
        key=lambda word: (word.age_s, word.name),
    )
    suspicions = heapq.nsmallest(
        _SUSPICIONS_AT_ONCE,
        _find_suspicions(state),
        key=lambda one: (-one.failures, one.name),
    )
    return Digest(
        sender=name,
        incarnation=incarnation,
        report=report,
        leaving=leaving,
        words=tuple(words),
        suspicions=tuple(suspicions),
    )


def _find_words(state: MembershipState, now: float) -> Iterator[PassedWord]:
    for name, member in state.members.items():
        word = member.word
        if word is None or not word.leaving:
            continue
        age_s = round(now - word.said_at, _AGE_DIGITS)
        if age_s <= state.rules.word_passed_on_s:
            yield PassedWord(name, member.endpoint.incarnation, age_s)


def _find_suspicions(state: MembershipState) -> Iterator[Suspicion]:
    for name, member in state.members.items():
        if member.failures:
            yield Suspicion(
                name,
                member.endpoint.incarnation,
                member.failures,
            )


def apply_digest(state: MembershipState, digest: Digest, now: float) -> None:
    """Fold a peer's heartbeat; evidence on other lives is dropped."""
    sender = state.members.get(digest.sender)
    if sender is None:
        return
    # The list names an instance's life in its own way, so the life that the
    # digest tells does not replace the member.
    hear_word(state, sender, Word(digest.leaving, now), now)
    observe_answer(state, digest.sender, now)
    state.peers[digest.sender] = PeerView(
        digest.incarnation,
        digest.report,
        now,
    )
    for passed in digest.words:
        told = _match(state, passed.name, passed.incarnation)
        if told is not None:
            word = Word(leaving=True, said_at=now - passed.age_s)
            hear_word(state, told, word, now)
    for suspicion in digest.suspicions:
        suspect = _match(state, suspicion.name, suspicion.incarnation)
        if suspect is not None:
            suspect.suspicions[digest.sender] = now
            review(state, suspect, now)


def _match(
    state: MembershipState,
    name: str,
    incarnation: str,
) -> Member | None:
    member = state.members.get(name)
    if member is None or member.endpoint.incarnation != incarnation:
        return None
    return member
