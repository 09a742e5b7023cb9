"""Decides from the failure notices of all gateways which endpoints to avoid.

Pure code. It is meant for many gateways before endpoints that restart or reset
their connections. Each gateway sends an endpoint so few requests that its own
outcomes show a fault too late: every gateway would lose one or more requests to
each failing endpoint, and an endpoint that fails at once looks idle and so
attracts the most requests. A fault that only one data centre sees is acted on
in that data centre only.
"""

import attrs

from rhubarbwinch.gateway.messages import FailureNotice

# Failures within this window are counted together.
WINDOW_MS = 1_000
# Failures at a single gateway may be caused by the request or by the gateway's
# own network link.
MIN_GATEWAYS = 2
# Least number of failures, as a share of the calls that an endpoint of the
# service usually gets in the window. A usable endpoint may lose or garble one
# response in twenty.
MIN_SHARE = 0.2
# Least number of failures, as a multiple of the mean of the service's other
# endpoints. If all of them are too slow, avoiding some makes it worse.
MIN_FACTOR = 2.0
# For this time after a pause, one failure is enough to avoid an endpoint again.
TRIAL_MS = 5_000


@attrs.frozen
class ServiceTraffic:
    """The usual traffic to the endpoints of a service.

    Attributes:
        calls_each: Calls from one gateway to one endpoint in the window.
        local_gateways: Number of gateways in this data centre, this one
            included.
        gateways: Number of all gateways, this one included.
        endpoints: The ids of the service's endpoints.
    """

    calls_each: float
    local_gateways: int
    gateways: int
    endpoints: frozenset[str] = frozenset()


@attrs.define
class _EndpointReports:
    """The reports about one endpoint, each with its time of arrival."""

    reports: list[tuple[int, FailureNotice]] = attrs.field(factory=list)
    trial_until_ms: int = 0

    def add(self, report: FailureNotice, now_ms: int) -> None:
        """Adds a report, and drops those that have left the window."""
        self.reports = [
            arrival
            for arrival in self.reports
            if now_ms - arrival[0] <= WINDOW_MS
        ]
        self.reports.append((now_ms, report))

    def recent(self, now_ms: int) -> list[FailureNotice]:
        """Returns the reports within the window."""
        return [r for at, r in self.reports if now_ms - at <= WINDOW_MS]


class FailureReports:
    """Counts the failures that all gateways report.

    Args:
        data_center: The data centre of this gateway.
    """

    def __init__(self, data_center: str) -> None:
        self._data_center = data_center
        self._by_endpoint: dict[str, _EndpointReports] = {}

    def record_report(
        self, report: FailureNotice, traffic: ServiceTraffic, now_ms: int
    ) -> bool:
        """Records a report; returns whether its endpoint is to be avoided.

        Args:
            report: A failure at any gateway, this one included.
            traffic: The usual traffic to the service's endpoints.
            now_ms: The current time.
        """
        counted = self._by_endpoint.setdefault(
            report.endpoint, _EndpointReports()
        )
        counted.add(report, now_ms)
        recent_reports = counted.recent(now_ms)
        others = traffic.endpoints - {report.endpoint}
        mean_others = self._mean_reports(others, now_ms)
        is_on_trial = now_ms < counted.trial_until_ms
        local_gateways = [
            r for r in recent_reports if r.data_center == self._data_center
        ]
        calls = traffic.calls_each * traffic.local_gateways
        if _is_bad(local_gateways, calls, mean_others, is_on_trial):
            return True
        # A failure seen by two data centres is no fault of the network path
        # from one of them.
        calls = traffic.calls_each * traffic.gateways
        return len({r.data_center for r in recent_reports}) > 1 and _is_bad(
            recent_reports, calls, mean_others, is_on_trial
        )

    def _mean_reports(self, endpoints: frozenset[str], now_ms: int) -> float:
        """Returns the mean number of reports per endpoint."""
        if not endpoints:
            return 0.0
        report_count = sum(
            len(self._by_endpoint[name].recent(now_ms))
            for name in endpoints
            if name in self._by_endpoint
        )
        return report_count / len(endpoints)

    def record_pause(self, endpoint: str, until_ms: int) -> None:
        """Records that an endpoint is avoided until a time.

        Its trial follows the pause.
        """
        counted = self._by_endpoint.setdefault(endpoint, _EndpointReports())
        counted.reports.clear()
        counted.trial_until_ms = until_ms + TRIAL_MS

    def forget(self, endpoint: str) -> None:
        """Drops the reports about an endpoint that is gone."""
        self._by_endpoint.pop(endpoint, None)


def _is_bad(
    reports: list[FailureNotice],
    calls: float,
    mean_others: float,
    is_on_trial: bool,
) -> bool:
    if len(reports) <= MIN_FACTOR * mean_others:
        return False
    if is_on_trial:
        return bool(reports)
    if len({report.gateway for report in reports}) < MIN_GATEWAYS:
        return False
    return len(reports) > MIN_SHARE * calls
