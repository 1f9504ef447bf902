"""Each log line is one JSON object, whatever text a caller sends."""

import subprocess
import sys

import orjson
import pytest

from verbenahall import journal

SCRIPT = """
from absl import logging
from verbenahall import journal
journal.start_logging()
journal.write_decision('route', request={text!r})
logging.warning('%s', {text!r})
"""


@pytest.mark.parametrize(
    'text',
    ['r-1', 'a\n{"event":"route"}', '"}', '\x1b[31m', '%s %d', '\u2028'],
)
def test_text_from_a_caller_stays_in_its_field(text):
    """A caller sends a line feed and a forged decision in a header.

    Without escaping, the log would show a decision that was never made.
    """
    done = subprocess.run(
        [sys.executable, '-c', SCRIPT.format(text=text)],
        capture_output=True,
        check=True,
    )
    decision, warning = map(orjson.loads, done.stderr.strip().split(b'\n'))

    assert decision['request'] == text
    assert warning['message'] == text


def test_recent_decisions_are_found_by_field():
    """``explain`` finds the decisions on one request."""
    journal.write_decision('route', request='r-7', chosen='engine-1')

    found = journal.find_decisions('request', 'r-7')

    assert [line['chosen'] for line in found] == ['engine-1']
