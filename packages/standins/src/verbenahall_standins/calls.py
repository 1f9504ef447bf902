"""Parses completion requests and encodes their answers."""

import dataclasses
from typing import Final

import orjson
from aiohttp import web

from verbenahall import wire
from verbenahall_standins import answers, cost, text

_DEFAULT_MAX_TOKENS: Final = 16
#: Priority of requests without an ``X-Priority`` header, the lowest one.
_DEFAULT_PRIORITY: Final = 9


@dataclasses.dataclass(slots=True)
class Call:
    """One parsed completion request."""

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
        """The seed of the answer text."""
        return text.compute_seed(self.model, self.adapter, self.prompt)


async def parse_call(request: web.Request) -> Call:
    """Parse a completion request."""
    body = orjson.loads(await request.read())
    headers = request.headers
    return Call(
        attempt=headers.get('X-Attempt-Id', ''),
        priority=int(headers.get('X-Priority', _DEFAULT_PRIORITY)),
        prompt=text.extract_prompt(body),
        model=body.get('model', ''),
        adapter=body.get('adapter') or '',
        output=int(body.get('max_tokens') or _DEFAULT_MAX_TOKENS),
        stream=bool(body.get('stream')),
        resume_from=int(body.get('resume_from', 0)),
        kv_from=body.get('kv_from', ''),
        prefill_only=bool(body.get('prefill_only')),
        is_chat=request.path.endswith('/chat/completions'),
        key=headers.get('Idempotency-Key', ''),
    )


def build_completion(call: Call, headers: dict[str, str]) -> web.Response:
    """Build the answer to a completion request that is not streamed."""
    indexes = range(call.resume_from, call.output)
    written = ''.join(text.build_chunk(call.seed, index) for index in indexes)
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
    return answers.build_answer(body, headers=headers)


def encode_event(call: Call, index: int) -> bytes:
    """Encode one chunk of a stream as a server-sent event."""
    chunk = text.build_chunk(call.seed, index)
    choice = {'text': chunk}
    if call.is_chat:
        choice['delta'] = {'content': chunk}
    event = {'attempt': call.attempt, 'index': index, 'choices': [choice]}
    return b'data: %b\n\n' % wire.encode(event)
