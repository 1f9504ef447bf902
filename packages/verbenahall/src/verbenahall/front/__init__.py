"""The callers' HTTP interface."""

from verbenahall.front._answers import answer_problem, guard
from verbenahall.front._engines import EngineAdapter
from verbenahall.front._parts import Adapters, Parts
from verbenahall.front._server import (
    make_application,
    make_session,
    runner_options,
)
from verbenahall.front._services import ServiceAdapter
from verbenahall.front._endpoints import Sessions
from verbenahall.front._shell import Front

__all__ = (
    'Adapters',
    'EngineAdapter',
    'Front',
    'Parts',
    'ServiceAdapter',
    'Sessions',
    'answer_problem',
    'guard',
    'make_application',
    'make_session',
    'runner_options',
)
