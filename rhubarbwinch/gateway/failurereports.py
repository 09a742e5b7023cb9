"""Endpoints that several gateways have found failing: a pure decision.

It answers a large fleet before endpoints that go down and up, or reset what
they are sent. Each gateway sends an endpoint so little that by itself it finds
out too late; each loses one or more requests to every endpoint that fails, and
one that fails at once looks idle, so that it draws the most. A fault that only
one data centre meets is believed in that one only.
"""

import attrs

from rhubarbwinch.gateway.messages import FailureNotice

# Failures count together for so long.
WINDOW_MS = 1_000
# One failure may be of the request, or of the gateway's own link.
MIN_GATEWAYS = 2
# Failures, as a share of the calls that an endpoint of the service gets in the
# window. Endpoints at times lose or spoil one answer in twenty.
MIN_SHARE = 0.2
# Failures, as a multiple of those of the service's other endpoints: when all of
# them are too slow, avoiding some makes it worse.
MIN_FACTOR = 2.0
# After a pause one more failure is enough, for so long.
TRIAL_MS = 5_000


@attrs.frozen
class Traffic:
    """What endpoints of a service usually get.

    Attributes:
        calls_each: Calls of one gateway to one endpoint in the window.
        near: Gateways in this data centre, this one included.
        gateways: All gateways, this one included.
        endpoints: The ids of the service's endpoints.
    """

    calls_each: float
    near: int
    gateways: int
    endpoints: frozenset[str] = frozenset()


@attrs.define
class _Tally:
    """The reports about one endpoint: when each came."""

    reports: list[tuple[int, FailureNotice]] = attrs.field(factory=list)
    trial_until_ms: int = 0

    def add(self, report: FailureNotice, now_ms: int) -> None:
        """Adds a report, and drops those that count no more."""
        self.reports = [
            found for found in self.reports if now_ms - found[0] <= WINDOW_MS
        ]
        self.reports.append((now_ms, report))

    def recent(self, now_ms: int) -> list[FailureNotice]:
        """Returns the reports that count."""
        return [r for at, r in self.reports if now_ms - at <= WINDOW_MS]


class FailureReports:
    """Counts the failures that all gateways report.

    Args:
        data_center: Where this gateway is.
    """

    def __init__(self, data_center: str) -> None:
        self._data_center = data_center
        self._tallies: dict[str, _Tally] = {}

    def note(
        self, report: FailureNotice, traffic: Traffic, now_ms: int
    ) -> bool:
        """Notes a report; returns whether its endpoint is to be avoided.

        Args:
            report: What a gateway has met; this gateway's own count too.
            traffic: What such endpoints usually get.
            now_ms: The time.
        """
        tally = self._tallies.setdefault(report.endpoint, _Tally())
        tally.add(report, now_ms)
        everyone = tally.recent(now_ms)
        others = traffic.endpoints - {report.endpoint}
        usual = self._usual(others, now_ms)
        is_on_trial = now_ms < tally.trial_until_ms
        near = [r for r in everyone if r.data_center == self._data_center]
        calls = traffic.calls_each * traffic.near
        if _is_bad(near, calls, usual, is_on_trial):
            return True
        # What two data centres meet is no fault of the way from one of them.
        calls = traffic.calls_each * traffic.gateways
        return len({r.data_center for r in everyone}) > 1 and _is_bad(
            everyone, calls, usual, is_on_trial
        )

    def _usual(self, endpoints: frozenset[str], now_ms: int) -> float:
        """Returns how many reports there are of one of these endpoints."""
        if not endpoints:
            return 0.0
        found = sum(
            len(self._tallies[name].recent(now_ms))
            for name in endpoints
            if name in self._tallies
        )
        return found / len(endpoints)

    def note_pause(self, endpoint: str, until_ms: int) -> None:
        """Notes that an endpoint is avoided, and tried again afterwards."""
        tally = self._tallies.setdefault(endpoint, _Tally())
        tally.reports.clear()
        tally.trial_until_ms = until_ms + TRIAL_MS

    def forget(self, endpoint: str) -> None:
        """Drops an endpoint that is gone."""
        self._tallies.pop(endpoint, None)


def _is_bad(
    reports: list[FailureNotice],
    calls: float,
    usual: float,
    is_on_trial: bool,
) -> bool:
    if len(reports) <= MIN_FACTOR * usual:
        return False
    if is_on_trial:
        return bool(reports)
    if len({report.gateway for report in reports}) < MIN_GATEWAYS:
        return False
    return len(reports) > MIN_SHARE * calls
