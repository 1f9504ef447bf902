"""Crowds of clients that send more than they may, or read nothing."""

from verbenahall_standins.crowds._crowd import Crowd
from verbenahall_standins.crowds._endpoint import DiscardingEndpoint
from verbenahall_standins.crowds._forms import (
    FORMS,
    LISTENER_FORMS,
    SERVICE_FORMS,
    Form,
    Target,
)
from verbenahall_standins.crowds._usage import Usage, UsageSampler

__all__ = (
    'Crowd',
    'DiscardingEndpoint',
    'FORMS',
    'Form',
    'LISTENER_FORMS',
    'SERVICE_FORMS',
    'Target',
    'Usage',
    'UsageSampler',
)
