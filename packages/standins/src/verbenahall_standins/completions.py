"""Completions of an engine stand-in: plain answers and streams."""

import dataclasses
import itertools
from http import HTTPStatus
from typing import Any, Final

import orjson
from aiohttp import web

from verbenahall import clock, wire
from verbenahall_standins import answers, cost, text
from verbenahall_standins.batch import Job
from verbenahall_standins.faults import reset_connection
from verbenahall_standins.holdings import Holdings
from verbenahall_standins.prefixes import PrefixCache
from verbenahall_standins.worker import Progress, Worker

_DEFAULT_OUTPUT: Final = 16
_LOWEST_PRIORITY: Final = 9
_DONE: Final = b'data: [DONE]\n\n'
_NEVER: Final = 1 << 60


@dataclasses.dataclass(slots=True)
class Call:
    """One completion request as the engine has read it."""

    attempt: str
    priority: int
    prompt: str
    model: str
    adapter: str
    output: int
    stream: bool
    resume_from: int
    kv_from: str
    prefill_only: bool
    is_chat: bool
    key: str

    @property
    def seed(self) -> int:
        """The seed of the answer's text."""
        return text.seed_answer(self.model, self.adapter, self.prompt)


async def read_call(request: web.Request) -> Call:
    """Read a completion request."""
    body = orjson.loads(await request.read())
    headers = request.headers
    return Call(
        attempt=headers.get('X-Attempt-Id', ''),
        priority=int(headers.get('X-Priority', _LOWEST_PRIORITY)),
        prompt=text.find_prompt(body),
        model=body.get('model', ''),
        adapter=body.get('adapter') or '',
        output=int(body.get('max_tokens') or _DEFAULT_OUTPUT),
        stream=bool(body.get('stream')),
        resume_from=int(body.get('resume_from', 0)),
        kv_from=body.get('kv_from', ''),
        prefill_only=bool(body.get('prefill_only')),
        is_chat=request.path.endswith('/chat/completions'),
        key=headers.get('Idempotency-Key', ''),
    )


def build_whole(call: Call, headers: dict[str, str]) -> web.Response:
    """Build the plain answer to a completion request."""
    indexes = range(call.resume_from, call.output)
    written = ''.join(text.write_chunk(call.seed, index) for index in indexes)
    choice = {'index': 0, 'text': written, 'finish_reason': 'length'}
    if call.is_chat:
        choice['message'] = {'role': 'assistant', 'content': written}
    usage = {
        'prompt_tokens': cost.count_tokens(call.prompt),
        'completion_tokens': len(indexes),
    }
    body = {
        'attempt': call.attempt,
        'model': call.model,
        'choices': [choice],
        'usage': usage,
    }
    return answers.answer_json(body, headers=headers)


def write_event(call: Call, index: int) -> bytes:
    """Write one chunk of a stream as a server-sent event."""
    word = text.write_chunk(call.seed, index)
    choice = {'text': word}
    if call.is_chat:
        choice['delta'] = {'content': word}
    event = {'attempt': call.attempt, 'index': index, 'choices': [choice]}
    return b'data: %b\n\n' % wire.encode(event)


class Completions:
    """Runs completion requests on the worker and records what started."""

    __slots__ = (
        '_cache',
        '_holdings',
        '_instant',
        '_max_queue',
        '_numbers',
        'kv',
        'record',
        'resumes',
        'worker',
    )

    def __init__(
        self,
        worker: Worker,
        holdings: Holdings,
        cache: PrefixCache,
        instant: bool,
        max_queue: int,
    ) -> None:
        """Run on ``worker``, or at once when ``instant``."""
        self.worker = worker
        self.record: list[dict[str, Any]] = []
        #: KV cache tokens held for later, by attempt.
        self.kv: dict[str, int] = {}
        self.resumes = True
        self._holdings = holdings
        self._cache = cache
        self._instant = instant
        self._max_queue = max_queue
        self._numbers = itertools.count()

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer one request, or refuse it before it starts."""
        call = await read_call(request)
        refusal = self._find_refusal(call)
        if refusal is not None:
            return refusal
        run = self._note_start(call)
        if self._instant:
            return await self._answer_at_once(request, call, run)
        progress = self.worker.start(self._make_job(call))
        try:
            return await self._answer(request, call, progress, run)
        finally:
            self.worker.forget(progress)

    def cancel(self, attempt: str) -> int:
        """Stop all work on an attempt; return how many jobs that were."""
        found = [
            progress
            for identity, progress in self.worker.open.items()
            if identity.rpartition('#')[0] == attempt
        ]
        for progress in found:
            self.worker.forget(progress)
        return len(found)

    def _find_refusal(self, call: Call) -> web.Response | None:
        if self._holdings.changing:
            return answers.refuse('a change is running')
        if not self._holdings.holds(call.model, call.adapter):
            return answers.refuse('not loaded', HTTPStatus.CONFLICT)
        if self.worker.load.queued >= self._max_queue:
            return answers.refuse('overloaded')
        if call.resume_from >= call.output:
            return answers.refuse('nothing left', HTTPStatus.BAD_REQUEST)
        if call.resume_from and not self.resumes:
            return answers.refuse('does not resume', HTTPStatus.BAD_REQUEST)
        return None

    def _note_start(self, call: Call) -> dict[str, Any]:
        run = {
            'number': len(self.record),
            'attempt': call.attempt,
            'key': call.key,
            'model': call.model,
            'adapter': call.adapter,
            'priority': call.priority,
            'prompt_tokens': cost.count_tokens(call.prompt),
            'max_tokens': call.output,
            'at': clock.monotonic(),
            'state': 'started',
        }
        self.record.append(run)
        return run

    def _make_job(self, call: Call) -> Job:
        prompt = cost.count_tokens(call.prompt) + call.resume_from
        held = self.kv.pop(call.kv_from, 0)
        cached = self._cache.use(call.prompt, clock.monotonic())
        return Job(
            identity=f'{call.attempt}#{next(self._numbers)}',
            priority=call.priority,
            prompt=prompt,
            output=1 if call.prefill_only else call.output - call.resume_from,
            prefilled=max(held, min(cached, prompt - 1)),
        )

    async def _answer(
        self,
        request: web.Request,
        call: Call,
        progress: Progress,
        run: dict[str, Any],
    ) -> web.StreamResponse:
        run['state'] = 'cut'
        if call.stream:
            answer = await self._stream(request, call, progress)
        else:
            answer = await self._answer_whole(call, progress)
        run['state'] = 'cancelled' if progress.cancelled else 'finished'
        return answer

    async def _answer_whole(
        self,
        call: Call,
        progress: Progress,
    ) -> web.Response:
        while not progress.is_over:
            await progress.wait_beyond(progress.job.produced)
        if progress.cancelled:
            return answers.refuse_late('cancelled')
        if call.prefill_only:
            self.kv[call.attempt] = progress.job.prompt
        return build_whole(call, self._describe(call))

    def _describe(self, call: Call) -> dict[str, str]:
        load = self.worker.load
        report = f'{load.running},{load.queued},{load.kv_free_share}'
        return {'X-Load': report, 'X-Attempt-Id': call.attempt}

    async def _stream(
        self,
        request: web.Request,
        call: Call,
        progress: Progress,
    ) -> web.StreamResponse:
        produced = await progress.wait_beyond(0)
        writer = ChunkWriter(request, call)
        await writer.start(self._describe(call))
        while produced and await writer.write_until(produced):
            if progress.is_over:
                break
            produced = await progress.wait_beyond(produced)
        return await writer.finish(whole=not progress.cancelled)

    async def _answer_at_once(
        self,
        request: web.Request,
        call: Call,
        run: dict[str, Any],
    ) -> web.StreamResponse:
        run['state'] = 'cut'
        self.worker.direct += 1
        try:
            answer = await self._write_at_once(request, call)
        finally:
            self.worker.direct -= 1
        run['state'] = 'finished'
        return answer

    async def _write_at_once(
        self,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        if not call.stream:
            return build_whole(call, self._describe(call))
        writer = ChunkWriter(request, call)
        await writer.start(self._describe(call))
        await writer.write_until(call.output - call.resume_from)
        return await writer.finish(whole=True)


class ChunkWriter:
    """Writes one stream's events, with the faults that cut or double it."""

    __slots__ = (
        '_answer',
        '_call',
        '_copies',
        '_is_cut',
        '_limit',
        '_request',
        '_reset_after',
        '_sent',
        '_sent_bytes',
    )

    def __init__(self, request: web.Request, call: Call) -> None:
        """Write to the request's connection."""
        self._request = request
        self._call = call
        self._answer = web.StreamResponse()
        self._copies = 2 if request.get('duplicate') else 1
        self._limit = request.get('truncate_after_chunks', _NEVER)
        self._reset_after = request.get('reset_after_bytes', _NEVER)
        self._is_cut = False
        self._sent = 0
        self._sent_bytes = 0

    async def start(self, headers: dict[str, str]) -> None:
        """Send the head of the answer."""
        self._answer.headers.update(headers)
        self._answer.content_type = 'text/event-stream'
        if self._reset_after:
            await self._answer.prepare(self._request)

    async def write_until(self, produced: int) -> bool:
        """Write the chunks up to ``produced``; false once a fault cut it."""
        first = self._call.resume_from
        while self._sent < produced:
            if self._sent >= self._limit:
                return False
            event = write_event(self._call, first + self._sent)
            if not await self._write(event):
                return False
            self._sent += 1
        return True

    async def finish(self, whole: bool) -> web.StreamResponse:
        """End the answer, with its closing event only if it is whole."""
        if self._is_cut:
            return self._answer
        if whole and self._sent < self._limit:
            await self._write(_DONE)
        await self._answer.write_eof()
        return self._answer

    async def _write(self, event: bytes) -> bool:
        self._sent_bytes += len(event)
        if self._sent_bytes > self._reset_after:
            kept = len(event) - self._sent_bytes + self._reset_after
            if kept > 0:
                await self._answer.write(event[:kept])
            reset_connection(self._request)
            self._is_cut = True
            return False
        await self._answer.write(event * self._copies)
        return True
