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
# After a pause one more failure is enough, for so long.
TRIAL_MS = 5_000


@attrs.frozen
class Traffic:
    """What endpoints of a service usually get.

    Attributes:
        calls_each: Calls of one gateway to one endpoint in the window.
        near: Gateways in this data centre, this one included.
        gateways: All gateways, this one included.
    """

    calls_each: float
    near: int
    gateways: int


@attrs.define
class _Tally:
    """The reports about one endpoint: when each came."""

    reports: list[tuple[int, FailureNotice]] = attrs.field(factory=list)
    trial_until_ms: int = 0


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
        tally.reports = [
            found for found in tally.reports if now_ms - found[0] <= WINDOW_MS
        ]
        tally.reports.append((now_ms, report))
        everyone = [found for _, found in tally.reports]
        near = [r for r in everyone if r.data_center == self._data_center]
        is_on_trial = now_ms < tally.trial_until_ms
        if _is_bad(near, traffic.calls_each * traffic.near, is_on_trial):
            return True
        # What two data centres meet is no fault of the way from one of them.
        return len({r.data_center for r in everyone}) > 1 and _is_bad(
            everyone, traffic.calls_each * traffic.gateways, is_on_trial
        )

    def note_pause(self, endpoint: str, until_ms: int) -> None:
        """Notes that an endpoint is avoided, and tried again afterwards."""
        tally = self._tallies.setdefault(endpoint, _Tally())
        tally.reports.clear()
        tally.trial_until_ms = until_ms + TRIAL_MS

    def forget(self, endpoint: str) -> None:
        """Drops an endpoint that is gone."""
        self._tallies.pop(endpoint, None)


def _is_bad(
    reports: list[FailureNotice], calls: float, is_on_trial: bool
) -> bool:
    if is_on_trial:
        return bool(reports)
    if len({report.gateway for report in reports}) < MIN_GATEWAYS:
        return False
    return len(reports) > MIN_SHARE * calls
