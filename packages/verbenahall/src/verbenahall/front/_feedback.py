"""What an attempt's end says about its endpoint."""

from typing import Any, Final

from returns.result import Failure, Result, Success

from verbenahall.front._dependencies import Parts
from verbenahall.load import note_failed
from verbenahall.requests import Broken, NeverWritten, Outcome, Refused

#: An engine refuses so when it does not hold the model.
_CONFLICT: Final = 409


def may_still_run(found: Result[Any, Outcome]) -> bool:
    """Whether an endpoint may be at work on an attempt that is over."""
    match found:
        case Success(_) | Failure(NeverWritten() | Refused()):
            return False
        case Failure(Broken(answered=True)):
            return False
        case _:
            return True


def give_feedback(
    parts: Parts,
    name: str,
    found: Result[Any, Outcome],
) -> None:
    """Feed one attempt's end at an endpoint to the states that judge it."""
    match found:
        case Failure(Broken(answered=True)):
            # One request that every engine fails at would otherwise make
            # all of them count as dead, for everybody.
            note_failed(parts.load, name, parts.clock())
            parts.heard(name)
        case Failure(NeverWritten() | Broken()):
            note_failed(parts.load, name, parts.clock())
            parts.missed(name)
        case Failure(Refused(status)):
            # Until the next poll the state would draw further requests
            # that the engine cannot take.
            if status == _CONFLICT:
                parts.states.forget(name)
            parts.heard(name)
        case Success(_):
            parts.heard(name)
