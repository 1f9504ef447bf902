"""The plain services' protocol."""

from typing import final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall.fleet import Endpoint
from verbenahall.front._endpoints import (
    CLIENT_ERRORS,
    ReportSink,
    Sessions,
    build_headers,
    build_url,
    judge_error,
    judge_status,
    take_report,
)
from verbenahall.front._messages import Answered, ServiceCall
from verbenahall.requests import Outcome


@final
class ServiceAdapter:
    """Sends attempts to plain services over HTTP."""

    def __init__(self, sessions: Sessions, reports: ReportSink) -> None:
        """Keep the sessions, and where load reports go."""
        self._sessions = sessions
        self._reports = reports

    async def send(
        self,
        endpoint: Endpoint,
        attempt: str,
        call: ServiceCall,
        remaining_s: float,
    ) -> Result[Answered, Outcome]:
        """Send a request and return its whole answer."""
        session = self._sessions.pick(repeatable=call.repeatable)
        headers = build_headers(
            call.head,
            attempt,
            call.content_type,
            remaining_s,
        )
        headers['Accept'] = call.accept
        request = session.request(
            call.method,
            build_url(endpoint.address, call.target),
            data=call.body or None,
            headers=headers,
            allow_redirects=False,
        )
        try:
            async with request as answer:
                return await self._read(endpoint, answer)
        except CLIENT_ERRORS as error:
            return Failure(judge_error(error))

    async def _read(
        self,
        endpoint: Endpoint,
        answer: aiohttp.ClientResponse,
    ) -> Result[Answered, Outcome]:
        take_report(endpoint, answer.headers, self._reports)
        body = await answer.read()
        failed = judge_status(answer)
        if failed:
            return Failure(failed)
        return Success(Answered(answer.status, body, answer.content_type))
