"""Checks of evacuations, cold engines and home regions."""

from collections import defaultdict

from lab.soak.checkregistry import CHECKS
from lab.soak.layout import EVACUATE_MS
from lab.soak.records import STORE, Arrival, Copy, RunRecords

# Counted are gateways and engines without a fault in this time: the bound for
# gateways to learn of an evacuation, and the time to reach the store again.
STABLE_MS = EVACUATE_MS + 1_000
COLD_WINDOW_MS = 1_000


@CHECKS.register("evacuation")
def check_evacuations(records: RunRecords) -> list[str]:
    """No request reaches an engine of an evacuated data centre.

    Counted are gateways that ran, were not paused, and reached the store and
    the engines during the stable window.
    """
    violations = []
    for evacuation in records.evacuations:
        for arrival in records.arrivals:
            late_ms = arrival.at_ms - evacuation.start_ms
            if (
                arrival.data_center == evacuation.data_center
                and late_ms > EVACUATE_MS
                and arrival.at_ms < evacuation.end_ms
                and not _had_outage(
                    records,
                    {arrival.gateway, arrival.engine, STORE},
                    arrival.at_ms,
                )
            ):
                violations.append(
                    f"{arrival.engine} in {arrival.data_center} got "
                    f"{arrival.request} from gateway {arrival.gateway} "
                    f"{late_ms} ms after the evacuation"
                )
    return violations


def _had_outage(records: RunRecords, names: set[int | str], at_ms: int) -> bool:
    return any(
        outage.name in names
        and outage.start_ms <= at_ms
        and outage.end_ms >= at_ms - STABLE_MS
        for outage in records.outages
    )


@CHECKS.register("cold")
def check_cold_engines(records: RunRecords) -> list[str]:
    """Cold engines receive few requests a second from all gateways together.

    Not counted are engines whose link held requests back, which then arrive at
    once.
    """
    arrivals: dict[str, list[int]] = defaultdict(list)
    for arrival in records.arrivals:
        arrivals[arrival.engine].append(arrival.at_ms)
    violations = []
    for period in records.cold_periods:
        if any(
            outage.name == period.engine
            and outage.start_ms < period.end_ms
            and outage.end_ms > period.start_ms
            for outage in records.outages
        ):
            continue
        counted = [
            at
            for at in arrivals[period.engine]
            if period.start_ms <= at < period.end_ms
        ]
        for start in counted:
            count = sum(start <= at < start + COLD_WINDOW_MS for at in counted)
            if count > period.max_per_s:
                violations.append(
                    f"{period.engine} got {count} requests in "
                    f"{COLD_WINDOW_MS} ms from {start} while it was cold; "
                    f"allowed are {period.max_per_s:g}"
                )
                break
    return violations


@CHECKS.register("homes")
def check_home_regions(records: RunRecords) -> list[str]:
    """No engine outside of the home regions gets a request or its KV cache."""
    attempts = {attempt.id: attempt for attempt in records.attempts}
    violations = []
    received_requests: list[Arrival | Copy] = [
        *records.arrivals,
        *records.copies,
    ]
    for received in received_requests:
        attempt = attempts.get(received.request)
        if attempt is None:
            # The check "asked" reports it if it ran.
            continue
        region = records.regions.get(received.data_center)
        for homes in (
            records.route_regions.get(attempt.kind.value),
            records.account_regions.get(attempt.account),
        ):
            if homes and region not in homes:
                violations.append(
                    f"{received.engine} in {received.data_center} got "
                    f"{attempt.id} with the home regions {', '.join(homes)}"
                )
    return violations
