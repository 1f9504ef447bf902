"""Polls the platform's list and applies it to a membership state."""

import asyncio
from http import HTTPStatus
from typing import Final, final

import aiohttp
from absl import logging
from returns.result import Failure, Result, Success

from verbenahall import clock, wire
from verbenahall.bodies import ProgressTimeout, read_body
from verbenahall.errors import ErrorKind, Problem
from verbenahall.membership._codec import decode_list
from verbenahall.membership._list_updates import apply_list
from verbenahall.membership._messages import ListAnswer
from verbenahall.membership._state import MembershipState

#: Timeout of the head of a list, and of each further byte, in seconds.
_TIMEOUT_S: Final = 2.0
#: Bytes of a list at most; that of 12,000 endpoints has about 4 MB.
_MAX_BYTES: Final = 33_554_432
#: After this many polls with a lower version the list counts as restarted.
_LOWER_VERSION_POLLS: Final = 5
#: Interval in seconds at which an unchanged list is applied again. Its effect
#: changes with time: a removal may be accepted later, and an entry counts as
#: lagging for a limited time only. Applying the whole list at each poll would
#: be expensive.
_REAPPLY_INTERVAL_S: Final = 5.0


@final
class ListPoller:
    """Applies the platform's list to a membership state.

    A failed poll changes nothing. The last list stays valid and the
    instance's own observations decide, so that an outage of the list removes
    no endpoint.
    """

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession,
        state: MembershipState,
        period_s: float,
        now: clock.Clock = clock.monotonic,
    ) -> None:
        """Poll ``address`` (``IP:port``) every ``period_s`` seconds."""
        self._url = f'http://{address}/list'
        self._session = session
        self._state = state
        self._period_s = period_s
        self._now = now
        self._last_answer = ListAnswer(0, ())
        self._conditional_headers: dict[str, str] = {}
        self._applied = self._last_answer
        self._next_reapply_at = float('-inf')
        self._version = 0
        self._lower_polls = 0
        self.failed_polls = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._period_s)

    async def poll(self) -> None:
        """Poll once."""
        match await self._fetch():
            case Success(answer):
                self._apply(answer)
            case Failure(problem):
                self._record_failure(problem)

    async def _fetch(self) -> Result[ListAnswer, Problem]:
        try:
            async with (
                ProgressTimeout(_TIMEOUT_S, _TIMEOUT_S) as timeout,
                self._session.get(
                    self._url, headers=self._conditional_headers
                ) as response,
            ):
                response.raise_for_status()
                body = await read_body(response, _MAX_BYTES, timeout.extend)
                return self._read_response(response, body)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Failure(Problem(ErrorKind.ENDPOINT_FAILED, repr(error)))

    def _read_response(
        self,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> Result[ListAnswer, Problem]:
        """Decode a list; return the last one if it has not changed."""
        if response.status == HTTPStatus.NOT_MODIFIED:
            return Success(self._last_answer)
        decoded = wire.decode_table(body).bind(decode_list)
        if isinstance(decoded, Success):
            # The ETag of a list that can't be decoded is not kept. Otherwise
            # later polls would be answered with 304 Not Modified.
            self._last_answer = decoded.unwrap()
            tag = response.headers.get(aiohttp.hdrs.ETAG)
            self._conditional_headers = (
                {aiohttp.hdrs.IF_NONE_MATCH: tag} if tag else {}
            )
        return decoded

    def _apply(self, answer: ListAnswer) -> None:
        self.failed_polls = 0
        if self._is_stale(answer.version):
            return
        now = self._now()
        if answer is self._applied and now < self._next_reapply_at:
            self._state.listed_at = now
            return
        apply_list(self._state, answer.entries, now)
        self._applied = answer
        self._next_reapply_at = now + _REAPPLY_INTERVAL_S

    def _is_stale(self, version: int) -> bool:
        """Whether a list is an older copy and not one that was restarted.

        Replicas behind one address may lag differently. Applying the older
        one would restore endpoints that have left, at every other poll.
        """
        if version < self._version and self._lower_polls < _LOWER_VERSION_POLLS:
            self._lower_polls += 1
            return True
        self._version = version
        self._lower_polls = 0
        return False

    def _record_failure(self, problem: Problem) -> None:
        self.failed_polls += 1
        if self.failed_polls == 1:
            logging.warning('instance list unreadable: %s', problem.message)
