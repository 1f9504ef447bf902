"""The tables in the operators' pages match the code."""

import re
from pathlib import Path

import pytest

from verbenahall.config import INSTANCE_SCHEMA
from verbenahall.errors import ANSWERS, ErrorKind
from verbenahall.schema import Rows, Table

ROOT = Path(__file__).parents[3]
PAGES = ROOT / 'docs' / 'operations'
TESTS = Path(__file__).parent
#: A test as ``PROOFS.md`` names it: its file, optionally with its function.
NAMED_TEST = re.compile(r'`([^`\s]*\btest_[^`\s]*)`')


def list_named_tests():
    """Return each test that ``PROOFS.md`` names."""
    page = (ROOT / 'docs' / 'PROOFS.md').read_text()
    return sorted(set(NAMED_TEST.findall(page)))


def list_keys(member, prefix=''):
    """Yield the dotted keys of a schema."""
    match member:
        case Table():
            for name, inner in member.members.items():
                yield from list_keys(
                    inner, f'{prefix}.{name}' if prefix else name
                )
        case Rows():
            yield from list_keys(member.member, f'{prefix}[]')
        case _:
            yield prefix


@pytest.mark.parametrize('kind', ErrorKind)
def test_error_table_matches_the_code(kind):
    """An operator looks up an error that a caller reports."""
    answer = ANSWERS[kind]
    cells = (f'`{kind.value}`', str(answer.status), answer.ran.value)
    start = ' | '.join(cells)

    assert start in (PAGES / 'errors.md').read_text()


@pytest.mark.parametrize('key', list(list_keys(INSTANCE_SCHEMA)))
def test_settings_page_names_every_key(key):
    """A key that is missing in the page would be undocumented."""
    assert f'`{key}`' in (PAGES / 'instance-settings.md').read_text()


@pytest.mark.parametrize('named', list_named_tests())
def test_proof_names_a_test_that_exists(named):
    """A guarantee must not refer to a test that was renamed or removed."""
    path, _, function = named.partition('::')
    directory = ROOT / 'packages' if path.startswith('standins/') else TESTS
    source = (directory / path).with_suffix('.py').read_text()

    assert f'def {function}(' in source or not function
