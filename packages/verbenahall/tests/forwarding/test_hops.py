"""What an instance states about a request that it forwards."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.maybe import Nothing, Some

from verbenahall import wire
from verbenahall.forwarding import (
    Hop,
    HopRefusal,
    ReceiverState,
    decode_hop,
    encode_hop,
    find_refusal,
)

HOP = Hop('front-1', 3, 'pages', 1, False, True, True, 0.5, 'v1')
FIELDS = wire.decode(encode_hop(HOP).encode()).unwrap()
READY = ReceiverState(
    is_known_author=True,
    is_stopping=False,
    is_lost=False,
    version=3,
    open_requests=0,
)


def test_hop_is_decoded_as_it_was_encoded():
    assert decode_hop(encode_hop(HOP)) == Some(HOP)
    new = dataclasses.replace(HOP, stream_version=None)
    assert decode_hop(encode_hop(new)) == Some(new)


@pytest.mark.parametrize('field', FIELDS)
@pytest.mark.parametrize('wrong', [None, [], {}, 'text', -1, 1e400])
def test_hop_with_a_wrong_field_is_not_decoded(field, wrong):
    # A peer of another version, or another process, must not change what is
    # known of a request.
    is_text = isinstance(FIELDS[field], str)
    if is_text and wrong == 'text' or field == 'version' and wrong == -1:
        return
    assert decode_hop(wire.encode({**FIELDS, field: wrong}).decode()) == Nothing


@given(st.text(st.characters(max_codepoint=255), max_size=80))
def test_any_header_is_decoded_without_an_error(text):
    assert decode_hop(text) == Nothing or text.startswith('{')


@pytest.mark.parametrize(
    ('changes', 'refusal'),
    [
        ({}, None),
        ({'version': 4}, None),
        ({'is_known_author': False}, HopRefusal.UNKNOWN_AUTHOR),
        ({'is_stopping': True}, HopRefusal.STOPPING),
        ({'is_lost': True}, HopRefusal.UNREACHABLE),
        ({'version': 2}, HopRefusal.OLD_SETTINGS),
        ({'open_requests': 10_000}, HopRefusal.TOO_MANY),
    ],
)
def test_request_is_refused_for_a_reason(changes, refusal):
    receiver = dataclasses.replace(READY, **changes)
    assert find_refusal(HOP, receiver) is refusal
