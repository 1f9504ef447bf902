"""Counts code lines of each slice, and the share of test lines.

A slice is a folder directly inside a package or its tests. ``python -m
verbenahall_standins.share`` counts the lines that have more than a comment or
a docstring.
"""

import ast
import collections
import io
import sys
import tokenize
from collections.abc import Iterator
from pathlib import Path
from typing import Final

_PACKAGES: Final = Path('packages')
_NON_CODE: Final = frozenset(
    (
        tokenize.COMMENT,
        tokenize.NL,
        tokenize.NEWLINE,
        tokenize.INDENT,
        tokenize.DEDENT,
        tokenize.ENDMARKER,
        tokenize.ENCODING,
    ),
)
_NAME_WIDTH: Final = 32
#: Name under which the files outside of any slice are counted.
_TOP_LEVEL: Final = '(flat)'
_WITH_DOCSTRING: Final = (
    ast.Module,
    ast.ClassDef,
    ast.FunctionDef,
    ast.AsyncFunctionDef,
)


def count_code_lines(text: str) -> int:
    """Return the number of lines of Python source that have code."""
    lines: set[int] = set()
    for token in tokenize.generate_tokens(io.StringIO(text).readline):
        if token.type not in _NON_CODE:
            first, last = token.start[0], token.end[0]
            lines.update(range(first, last + 1))
    return len(lines.difference(_list_docstring_lines(text)))


def _list_docstring_lines(text: str) -> Iterator[int]:
    """Yield the line numbers of docstrings."""
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, _WITH_DOCSTRING) and ast.get_docstring(node):
            first = node.body[0]
            yield from range(first.lineno, (first.end_lineno or 0) + 1)


def get_slice(path: Path) -> tuple[str, bool]:
    """Return the ``package/slice`` of a file and whether it is a test."""
    package, kind, *inner = path.relative_to(_PACKAGES).parts
    if kind == 'src':
        inner.pop(0)
    name = inner[0] if len(inner) > 1 else _TOP_LEVEL
    return f'{package}/{name}', kind == 'tests'


def count_slices() -> tuple[collections.Counter[str], collections.Counter[str]]:
    """Return the code lines and the test lines by slice."""
    code: collections.Counter[str] = collections.Counter()
    tests: collections.Counter[str] = collections.Counter()
    for path in sorted(_PACKAGES.glob('*/*/**/*.py')):
        name, is_test = get_slice(path)
        counter = tests if is_test else code
        counter[name] += count_code_lines(path.read_text())
    return code, tests


def main() -> None:
    """Print the counts."""
    code, tests = count_slices()
    _print_row('slice', 'code', 'tests')
    for name in sorted(code | tests):
        _print_row(name, code[name], tests[name])
    _print_row('all', code.total(), tests.total())
    share = tests.total() / (code.total() + tests.total())
    _print_row('share of tests', '', format(share, '.0%'))


def _print_row(name: str, code: int | str, tests: int | str) -> None:
    cells = (name.ljust(_NAME_WIDTH), str(code), str(tests))
    sys.stdout.write('\t'.join(cells))
    sys.stdout.write('\n')


if __name__ == '__main__':
    main()
