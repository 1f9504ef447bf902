"""Admission: which requests run, wait or are rejected, and in which order."""

from verbenahall.admission._connection_shedding import SheddingState
from verbenahall.admission._decisions import (
    expire,
    finish,
    resize,
    submit,
    withdraw,
)
from verbenahall.admission._messages import (
    FLAG_PRIORITY,
    LOWEST_PRIORITY,
    Effects,
    Ticket,
)
from verbenahall.admission._rates import RateMeter
from verbenahall.admission._shell import AdmissionController
from verbenahall.admission._state import AdmissionLimits, AdmissionState
from verbenahall.fair_shares import WorkspaceBounds

__all__ = (
    'AdmissionController',
    'AdmissionLimits',
    'AdmissionState',
    'SheddingState',
    'Effects',
    'FLAG_PRIORITY',
    'LOWEST_PRIORITY',
    'Ticket',
    'WorkspaceBounds',
    'expire',
    'finish',
    'resize',
    'submit',
    'withdraw',
)
