"""The command ``duties``: tables from log lines."""

import json
import subprocess
import sys

from verbenactl._duties import find_duties
from verbenactl._explanations import parse_lines

COMMAND = 'from verbenactl.console import main; main()'
LINES = tuple(
    json.dumps({'at': at, **decision})
    for at, decision in (
        (1.0, {'event': 'duty_held', 'duty': 'usage'}),
        (
            2.0,
            {
                'event': 'usage_decided',
                'window': 7,
                'requests': 12,
                'workspaces': 3,
            },
        ),
        (2.1, {'event': 'usage_sent', 'window': 7, 'outcome': 'unknown'}),
        (2.2, {'event': 'usage_sent', 'window': 7, 'outcome': 'done'}),
        (
            2.3,
            {'event': 'usage_partial', 'window': 8, 'missing': ['front-2']},
        ),
        (2.4, {'event': 'usage_missed', 'window': 8}),
        (
            3.0,
            {
                'event': 'scale_order',
                'service': 'llm',
                'data_centre': 'ain',
                'kind': 'spot',
                'engines': 15,
                'token': 4,
                'outcome': 'fenced',
            },
        ),
        (4.0, {'event': 'duty_lost', 'duty': 'usage', 'reason': 'cut'}),
        (5.0, {'event': 'accepted', 'request': 'r-1'}),
    )
)


def test_holders_windows_and_orders():
    tables = find_duties(parse_lines('a.log', LINES))
    holders, usage, engines = (table.rows for table in tables)
    assert [row[3] for row in holders] == ['duty_held', 'duty_lost']
    assert holders[1][2:] == ('a.log', 'duty_lost', 'cut')
    assert usage == [
        ('7', '12', '3', '', 'unknown 1 done 1'),
        ('8', '', '', 'front-2', 'missed 1'),
    ]
    assert engines == [('3.000', 'a.log', '4', 'llm ain spot 15', 'fenced')]


def test_command_reads_standard_input():
    done = subprocess.run(
        [sys.executable, '-c', COMMAND, 'duties'],
        input='\n'.join(LINES),
        capture_output=True,
        text=True,
        check=True,
    )
    assert 'llm ain spot 15' in done.stdout
