"""Generates the requests of both deployments with the expected answers."""

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
class ModelRequestKind:
    """One kind of model request.

    ``prompt`` is the range of its length in characters, ``output`` the range
    of the answer's length in tokens. ``billed`` requests carry an idempotency
    key and must not run twice.
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
class ServiceRequestKind:
    """One kind of request to a plain service; a POST must not run twice."""

    kind: str
    workspace: str
    method: str
    path: str
    weight: int = 1


Kinds = tuple[ModelRequestKind | ServiceRequestKind, ...]

#: The requests of each deployment. Archive summaries have long prompts and
#: short answers, blurbs the reverse; flags have one-token answers and the
#: highest priority.
MIXES: Final[Mapping[str, Kinds]] = MappingProxyType(
    {
        'desk': (
            ModelRequestKind(
                'summary',
                'editors',
                'Condense this archive.',
                'drafter',
                prompt=(6000, 20_000),
                output=(30, 60),
                billed=True,
            ),
            ModelRequestKind(
                'blurb',
                'secretaries',
                'Write a blurb for this fixture.',
                'drafter',
                prompt=(200, 400),
                output=(150, 300),
                adapter='clubs',
                stream=True,
            ),
            ModelRequestKind(
                'caption check',
                'print-clerks',
                'Does this caption fit?',
                'drafter',
                prompt=(200, 400),
                output=(4, 10),
                priority=1,
            ),
            ServiceRequestKind(
                'page', 'print-clerks', 'GET', '/services/pages/proofs'
            ),
        ),
        'atlas': (
            ModelRequestKind(
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
            ModelRequestKind(
                'shift summary',
                'supervisors',
                'Summarise this shift.',
                'reader',
                prompt=(8000, 12_000),
                output=(50, 80),
                priority=3,
                billed=True,
            ),
            ModelRequestKind(
                'flag',
                'inspectors',
                'Is it safe to climb?',
                'reader',
                prompt=(600, 1200),
                output=(1, 1),
                priority=0,
            ),
            ServiceRequestKind(
                'field write', 'engineers', 'POST', '/services/field/notes'
            ),
        ),
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request.

    ``expected`` is the model's answer, None for a request to a plain service.
    """

    kind: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: Mapping[str, Any]
    expected: str | None = None

    @property
    def stream(self) -> bool:
        """Whether the answer is streamed."""
        return bool(self.body.get('stream'))


class RequestGenerator:
    """Generates requests from a seed; idempotency keys are unique."""

    __slots__ = ('_numbers', '_rng', '_run')

    def __init__(self, seed: int, run: str) -> None:
        """Start; ``run`` prefixes the keys to make them unique across runs."""
        self._rng = random.Random(seed)
        self._run = run
        self._numbers = itertools.count()

    def generate(self, deployment: str, count: int) -> Iterator[CallerRequest]:
        """Yield a deployment's requests in random order."""
        kinds = MIXES[deployment]
        weights = [kind.weight for kind in kinds]
        for kind in self._rng.choices(kinds, weights, k=count):
            match kind:
                case ModelRequestKind():
                    yield self._build_model_request(kind)
                case ServiceRequestKind():
                    yield self._build_service_request(kind)

    def _build_model_request(self, kind: ModelRequestKind) -> CallerRequest:
        prompt = self._build_prompt(kind)
        output = self._rng.randint(*kind.output)
        headers = {'X-Workspace': kind.workspace}
        headers['X-Priority'] = str(kind.priority)
        if kind.billed:
            headers['Idempotency-Key'] = self._next_key()
        body = {'model': kind.model, 'max_tokens': output}
        body['stream'] = kind.stream
        if kind.adapter:
            body['adapter'] = kind.adapter
        if kind.chat:
            body['messages'] = [{'role': 'user', 'content': prompt}]
        else:
            body['prompt'] = prompt
        path = _CHAT if kind.chat else _COMPLETIONS
        expected = text.build_expected_answer(
            prompt, output, kind.model, kind.adapter
        )
        return CallerRequest(kind.kind, 'POST', path, headers, body, expected)

    def _build_service_request(self, kind: ServiceRequestKind) -> CallerRequest:
        number = next(self._numbers)
        path = f'{kind.path}/{number}'
        headers = {'X-Workspace': kind.workspace}
        if kind.method == 'GET':
            return CallerRequest(kind.kind, kind.method, path, headers, {})
        headers['Idempotency-Key'] = self._next_key()
        return CallerRequest(
            kind.kind, kind.method, path, headers, {'note': 'closed'}
        )

    def _next_key(self) -> str:
        number = next(self._numbers)
        return f'{self._run}-{number}'

    def _build_prompt(self, kind: ModelRequestKind) -> str:
        characters = self._rng.randint(*kind.prompt)
        count = characters // len(_SENTENCES[0])
        body = ''.join(self._rng.choices(_SENTENCES, k=count))
        number = next(self._numbers)
        return f'{kind.opening} ({number})\n{body}'
