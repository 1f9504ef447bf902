"""The command ``explain`` on log lines of several instances."""

import json
import subprocess
import sys

import pytest

from verbenactl._explanations import explain, parse_lines

LINES = (
    {'event': 'accepted', 'at': 10.0, 'request': 'r-1', 'route': 'blurb'},
    {'event': 'placed', 'at': 10.1, 'request': 'r-1', 'generator': 'e-2'},
    {
        'event': 'attempt_failed',
        'at': 10.5,
        'request': 'r-1',
        'outcome': 'broken',
    },
    {
        'event': 'given_up',
        'at': 10.5,
        'request': 'r-1',
        'kind': 'outcome_unknown',
        'reason': 'reset',
    },
    {'event': 'answered', 'at': 10.5, 'request': 'r-1', 'outcome': '504'},
    {'event': 'answered', 'at': 9.0, 'request': 'r-2', 'outcome': '200'},
)


def encode(rows):
    return [json.dumps(row) for row in rows]


def test_decisions_are_in_order_and_end_with_the_cause():
    lines = parse_lines('a.log', reversed(encode(LINES)))
    output = explain(lines, 'r-1')
    assert output[0].startswith('+0.000 a.log accepted route=blurb')
    assert len(output) == 6
    assert output[-1].startswith('cause: failed: an endpoint failed')


def test_lines_of_several_instances_are_joined():
    lines = [
        *parse_lines('a.log', encode(LINES[:2])),
        *parse_lines('b.log', encode(LINES[2:])),
    ]
    output = explain(lines, 'r-1')
    assert ' a.log accepted' in output[0]
    assert ' b.log answered' in output[-2]


def test_prefix_of_a_line_names_its_instance():
    text = f'   3.5 front-1 {json.dumps(LINES[0])}'
    output = explain(parse_lines('x', [text]), 'r-1')
    assert '3.5 front-1 accepted' in output[0]


def test_other_lines_are_ignored():
    assert explain(parse_lines('x', ['{', 'noise', '[]', '{}']), 'r-1') == [
        'no line names request r-1',
    ]


def test_missing_final_line_is_reported():
    output = explain(parse_lines('x', encode(LINES[:2])), 'r-1')
    assert 'no final line' in output[-1]


def test_command_reads_files(tmp_path):
    log = tmp_path / 'front-1.log'
    log.write_text('\n'.join(encode(LINES)))
    command = 'from verbenactl.console import main; main()'
    ended = subprocess.run(
        [sys.executable, '-c', command, 'explain', 'r-1', '--log', str(log)],
        capture_output=True,
        text=True,
        check=True,
    )
    assert 'cause: failed' in ended.stdout


@pytest.mark.parametrize('request_id', ('r-1', 'r-2'))
def test_attempts_at_one_stream_are_shown_together(request_id):
    # A stream changed its version between two attempts at two instances, and
    # neither attempt by itself showed it.
    rows = (
        {'event': 'accepted', 'at': 1, 'request': 'r-1'},
        {'event': 'sent', 'at': 2, 'request': 'r-1', 'software': 'v1'},
        {'event': 'accepted', 'at': 3, 'request': 'r-2', 'resumes': 'r-1'},
        {'event': 'sent', 'at': 4, 'request': 'r-2', 'software': 'v2'},
        {'event': 'accepted', 'at': 5, 'request': 'r-3'},
    )
    output = '\n'.join(explain(parse_lines('x', encode(rows)), request_id))
    assert 'software=v1' in output
    assert 'software=v2' in output
    assert 'same stream' in output
    assert 'r-3' not in output
