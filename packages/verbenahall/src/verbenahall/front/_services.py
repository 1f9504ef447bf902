"""HTTP client for plain services."""

from typing import final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall.bodies import read_held_body
from verbenahall.fleet import Endpoint
from verbenahall.front._endpoints import (
    CLIENT_ERRORS,
    ReportSink,
    Sessions,
    build_headers,
    build_url,
    classify_error,
    classify_status,
    forward_report,
)
from verbenahall.front._messages import Answered, ServiceCall
from verbenahall.requests import Outcome


@final
class ServiceAdapter:
    """Sends attempts to plain services over HTTP."""

    def __init__(self, sessions: Sessions, reports: ReportSink) -> None:
        """Store the sessions and the receiver of load reports."""
        self._sessions = sessions
        self._reports = reports

    async def send(
        self,
        endpoint: Endpoint,
        attempt: str,
        call: ServiceCall,
        remaining_s: float,
    ) -> Result[Answered, Outcome]:
        """Send a request and return the complete answer."""
        session = self._sessions.select(repeatable=call.repeatable)
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
            return Failure(classify_error(error))

    async def _read(
        self,
        endpoint: Endpoint,
        answer: aiohttp.ClientResponse,
    ) -> Result[Answered, Outcome]:
        forward_report(endpoint, answer.headers, self._reports)
        body, held = await read_held_body(answer, self._sessions.budget)
        outcome = classify_status(answer)
        if outcome:
            return Failure(outcome)
        return Success(Answered(answer.status, body, answer.content_type, held))
