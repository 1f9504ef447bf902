"""Faults in settings files name file, line, key and the nearest key."""

import pytest
from returns.pipeline import is_successful

from verbenahall.schema import Field, Named, Rows, Table, read_text

SCHEMA = Table(
    {
        'port': Field(int, minimum=1, maximum=65535),
        'mode': Field(str, default='fast', choices=('fast', 'slow')),
        'models': Named(Table({'version': Field(str)})),
        'rows': Rows(Table({'name': Field(str)})),
    },
)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('prot = 1', "f:1: prot: unknown key; the nearest known key is 'port'"),
        ('port = 0', 'f:1: port: expected at least 1, found 0'),
        ('\nport = "a"', "f:2: port: expected a whole number, found 'a'"),
        ('port = true', 'f:1: port: expected a whole number, found True'),
        ('port = 1\nmode = "x"', 'f:2: mode: expected one of fast, slow'),
        ('port = 1\n[models.a]\n', 'f:2: models.a.version: missing'),
        ('port = 1\nmodels = 3', 'f:2: models: expected a table, found 3'),
        ('port = 1\n[[rows]]\nname = 2', 'f:3: rows[0].name: expected text'),
        ('port = = 1', 'f:1: : not TOML'),
    ],
)
def test_fault_names_place_and_expectation(text, expected):
    """A fault names the line, the key and what was expected."""
    faults = read_text(text, 'f', SCHEMA).failure()

    assert any(str(fault).startswith(expected) for fault in faults), faults


def test_all_faults_are_returned_at_once():
    """All faults are found in one run, not one after each correction."""
    text = 'port = 0\nmode = 1\nx = 2'

    assert len(read_text(text, 'f', SCHEMA).failure()) == 3


def test_defaults_are_filled_in():
    """Keys that the file omits get their defaults."""
    outcome = read_text('port = 5', 'f', SCHEMA)

    assert is_successful(outcome)
    assert outcome.unwrap() == {
        'port': 5,
        'mode': 'fast',
        'models': {},
        'rows': [],
    }
