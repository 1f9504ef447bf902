"""Which alerts an instance sends, accepts, relays and withdraws."""

import dataclasses
import enum
from types import MappingProxyType
from typing import Final, final

from verbenahall.endpoint_alerts._messages import Alert, Why
from verbenahall.endpoint_alerts._state import AlertTable, Report
from verbenahall.roster import Incarnation

#: Time in which alerts of two data centres confirm each other, in seconds: two
#: connect timeouts, and as much for the sends that find out.
_CONFIRM_S: Final = 2.0
#: Time in which alerts count as one event, in seconds.
_WINDOW_S: Final = 1.0
#: Largest share of a service's endpoints that alerts exclude within that time.
#: If more are reported, the cause is probably the network or an overload.
_MAX_SHARE: Final = 0.5
#: Time by which an answer must be later than a failure to refute it, in
#: seconds. An answer that was already under way is read some milliseconds after
#: its endpoint has ended.
_ANSWER_MARGIN_S: Final = 0.05
_MIN_DATA_CENTRES: Final = 2
#: Data centres whose alerts are relayed, by what they have found out.
_RELAYED: Final = MappingProxyType(
    {Why.REFUSED: 1, Why.DARK: _MIN_DATA_CENTRES, Why.REACHED: 0}
)


@final
class Verdict(enum.Enum):
    """What becomes of an alert that was received."""

    ACCEPTED = 'accepted'
    KNOWN = 'known'
    REFUTED = 'refuted'
    RESTORED = 'restored'
    TOO_MANY = 'too_many'
    UNCONFIRMED = 'unconfirmed'
    UNLISTED = 'unlisted'


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointView:
    """What an instance knows of the endpoint that an alert is about.

    ``is_listed`` is whether its incarnation is live, ``listed_count`` the
    number of live endpoints of its service, ``answered_at`` when it last
    answered this instance, and ``data_centre`` that of this instance.
    """

    is_listed: bool
    listed_count: int
    answered_at: float
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Effects:
    """What an instance does after an alert.

    ``withdrawn`` are the incarnations that are no longer excluded by alerts.
    """

    verdict: Verdict
    relays: bool = False
    withdrawn: tuple[Incarnation, ...] = ()


def is_news(table: AlertTable, alert: Alert, now: float) -> bool:
    """Whether an own finding is to be sent to the peers.

    It is not if the data centre has reported it; a refused connection says more
    than a timeout, and all data centres accept it from any other.
    """
    report = table.reports.get(alert.incarnation)
    if alert.why is Why.REACHED:
        return report is not None and bool(report.reported_at)
    if report is None:
        return True
    return not any(
        _covers(why, data_centre, alert)
        for (why, data_centre), at in report.reported_at.items()
        if now - at < _CONFIRM_S
    )


def record_sent(table: AlertTable, alert: Alert, now: float) -> None:
    """Record an alert of this instance."""
    report = table.touch(alert.incarnation, now)
    if alert.why is Why.REACHED:
        report.record_reached(now)
    else:
        report.reported_at[alert.why, alert.data_centre] = now


def is_refuted(table: AlertTable, incarnation: Incarnation, at: float) -> bool:
    """Whether a probe has reached an endpoint after it was lost at a time."""
    report = table.reports.get(incarnation)
    return report is not None and report.reached_at > at


def receive(
    table: AlertTable, alert: Alert, view: EndpointView, now: float
) -> Effects:
    """Decide on an alert of a peer."""
    if not view.is_listed:
        return Effects(Verdict.UNLISTED)
    if alert.why is Why.REACHED:
        return _restore(table, alert, now)
    lost_at = now - alert.age_s
    if is_refuted(table, alert.incarnation, lost_at):
        return Effects(Verdict.REFUTED)
    report = table.touch(alert.incarnation, now)
    relays = _is_to_be_relayed(report, alert, view)
    report.reported_at.setdefault((alert.why, alert.data_centre), now)
    if view.answered_at > lost_at + _ANSWER_MARGIN_S:
        return Effects(Verdict.REFUTED, relays)
    if report.accepted_at is not None:
        return Effects(Verdict.KNOWN, relays)
    if not _is_confirmed(report, view, now):
        return Effects(Verdict.UNCONFIRMED, relays)
    return _accept(table, report, alert, view, now, relays=relays)


def _accept(
    table: AlertTable,
    report: Report,
    alert: Alert,
    view: EndpointView,
    now: float,
    *,
    relays: bool,
) -> Effects:
    """Accept an alert unless over half of the service is reported."""
    suspected = {
        incarnation: at
        for incarnation, at in table.suspected.get(alert.service, {}).items()
        if now - at < _WINDOW_S
    }
    suspected[alert.incarnation] = now
    table.suspected[alert.service] = suspected
    if len(suspected) <= view.listed_count * _MAX_SHARE:
        report.accepted_at = now
        return Effects(Verdict.ACCEPTED, relays)
    withdrawn = tuple(
        incarnation
        for incarnation in suspected
        if _withdraw(table.reports.get(incarnation))
    )
    return Effects(Verdict.TOO_MANY, relays, withdrawn)


def _withdraw(report: Report | None) -> bool:
    """Withdraw the acceptance of a report; False if it was not accepted."""
    if report is None or report.accepted_at is None:
        return False
    report.accepted_at = None
    return True


def _restore(table: AlertTable, alert: Alert, now: float) -> Effects:
    report = table.reports.get(alert.incarnation)
    if report is None or not report.reported_at:
        return Effects(Verdict.KNOWN)
    report.record_reached(now - alert.age_s)
    table.suspected.get(alert.service, {}).pop(alert.incarnation, None)
    return Effects(Verdict.RESTORED, withdrawn=(alert.incarnation,))


def _is_to_be_relayed(report: Report, alert: Alert, view: EndpointView) -> bool:
    """Whether this instance relays an alert to its own data centre.

    One refused connection is enough, and timeouts of two data centres are. At a
    crash all data centres send alerts at once, and each instance would get
    those of all.
    """
    if alert.relayed or alert.data_centre == view.data_centre:
        return False
    relayed = {place for why, place in report.relayed if why is alert.why}
    if alert.data_centre in relayed or len(relayed) >= _RELAYED[alert.why]:
        return False
    report.relayed.add((alert.why, alert.data_centre))
    return True


def _is_confirmed(report: Report, view: EndpointView, now: float) -> bool:
    """Whether the alerts say that the endpoint is away, not only a path."""
    recent = [
        key for key, at in report.reported_at.items() if now - at < _CONFIRM_S
    ]
    if any(why is Why.REFUSED for why, _ in recent):
        return True
    data_centres = {data_centre for _, data_centre in recent}
    is_local = view.data_centre in data_centres
    return is_local or len(data_centres) >= _MIN_DATA_CENTRES


def _covers(why: Why, data_centre: str, alert: Alert) -> bool:
    """Whether an earlier alert says as much as another one."""
    if why is Why.REFUSED:
        return True
    return why is alert.why and data_centre == alert.data_centre
