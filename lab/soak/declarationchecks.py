"""Checks that gateways heed what engines declare in their responses."""

from collections import defaultdict
from collections.abc import Iterator

from lab.soak.checkregistry import CHECKS
from lab.soak.records import Arrival, Declaration, RunRecords

# An engine may get this many requests in a window: the factor times what its
# limit allows, and some more. The bound holds from some time after the engine
# first declared the limit, for gateways that have relayed a declaration.
LIMIT_WINDOW_MS = 4_000
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
LIMIT_CONVERGENCE_MS = 3_000
LIMIT_NOTICE_MS = 500
# After this time a gateway sends nothing new to an engine that has told it that
# it leaves.
DRAIN_MS = 2_000
# After this time few requests of a gateway reach an engine that has refused one
# and asked it for time.
PAUSE_NOTICE_MS = 500
MAX_IN_PAUSE = 2


@CHECKS.register("rate limits")
def check_rate_limits(records: RunRecords) -> list[str]:
    """Engines get few more requests than the rate limits that they declare.

    Counted are the gateways that have relayed a declaration and that had no
    fault since shortly before.
    """
    gateways = {attempt.id: attempt.gateway for attempt in records.attempts}
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in records.arrivals:
        arrivals[arrival.engine].append(arrival)
    violations = []
    for engine, declared in _limit_periods(records):
        first_ms, last_ms = declared[0].at_ms, declared[-1].at_ms
        disturbed = {
            d.name
            for d in records.disturbances
            if first_ms - LIMIT_CONVERGENCE_MS <= d.at_ms <= last_ms
        }
        if engine in disturbed:
            continue
        told_ms: dict[int, int] = {}
        for response in declared:
            told_ms.setdefault(gateways[response.request], response.at_ms)
        counted = [
            arrival.at_ms
            for arrival in arrivals[engine]
            if (gateway := gateways[arrival.request]) in told_ms
            and gateway not in disturbed
            and arrival.at_ms >= first_ms + LIMIT_CONVERGENCE_MS
            and told_ms[gateway] + LIMIT_NOTICE_MS <= arrival.at_ms <= last_ms
        ]
        rate = declared[0].rate
        allowed = LIMIT_FACTOR * rate * LIMIT_WINDOW_MS / 1_000 + LIMIT_EXTRA
        for start in counted:
            count = sum(start <= at < start + LIMIT_WINDOW_MS for at in counted)
            if count > allowed:
                violations.append(
                    f"{engine} with a limit of {rate:.2f} got {count} requests "
                    f"in {LIMIT_WINDOW_MS} ms from {start}"
                )
                break
    return violations


def _limit_periods(
    records: RunRecords,
) -> Iterator[tuple[str, list[Declaration]]]:
    """Yields each engine with the declarations of one and the same limit."""
    periods: dict[tuple[str, float], list[Declaration]] = defaultdict(list)
    for declaration in records.declarations:
        periods[declaration.engine, declaration.rate].append(declaration)
    for (engine, _), declared in periods.items():
        yield engine, declared


@CHECKS.register("left engines")
def check_leaving(records: RunRecords) -> list[str]:
    """An engine gets no new request after it has said that it leaves.

    Counted are requests that callers sent some time after the same gateway had
    relayed such a response.
    """
    attempts = {attempt.id: attempt for attempt in records.attempts}
    told_ms: dict[tuple[str, int], int] = {}
    for response in records.leaving:
        gateway = attempts[response.request].gateway
        told_ms.setdefault((response.engine, gateway), response.at_ms)
    violations = []
    for arrival in records.arrivals:
        attempt = attempts[arrival.request]
        told = told_ms.get((arrival.engine, attempt.gateway))
        if told is None or attempt.sent_ms <= told + DRAIN_MS:
            continue
        if not _is_disturbed(records, attempt.gateway, told, arrival.at_ms):
            violations.append(
                f"{arrival.engine} got {attempt.id} from gateway "
                f"{attempt.gateway} {arrival.at_ms - told} ms after its notice"
            )
    return violations


@CHECKS.register("pauses")
def check_pauses(records: RunRecords) -> list[str]:
    """Few requests reach an engine while it wants none of a gateway."""
    gateways = {attempt.id: attempt.gateway for attempt in records.attempts}
    arrivals: dict[tuple[str, int], list[int]] = defaultdict(list)
    for arrival in records.arrivals:
        key = (arrival.engine, gateways[arrival.request])
        arrivals[key].append(arrival.at_ms)
    violations = []
    for pause in records.pauses:
        gateway = gateways[pause.request]
        start = pause.at_ms + PAUSE_NOTICE_MS
        count = sum(
            start <= at < pause.end_ms for at in arrivals[pause.engine, gateway]
        )
        if count > MAX_IN_PAUSE and not _is_disturbed(
            records, gateway, pause.at_ms, pause.end_ms
        ):
            violations.append(
                f"{pause.engine} got {count} requests from gateway {gateway} "
                f"after it had asked for time at {pause.at_ms}"
            )
    return violations


def _is_disturbed(
    records: RunRecords, name: int, start_ms: int, end_ms: int
) -> bool:
    """Returns whether a fault at a gateway began or ended in a period."""
    return any(
        d.name == name and start_ms <= d.at_ms <= end_ms
        for d in records.disturbances
    )
