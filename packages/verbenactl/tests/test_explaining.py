"""The command ``explain`` on log lines of several instances."""

import json
import subprocess
import sys

import pytest

from verbenactl._explanations import explain, parse_lines
from verbenahall.gateway._answer_ends import AnswerEnd

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


def explain_end(end, begun, outcome='200', reason=None):
    """Return the last two lines on a request that ended so."""
    answered = {
        'event': 'answered',
        'at': 11.0,
        'request': 'r-1',
        'outcome': outcome,
        'end': end,
        'begun': begun,
        'reason': reason,
    }
    return explain(parse_lines('x', encode((LINES[0], answered))), 'r-1')[-2:]


@pytest.mark.parametrize(
    ('end', 'begun', 'words'),
    [
        ('whole', True, 'passed on to its last byte.'),
        ('refused', False, 'refused the request, which has not run.'),
        ('broken_off', True, 'endpoint broke its answer off; part of it had'),
        ('cut_off', True, 'instance cut the answer off while the endpoint'),
        ('cut_off', False, 'might have gone on; none of it had been sent.'),
        ('deadline', False, 'time of the request was over before its answer'),
        ('caller_left', True, 'caller left before its answer was whole; part'),
    ],
)
def test_last_line_says_how_the_answer_ended(end, begun, words):
    # A stream that the instance had cut off was explained as answered 200.
    assert words in explain_end(end, begun)[-1]


@pytest.mark.parametrize('end', AnswerEnd)
def test_every_end_has_a_sentence(end):
    # An end without a sentence of its own would be printed as its code.
    assert 'ended as' not in explain_end(end.value, begun=True)[-1]


def test_exception_that_ended_an_answer_is_its_cause():
    # The cause was "answered failed".
    rows = explain_end('cut_off', True, 'failed', "RuntimeError('no loop')")
    assert rows[0] == "cause: failed: RuntimeError('no loop')"


def test_end_at_the_peer_that_served_a_request_is_told():
    # The instance that forwards a request passes a peer's refusal on whole.
    rows = [
        LINES[0],
        {**LINES[-2], 'end': 'refused', 'outcome': '503'},
        {**LINES[-2], 'end': 'whole', 'outcome': '503', 'at': 10.6},
    ]
    output = explain(parse_lines('x', encode(rows)), 'r-1')
    assert 'refused the request' in output[-1]
