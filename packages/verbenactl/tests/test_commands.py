"""The commands, run as processes against a log over TCP."""

import subprocess

import pytest

from verbenahall_standins import process

pytestmark = pytest.mark.process

FILE = """
[models.drafter]
version = "3"
floor = 1

[pools.main]
data_centre = "lampeter"
engines = ["e1", "e2"]
models = ["drafter"]

[workspaces.club]

[defaults.workspaces]
share = 2.0
"""


@pytest.fixture(scope='module')
def log():
    """A log process for this module; its address."""
    started = process.start('verbenahall_standins.log', '--port', '0')
    yield started.address
    started.stop()


@pytest.fixture
def call(log, tmp_path):
    """Run one command; return its exit code and its output."""

    def run(command, *arguments, text=FILE, team='desk'):
        file = tmp_path / 'settings.toml'
        file.write_text(text)
        given = [str(file) if one == 'FILE' else one for one in arguments]
        log_options = ('--log', log, '--team', team, '--author', 'ann')
        done = subprocess.run(
            [
                process.find_script('verbenactl'),
                command,
                *(() if command == 'lint' else log_options),
                *given,
            ],
            capture_output=True,
            text=True,
            timeout=60,
        )
        return done.returncode, done.stdout + done.stderr

    return run


def test_publish_diff_drain_and_their_exit_codes(call):
    """Two teams publish, compare and drain, with each exit code."""
    steps = [
        (('lint', 'FILE'), {}, 0, 'no faults'),
        (('diff', 'FILE'), {}, 0, '+ desk/models/drafter'),
        (('publish', 'FILE'), {}, 0, 'accepted at offset 1: 4 changes'),
        (('publish', 'FILE'), {}, 0, 'nothing to change'),
        (('drain', 'e1', '--reason', 'disk'), {}, 0, 'accepted at offset 2'),
        (('drain', 'e1', '--reason', 'disk'), {}, 0, 'nothing to change'),
        (('drain', 'e2'), {}, 1, 'its floor is 1'),
        (('undrain', 'e1'), {}, 0, 'accepted at offset 4'),
        (('publish', 'FILE'), {'team': 'atlas'}, 1, 'is desk/models/drafter'),
        (('diff', 'FILE'), {'team': 'atlas'}, 1, 'would be refused'),
    ]
    seen = [call(*given, **more) for given, more, _, _ in steps]

    for (code, output), (given, _, expected, part) in zip(seen, steps):
        assert (code, part in output) == (expected, True), (given, output)


def test_prune_removes_what_the_file_leaves_out(call):
    """Entries missing in the file are removed only with ``--prune``."""
    text = '[workspaces.only]\n'
    call('publish', 'FILE', text='[workspaces.gone]\n', team='p')
    kept = call('diff', 'FILE', text=text, team='p')[1]
    pruned = call('diff', 'FILE', '--prune', text=text, team='p')[1]

    assert 'gone' not in kept
    assert '- p/workspaces/gone' in pruned


def test_large_file_is_published_as_several_records(call):
    """The file is too large for one record of the log."""
    text = ''.join(f'[workspaces.many-{name}]\n' for name in range(1500))
    code, output = call('publish', 'FILE', text=text, team='many')

    assert code == 0, output
    assert 'published as 2 records' in output


@pytest.mark.parametrize(
    ('given', 'text', 'code', 'part'),
    [
        (('lint', 'FILE'), '[models.a]\nverison = "1"', 1, ':2: models.a.ver'),
        (('lint', 'FILE'), '[planner.x]', 1, ':1: planner.x: the only'),
        (('lint', 'FILE'), '[models.A]\nversion="1"', 1, 'is no name'),
        (('lint', 'nowhere.toml'), '', 1, 'cannot be read'),
        (('publish',), '', 2, 'missing: "file"'),
        (('frob',), '', 2, 'does not exist'),
        (('status',), '', 2, '--log'),
        (('publish', 'FILE', '--log', '127.0.0.1:1'), '', 2, '(ran no)'),
    ],
)
def test_faults_and_wrong_usage(call, given, text, code, part):
    """Faults in a file exit with 1, wrong arguments with 2."""
    found, output = call(*given, text=text)

    assert (found, part in output) == (code, True), output
