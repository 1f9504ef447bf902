"""The command ``check`` on settings files of processes."""

import subprocess

import pytest
from verbenahall_standins.platform import write_settings

from verbenahall_standins import process

pytestmark = pytest.mark.process


def check(file, *options):
    """Run the command; return its exit code and its output."""
    done = subprocess.run(
        [process.find_script('verbenactl'), 'check', str(file), *options],
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


def test_good_settings_have_no_faults(tmp_path):
    path = write_settings(tmp_path, '127.0.0.1:1')
    assert check(path) == (0, 'no faults\n')


def test_all_faults_are_printed_with_file_line_and_key(tmp_path):
    # A template has two faults. If only the first were printed, a rollout
    # with the corrected file would fail again at the second.
    path = write_settings(tmp_path, '127.0.0.1:1')
    text = path.read_text().replace('drainMs = 2000', 'drainMs = "2 s"')
    path.write_text(text.replace('zone = "lampeter"', 'zone = ""'))
    code, output = check(path)
    lines = path.read_text().splitlines()
    for key, invalid in (('zone', '""'), ('bounds.drainMs', '"2 s"')):
        line = next(
            n for n, one in enumerate(lines, 1) if one.endswith(invalid)
        )
        assert f'{path}:{line}: {key}' in output
    assert code == 1


def test_instance_settings_are_checked(tmp_path):
    path = tmp_path / 'instance.toml'
    path.write_text('[instance]\nnam = "a"\n')
    code, output = check(path, '--kind', 'instance')
    assert code == 1
    assert 'instance.nam' in output


def test_unknown_kind_is_refused(tmp_path):
    code, output = check(tmp_path / 'none.toml', '--kind', 'other')
    assert code == 2
    assert 'platform, instance' in output
