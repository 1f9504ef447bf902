"""The Retry-After headers of an endpoint's refusal."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenahall.backoff import read_retry_after

SENT = 'Thu, 03 Dec 2026 18:00:00 GMT'


@pytest.mark.parametrize(
    ('texts', 'seconds'),
    [
        (['3'], 3),
        (['0.25'], 0.25),
        ([' 2.5 '], 2.5),
        (['Thu, 03 Dec 2026 18:00:07 GMT'], 7),
        (['1', '4', '2'], 4),
        (['soon', '2'], 2),
        (['999999999999'], 3600),
        (['9' * 400], 3600),
    ],
)
def test_valid_header_states_seconds(texts, seconds):
    assert read_retry_after(texts, SENT).unwrap() == seconds


@pytest.mark.parametrize(
    'texts',
    [
        [],
        [''],
        ['0'],
        ['-3'],
        ['soon'],
        ['nan'],
        ['inf'],
        ['1e3'],
        ['٣'],
        ['Thu, 03 Dec 2026 17:59:00 GMT'],
        ['Thu, 99 Dec 2026 17:59:00 GMT'],
    ],
)
def test_invalid_header_states_nothing(texts):
    assert not read_retry_after(texts, SENT).value_or(0)


def test_date_without_the_date_of_the_answer_states_nothing():
    """Read by this machine's clock, a wrong clock would change the backoff."""
    assert not read_retry_after(['Thu, 03 Dec 2026 18:00:07 GMT']).value_or(0)


@given(st.lists(st.text(max_size=40), max_size=3), st.text(max_size=40))
def test_any_header_states_at_most_an_hour(texts, date):
    assert 0 <= read_retry_after(texts, date).value_or(0) <= 3600
