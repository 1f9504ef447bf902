"""Sends a call to one endpoint and classifies the outcome."""

import asyncio
import contextlib
import errno
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from http import HTTPStatus
from typing import Final, TypeVar, final

import aiohttp
import yarl
from returns.result import Failure, Result, Success

from verbenahall import journal, metrics
from verbenahall.backoff import Trial
from verbenahall.endpoint_health import begin_send, end_send
from verbenahall.gateway import _send_checks as send_checks
from verbenahall.gateway._admission import find_workspace
from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Answered, Call
from verbenahall.platform import (
    CALL_FAILURES,
    CONNECT_FAILURES,
    ENDPOINTS_TOPIC,
    AnswerHead,
    BodyTooLargeError,
    SendOptions,
    build_send_headers,
    describe_error,
    format_error,
    read_answer_head,
    read_body,
    read_held_body,
    strip_answer_headers,
)
from verbenahall.reach import (
    record_ended,
    record_response,
    record_sent,
    record_trouble,
)
from verbenahall.requests import (
    Broken,
    NeverWritten,
    Outcome,
    Refused,
    TimedOut,
)
from verbenahall.roster import Entry

Answer = TypeVar('Answer')

SUCCESS_STATUSES: Final = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)
#: Statuses which promise a caller that the request has not run.
_PROMISES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
#: Longest time to read the body of a refusal, in seconds.
_REFUSAL_BODY_S: Final = 0.2
#: Longest body of a refusal that is read, in bytes.
_REFUSAL_BYTES: Final = 16_384
#: Errors of the kernel for a host that doesn't acknowledge packets.
_NO_ACK_ERRNOS: Final = frozenset((errno.ETIMEDOUT, errno.EHOSTUNREACH))
#: A response whose body is not read yet, or the outcome of a failed send.
Opened = Result[aiohttp.ClientResponse, Outcome]


@final
class Sender:
    """Sends calls to endpoints and classifies the outcomes."""

    __slots__ = ('_core',)

    def __init__(self, core: Core) -> None:
        """Send through the HTTP session of the core."""
        self._core = core

    @contextlib.asynccontextmanager
    async def open(
        self,
        call: Call,
        endpoint: Entry,
        options: SendOptions,
        until: float,
        handle_sent: Callable[[], object] = bool,
    ) -> AsyncIterator[Opened]:
        """Send a call and yield the response once its head has arrived.

        Leaving the context early closes the connection, which signals to the
        endpoint that the caller no longer waits for the answer.

        Nothing is sent if ``check_sendable`` has a reason against it.
        """
        not_sent = await send_checks.check_sendable(
            self._core,
            call,
            endpoint,
            until,
            writes=not options.prefill_only,
        )
        if not_sent is not None:
            yield Failure(not_sent)
            return
        workspace = find_workspace(self._core, call).value_or(None)
        request = self._core.session.request(
            call.method,
            yarl.URL(f'http://{endpoint.address}{call.path}', encoded=True),
            headers=build_send_headers(
                call.raw_headers,
                options,
                workspace.name if workspace else '',
            ),
            data=call.body or None,
            allow_redirects=False,
        )
        trial = self._core.endpoints.backoffs.begin_trial(endpoint.incarnation)
        self._begin_send(call, endpoint, options)
        handle_sent()
        response = None
        sent_at = self._core.now()
        try:
            response = await self._wait_until(until, request)
        except CALL_FAILURES as error:
            yield Failure(
                self.classify_failure(
                    call, endpoint, error, writes=not options.prefill_only
                )
            )
        else:
            service_reach = self._core.reach.get(endpoint.service)
            record_response(service_reach, self._core.now())
            opened = await self._check_refusal(
                call, endpoint, options, response, sent_at
            )
            self._core.endpoints.backoffs.end_trial(
                endpoint.incarnation,
                trial,
                accepted=isinstance(opened, Success),
            )
            yield opened
        finally:
            self._end_send(call, endpoint, trial, response)

    async def exchange(
        self,
        call: Call,
        endpoint: Entry,
        options: SendOptions,
        until: float,
        handle_sent: Callable[[], object] = bool,
    ) -> Result[Answered, Outcome]:
        """Send a call and read the whole answer."""
        with _record_unanswered(self._core, call, endpoint):
            opening = self.open(call, endpoint, options, until, handle_sent)
            async with opening as opened:
                if isinstance(opened, Failure):
                    return opened
                response = opened.unwrap()
                return await self.read_whole(
                    call, endpoint, options, response, until
                )

    def record_outcome(self, endpoint: Entry, *, good: bool) -> None:
        """Record whether an endpoint's answer was good."""
        now = self._core.now()
        self._core.endpoint_health.record_outcome(endpoint.name, now, good=good)

    async def read_whole(
        self,
        call: Call,
        endpoint: Entry,
        options: SendOptions,
        response: aiohttp.ClientResponse,
        until: float,
    ) -> Result[Answered, Outcome]:
        """Read the rest of an answer whose head has arrived."""
        if response.status < HTTPStatus.OK:
            # No request asks to switch the protocol; what follows is no answer.
            self.record_outcome(endpoint, good=False)
            return Failure(Broken('the answer is not final'))
        try:
            body, held = await self._wait_until(
                until, read_held_body(response, self._core.byte_budget)
            )
        except CALL_FAILURES as error:
            return Failure(
                self.classify_failure(
                    call, endpoint, error, writes=not options.prefill_only
                )
            )
        answer_head = read_answer_head(response.status, response.headers)
        must_be_signed = not options.prefill_only
        if (
            response.status in SUCCESS_STATUSES
            and must_be_signed
            and not answer_head.signed
        ):
            # Endpoints sign their answers, so this one comes from something
            # else at the address.
            self.record_outcome(endpoint, good=False)
            return Failure(Broken('the answer has no signature'))
        if response.status in _PROMISES and not answer_head.signed:
            # To a caller these statuses state that the request has not run,
            # which the endpoint did not.
            self.record_outcome(endpoint, good=False)
            return Failure(Broken('the answer states nothing'))
        good = response.status < HTTPStatus.INTERNAL_SERVER_ERROR
        self.record_outcome(endpoint, good=good)
        if must_be_signed and good:
            is_success = response.status in SUCCESS_STATUSES
            self._core.observer.record_answered(
                call.fingerprint, call.part_keys if is_success else ()
            )
        return Success(
            Answered(
                response.status,
                response.reason or '',
                strip_answer_headers(response.status, response.raw_headers),
                body,
                held,
            ),
        )

    def classify_failure(
        self,
        call: Call,
        endpoint: Entry,
        error: BaseException,
        *,
        writes: bool = True,
    ) -> Outcome:
        """Return the outcome of a failed send and record the failure.

        ``writes`` is whether the endpoint was to write an answer, not only to
        prefill the prompt.
        """
        now = self._core.now()
        detail = describe_error(error)
        _log_error(call, endpoint, error)
        is_connect_failure = isinstance(error, CONNECT_FAILURES)
        if is_connect_failure or not isinstance(error, TimeoutError):
            record_trouble(self._core.reach.get(endpoint.service))
        if is_connect_failure:
            self._core.endpoints.record_unreachable(endpoint, error)
            return NeverWritten(detail)
        if isinstance(error, OSError) and error.errno in _NO_ACK_ERRNOS:
            self._core.endpoints.record_unreachable(endpoint, error)
            return Broken(detail, silent=True)
        self.record_outcome(endpoint, good=False)
        if isinstance(error, TimeoutError) and call.is_over(now):
            return TimedOut()
        is_silent = isinstance(error, TimeoutError)
        # An endpoint that sends too much has not crashed.
        if not (is_silent or isinstance(error, BodyTooLargeError)):
            self._log_lost_connection(call, endpoint)
            self._core.observer.record_lost_connection(
                call.fingerprint, endpoint, call.part_keys if writes else ()
            )
        return Broken(detail, silent=is_silent)

    def _begin_send(
        self, call: Call, endpoint: Entry, options: SendOptions
    ) -> None:
        """Log a send and count it as open."""
        core = self._core
        begin_send(
            core.endpoint_health, endpoint.name, call.head.identity, core.now()
        )
        record_sent(core.reach.get(endpoint.service), core.now())
        if not options.prefill_only:
            send_checks.begin_unknown(core, call)
        self._log_sent(call, endpoint, options)

    def _end_send(
        self,
        call: Call,
        endpoint: Entry,
        trial: Trial | None,
        response: aiohttp.ClientResponse | None,
    ) -> None:
        """Stop counting a send as open, and close its connection."""
        end_send(self._core.endpoint_health, endpoint.name, call.head.identity)
        record_ended(self._core.reach.get(endpoint.service))
        send_checks.end_unknown(self._core, call)
        self._core.endpoints.backoffs.end_trial(endpoint.incarnation, trial)
        if response is not None:
            response.close()

    def _log_lost_connection(self, call: Call, endpoint: Entry) -> None:
        journal.write_decision(
            'connection_lost',
            request=call.head.identity,
            fingerprint=call.fingerprint,
            endpoint=endpoint.name,
            born=endpoint.born,
            open=self._core.endpoint_health.get(endpoint.name).open,
            parts=call.part_keys,
        )

    def _log_sent(
        self,
        call: Call,
        endpoint: Entry,
        options: SendOptions,
    ) -> None:
        """Log a send with the age of the endpoint list that it relies on."""
        core = self._core
        now = core.now()
        age_s = core.freshness[ENDPOINTS_TOPIC].find_age(now)
        listing = core.roster.listings.get(endpoint.name)
        metrics.REMAINING_SECONDS.observe(call.left_s(now))
        metrics.LIST_AGE_SECONDS.observe(age_s)
        journal.write_decision(
            'sent',
            request=call.head.identity,
            endpoint=endpoint.name,
            prefill=options.prefill_only,
            software=endpoint.version,
            change=endpoint.change,
            after_event=options.last_event,
            age_s=journal.round_to_ms(age_s),
            listed=listing is not None and listing.usable_until == float('inf'),
            left_s=journal.round_to_ms(call.left_s(now)),
            suspected=send_checks.count_crashes(core, call),
        )

    async def _wait_until(
        self,
        until: float,
        work: Awaitable[Answer],
    ) -> Answer:
        async with asyncio.timeout(until - self._core.now()):
            return await work

    async def _check_refusal(
        self,
        call: Call,
        endpoint: Entry,
        options: SendOptions,
        response: aiohttp.ClientResponse,
        sent_at: float,
    ) -> Opened:
        answer_head = read_answer_head(response.status, response.headers)
        source = 'prefill' if options.prefill_only else 'request'
        self._core.endpoints.notices.record_answer(
            endpoint, answer_head, source
        )
        self._core.limiter.record_answer(endpoint, answer_head, sent_at)
        if not answer_head.misdirected:
            self._core.observer.record_alive(endpoint, sent_at)
        if not answer_head.not_run:
            return Success(response)
        _log_not_run(call, endpoint, response.status, answer_head)
        if not options.kv_source:
            # A send with a handle may be refused because the engine that
            # holds the KV cache has crashed, so only refusals of sends without
            # one count against the endpoint.
            now = self._core.now()
            self._core.endpoint_health.record_refusal(endpoint.name, now)
        # Once the refusal is read to its end, the connection can be reused,
        # which saves the next send a handshake.
        with contextlib.suppress(*CALL_FAILURES):
            await asyncio.wait_for(
                read_body(response, _REFUSAL_BYTES), _REFUSAL_BODY_S
            )
        return Failure(Refused(response.status))


def _log_error(call: Call, endpoint: Entry, error: BaseException) -> None:
    journal.write_decision(
        'send_error',
        request=call.head.identity,
        endpoint=endpoint.name,
        error=format_error(error),
    )


def _log_not_run(
    call: Call, endpoint: Entry, status: int, answer_head: AnswerHead
) -> None:
    """Log why a request counts as not run."""
    journal.write_decision(
        'not_run',
        request=call.head.identity,
        endpoint=endpoint.name,
        status=status,
        stated=answer_head.stated,
        identified=answer_head.identified,
    )


@contextlib.contextmanager
def _record_unanswered(
    core: Core, call: Call, endpoint: Entry
) -> Iterator[None]:
    """Record a failure of an endpoint whose answer the caller did not await.

    A caller that waits in vain leaves before its deadline, so that the attempt
    ends without an outcome.
    """
    started = core.now()
    try:
        yield
    except asyncio.CancelledError:
        now = core.now()
        if now - started >= call.route.objective_s:
            core.endpoint_health.record_outcome(endpoint.name, now, good=False)
        raise
