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
# A part of a prompt may crash this many engines; some time later few requests
# with it reach any.
MAX_FATAL_CRASHES = 5
FATAL_NOTICE_MS = 3_000
MAX_LATE_FATAL = 3


@CHECKS.register("rate limits")
def check_rate_limits(records: RunRecords) -> list[str]:
    """Engines get few more requests than the rate limits that they declare.

    Counted are the gateways that have relayed a declaration and that had no
    fault since shortly before.
    """
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
            told_ms.setdefault(response.gateway, response.at_ms)
        counted = [
            arrival.at_ms
            for arrival in arrivals[engine]
            if arrival.gateway in told_ms
            and arrival.gateway not in disturbed
            and arrival.at_ms >= first_ms + LIMIT_CONVERGENCE_MS
            and told_ms[arrival.gateway] + LIMIT_NOTICE_MS
            <= arrival.at_ms
            <= last_ms
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
        told_ms.setdefault((response.engine, response.gateway), response.at_ms)
    violations = []
    for arrival in records.arrivals:
        attempt = attempts[arrival.request]
        told = told_ms.get((arrival.engine, arrival.gateway))
        if told is None or attempt.sent_ms <= told + DRAIN_MS:
            continue
        if not _is_disturbed(records, arrival.gateway, told, arrival.at_ms):
            violations.append(
                f"{arrival.engine} got {attempt.id} from gateway "
                f"{arrival.gateway} {arrival.at_ms - told} ms after its notice"
            )
    return violations


@CHECKS.register("pauses")
def check_pauses(records: RunRecords) -> list[str]:
    """Few requests reach an engine while it wants none of a gateway."""
    arrivals: dict[tuple[str, int], list[int]] = defaultdict(list)
    for arrival in records.arrivals:
        arrivals[arrival.engine, arrival.gateway].append(arrival.at_ms)
    violations = []
    for pause in records.pauses:
        gateway = pause.gateway
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


@CHECKS.register("fatal parts")
def check_fatal_parts(records: RunRecords) -> list[str]:
    """Few requests with a part that crashes engines reach them after a time.

    Counted are gateways that had no fault since shortly before.
    """
    crashes_ms = sorted(records.crashes_ms)
    if len(crashes_ms) < MAX_FATAL_CRASHES:
        return []
    start_ms = crashes_ms[MAX_FATAL_CRASHES - 1] + FATAL_NOTICE_MS
    counted = [
        arrival
        for arrival in records.arrivals
        if arrival.is_fatal
        and arrival.at_ms > start_ms
        and not _is_disturbed(
            records,
            arrival.gateway,
            arrival.at_ms - FATAL_NOTICE_MS,
            arrival.at_ms,
        )
    ]
    if len(counted) <= MAX_LATE_FATAL:
        return []
    return [f"{len(counted)} requests with the fatal part after {start_ms}"]


def _is_disturbed(
    records: RunRecords, name: int, start_ms: int, end_ms: int
) -> bool:
    """Returns whether a fault at a gateway began or ended in a period."""
    return any(
        d.name == name and start_ms <= d.at_ms <= end_ms
        for d in records.disturbances
    )
