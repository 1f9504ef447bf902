"""Code lines of each slice, and the share of them that are tests.

``python -m verbenahall_standins.share`` counts lines that hold a token other
than a comment or a doc comment.
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
_SILENT: Final = frozenset(
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
_KERNEL: Final = '(flat)'
_DOCUMENTED: Final = (
    ast.Module,
    ast.ClassDef,
    ast.FunctionDef,
    ast.AsyncFunctionDef,
)


def count_code_lines(text: str) -> int:
    """Count the lines of Python text that hold code."""
    lines: set[int] = set()
    for token in tokenize.generate_tokens(io.StringIO(text).readline):
        if token.type not in _SILENT:
            first, last = token.start[0], token.end[0]
            lines.update(range(first, last + 1))
    return len(lines.difference(_find_documentation(text)))


def _find_documentation(text: str) -> Iterator[int]:
    """Yield the lines of doc comments."""
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, _DOCUMENTED) and ast.get_docstring(node):
            first = node.body[0]
            yield from range(first.lineno, (first.end_lineno or 0) + 1)


def name_slice(path: Path) -> tuple[str, bool]:
    """Return a file's ``package/slice`` and whether it holds tests."""
    package, kind, *inner = path.relative_to(_PACKAGES).parts
    if kind == 'src':
        inner.pop(0)
    name = inner[0] if len(inner) > 1 else _KERNEL
    return f'{package}/{name}', kind == 'tests'


def count_slices() -> tuple[collections.Counter[str], collections.Counter[str]]:
    """Count code lines and test lines by slice."""
    code: collections.Counter[str] = collections.Counter()
    tests: collections.Counter[str] = collections.Counter()
    for path in sorted(_PACKAGES.glob('*/*/**/*.py')):
        name, is_test = name_slice(path)
        counted = tests if is_test else code
        counted[name] += count_code_lines(path.read_text())
    return code, tests


def main() -> None:
    """Run the command."""
    code, tests = count_slices()
    _say('slice', 'code', 'tests')
    for name in sorted(code | tests):
        _say(name, code[name], tests[name])
    _say('all', code.total(), tests.total())
    share = tests.total() / (code.total() + tests.total())
    _say('share of tests', '', format(share, '.0%'))


def _say(name: str, code: int | str, tests: int | str) -> None:
    cells = (name.ljust(_NAME_WIDTH), str(code), str(tests))
    sys.stdout.write('\t'.join(cells))
    sys.stdout.write('\n')


if __name__ == '__main__':
    main()
