"""Completion requests of the engine stand-in, plain and streamed."""

import itertools
from http import HTTPStatus
from typing import Any

from aiohttp import web

from verbenahall import clock
from verbenahall_standins import answers, cost
from verbenahall_standins.batch import Job
from verbenahall_standins.calls import Call, build_completion, parse_call
from verbenahall_standins.chunks import ChunkWriter
from verbenahall_standins.configuration import ConfigurationState
from verbenahall_standins.prefixes import PrefixCache
from verbenahall_standins.worker import Progress, Worker


class Completions:
    """Runs completion requests on the worker; records the started ones."""

    __slots__ = (
        '_cache',
        '_configuration',
        '_instant',
        '_job_numbers',
        '_max_queue',
        'kv_tokens',
        'record',
        'resumes',
        'worker',
    )

    def __init__(
        self,
        worker: Worker,
        configuration: ConfigurationState,
        cache: PrefixCache,
        instant: bool,
        max_queue: int,
    ) -> None:
        """Run on ``worker``; with ``instant``, answer without the batch."""
        self.worker = worker
        self.record: list[dict[str, Any]] = []
        #: Tokens in the KV cache kept for a later decode, by attempt.
        self.kv_tokens: dict[str, int] = {}
        self.resumes = True
        self._configuration = configuration
        self._cache = cache
        self._instant = instant
        self._max_queue = max_queue
        self._job_numbers = itertools.count()

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer a request, or refuse it before it starts."""
        call = await parse_call(request)
        refusal = self._find_refusal(call)
        if refusal is not None:
            return refusal
        run = self._record_start(call)
        if self._instant:
            return await self._answer_at_once(request, call, run)
        progress = self.worker.start(self._make_job(call))
        try:
            return await self._answer(request, call, progress, run)
        finally:
            self.worker.release(progress)

    def cancel(self, attempt: str) -> int:
        """Cancel all jobs of an attempt; return their number."""
        matching = [
            progress
            for job_id, progress in self.worker.active.items()
            if job_id.rpartition('#')[0] == attempt
        ]
        for progress in matching:
            self.worker.release(progress)
        return len(matching)

    def _find_refusal(self, call: Call) -> web.Response | None:
        if self._configuration.changing:
            return answers.build_refusal('a change is running')
        if not self._configuration.can_serve(call.model, call.adapter):
            return answers.build_refusal('not loaded', HTTPStatus.CONFLICT)
        if self.worker.load.queued >= self._max_queue:
            return answers.build_refusal('overloaded')
        if call.resume_from >= call.output:
            return answers.build_refusal('nothing left', HTTPStatus.BAD_REQUEST)
        if call.resume_from and not self.resumes:
            return answers.build_refusal(
                'does not resume', HTTPStatus.BAD_REQUEST
            )
        return None

    def _record_start(self, call: Call) -> dict[str, Any]:
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
        imported = self.kv_tokens.pop(call.kv_from, 0)
        cached = self._cache.look_up_and_store(call.prompt, clock.monotonic())
        return Job(
            job_id=f'{call.attempt}#{next(self._job_numbers)}',
            priority=call.priority,
            prompt=prompt,
            output=1 if call.prefill_only else call.output - call.resume_from,
            prefilled=max(imported, min(cached, prompt - 1)),
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
        while not progress.is_finished:
            await progress.wait_for_more(progress.job.produced)
        if progress.cancelled:
            return answers.build_failure('cancelled')
        if call.prefill_only:
            self.kv_tokens[call.attempt] = progress.job.prompt
        return build_completion(call, self._build_headers(call))

    def _build_headers(self, call: Call) -> dict[str, str]:
        load = self.worker.load
        report = f'{load.running},{load.queued},{load.kv_free_share}'
        return {'X-Load': report, 'X-Attempt-Id': call.attempt}

    async def _stream(
        self,
        request: web.Request,
        call: Call,
        progress: Progress,
    ) -> web.StreamResponse:
        produced = await progress.wait_for_more(0)
        writer = ChunkWriter(request, call)
        await writer.start(self._build_headers(call))
        while produced and await writer.write_until(produced):
            if progress.is_finished:
                break
            produced = await progress.wait_for_more(produced)
        return await writer.finish(is_whole=not progress.cancelled)

    async def _answer_at_once(
        self,
        request: web.Request,
        call: Call,
        run: dict[str, Any],
    ) -> web.StreamResponse:
        run['state'] = 'cut'
        self.worker.instant_count += 1
        try:
            answer = await self._write_at_once(request, call)
        finally:
            self.worker.instant_count -= 1
        run['state'] = 'finished'
        return answer

    async def _write_at_once(
        self,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        if not call.stream:
            return build_completion(call, self._build_headers(call))
        writer = ChunkWriter(request, call)
        await writer.start(self._build_headers(call))
        await writer.write_until(call.output - call.resume_from)
        return await writer.finish(is_whole=True)
