"""Equal requests have equal fingerprints, and other requests other ones."""

import itertools

from verbenahall.quarantine import make_fingerprint

BASE = ('POST', 'desk.example', '/flag/1?q=2', b'prompt')


def test_same_request_has_the_same_fingerprint():
    assert make_fingerprint(*BASE) == make_fingerprint(*BASE)


def test_each_part_changes_the_fingerprint():
    changed = [
        ('GET', *BASE[1:]),
        (BASE[0], 'other.example', *BASE[2:]),
        (*BASE[:2], '/flag/1?q=3', BASE[3]),
        (*BASE[:3], b'Prompt'),
    ]
    made = [make_fingerprint(*parts) for parts in (BASE, *changed)]
    assert all(one != two for one, two in itertools.combinations(made, 2))


def test_bytes_moved_between_parts_change_the_fingerprint():
    """A caller must not be able to forge another request's fingerprint."""
    moved = ('POST', 'desk.example', '/flag/1?q=2p', b'rompt')
    assert make_fingerprint(*moved) != make_fingerprint(*BASE)


def test_fingerprint_has_a_fixed_length_for_any_body():
    assert len(make_fingerprint(*BASE[:3], b'secret' * 1000)) == 16
