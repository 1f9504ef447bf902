"""Requests that callers of both deployments send, with the right answers."""

import dataclasses
import itertools
import random
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final

from verbenahall_standins import text

_COMPLETIONS: Final = '/v1/completions'
_CHAT: Final = '/v1/chat/completions'
_SENTENCES: Final = (
    'Aberaeron beat Tregaron by two goals after a late start. ',
    'The under-twelves travel to Llandysul on Saturday morning. ',
    'Volunteers repainted the stand and the club thanks them all. ',
    'Feeder 14 tripped on earth fault and was closed after patrol. ',
    'Relay settings were read back and match the protection study. ',
    'Oil temperature rose by six degrees during the evening peak. ',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """One kind of model request; ``prompt`` in characters, from and to.

    ``billed`` requests carry an idempotency key and must not run twice.
    """

    kind: str
    workspace: str
    opening: str
    model: str
    prompt: tuple[int, int]
    output: tuple[int, int]
    priority: int = 2
    weight: int = 1
    adapter: str = ''
    stream: bool = False
    chat: bool = False
    billed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """One kind of call to a plain service; a ``POST`` must not run twice."""

    kind: str
    workspace: str
    method: str
    path: str
    weight: int = 1


Kinds = tuple[Question | Fetch, ...]

#: What each deployment's callers send. Archive summaries are long to short,
#: blurbs short to long; a flag is one token and comes first.
MIXES: Final[Mapping[str, Kinds]] = MappingProxyType(
    {
        'desk': (
            Question(
                'summary',
                'editors',
                'Condense this archive.',
                'drafter',
                prompt=(6000, 20_000),
                output=(30, 60),
                billed=True,
            ),
            Question(
                'blurb',
                'secretaries',
                'Write a blurb for this fixture.',
                'drafter',
                prompt=(200, 400),
                output=(150, 300),
                adapter='clubs',
                stream=True,
            ),
            Question(
                'caption check',
                'print-clerks',
                'Does this caption fit?',
                'drafter',
                prompt=(200, 400),
                output=(4, 10),
                priority=1,
            ),
            Fetch('page', 'print-clerks', 'GET', '/services/pages/proofs'),
        ),
        'atlas': (
            Question(
                'trip question',
                'engineers',
                'Why did this breaker trip?',
                'reader',
                prompt=(3000, 6000),
                output=(80, 160),
                adapter='grid',
                stream=True,
                chat=True,
            ),
            Question(
                'shift summary',
                'supervisors',
                'Summarise this shift.',
                'reader',
                prompt=(8000, 12_000),
                output=(50, 80),
                priority=3,
                billed=True,
            ),
            Question(
                'flag',
                'inspectors',
                'Is it safe to climb?',
                'reader',
                prompt=(600, 1200),
                output=(1, 1),
                priority=0,
            ),
            Fetch('field write', 'engineers', 'POST', '/services/field/notes'),
        ),
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """One request; ``expected`` is the model's text, None for a service."""

    kind: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: Mapping[str, Any]
    expected: str | None = None

    @property
    def stream(self) -> bool:
        """Whether the answer is a stream."""
        return bool(self.body.get('stream'))


class Writer:
    """Writes requests with a seeded random; keys never repeat in one run."""

    __slots__ = ('_numbers', '_random', '_run')

    def __init__(self, seed: int, run: str) -> None:
        """Start; ``run`` makes this run's keys its own."""
        self._random = random.Random(seed)
        self._run = run
        self._numbers = itertools.count()

    def write(self, deployment: str, count: int) -> Iterator[Ask]:
        """Yield the deployment's requests in a random order."""
        kinds = MIXES[deployment]
        weights = [kind.weight for kind in kinds]
        for kind in self._random.choices(kinds, weights, k=count):
            match kind:
                case Question():
                    yield self._write_question(kind)
                case Fetch():
                    yield self._write_fetch(kind)

    def _write_question(self, kind: Question) -> Ask:
        prompt = self._write_prompt(kind)
        output = self._random.randint(*kind.output)
        headers = {'X-Workspace': kind.workspace}
        headers['X-Priority'] = str(kind.priority)
        if kind.billed:
            headers['Idempotency-Key'] = self._write_key()
        body = {'model': kind.model, 'max_tokens': output}
        body['stream'] = kind.stream
        if kind.adapter:
            body['adapter'] = kind.adapter
        if kind.chat:
            body['messages'] = [{'role': 'user', 'content': prompt}]
        else:
            body['prompt'] = prompt
        path = _CHAT if kind.chat else _COMPLETIONS
        expected = text.write_answer(prompt, output, kind.model, kind.adapter)
        return Ask(kind.kind, 'POST', path, headers, body, expected)

    def _write_fetch(self, kind: Fetch) -> Ask:
        number = next(self._numbers)
        path = f'{kind.path}/{number}'
        headers = {'X-Workspace': kind.workspace}
        if kind.method == 'GET':
            return Ask(kind.kind, kind.method, path, headers, {})
        headers['Idempotency-Key'] = self._write_key()
        return Ask(kind.kind, kind.method, path, headers, {'note': 'closed'})

    def _write_key(self) -> str:
        number = next(self._numbers)
        return f'{self._run}-{number}'

    def _write_prompt(self, kind: Question) -> str:
        characters = self._random.randint(*kind.prompt)
        count = characters // len(_SENTENCES[0])
        body = ''.join(self._random.choices(_SENTENCES, k=count))
        number = next(self._numbers)
        return f'{kind.opening} ({number})\n{body}'
