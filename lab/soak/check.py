"""Checks the records of a soak run against the gateway's guarantees."""

import itertools
import re
from collections import Counter, defaultdict

from lab.soak import (  # noqa: F401, they register their checks
    datacenterchecks,
    declarationchecks,
)
from lab.soak.checkregistry import CHECKS
from lab.soak.records import (
    Attempt,
    RequestKind,
    Run,
    RunRecords,
    event,
    full_response,
)

TIMING_CHECKS = frozenset(
    {
        "cold",
        "evacuation",
        "gone",
        "grace",
        "keys",
        "left engines",
        "one at a time",
        "pauses",
        "rate limits",
        "recovery",
    }
)

REPEATABLE_KINDS = frozenset({RequestKind.CALL, RequestKind.RESUMABLE})
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
OK = 200
UNAUTHORIZED = 401
# Two engines may execute one run at the same time for at most this long: the
# time to stop the first engine, including the messages that this takes.
MAX_OVERLAP_MS = 400
# An engine may notice this late that its caller has disconnected.
DISCONNECT_NOTICE_MS = 1_000
# The share of the requests after recovery that must succeed.
MIN_SERVED_SHARE = 0.95
# The retry budget and the memory limit in the gateways' settings.
RETRY_WINDOW_MS = 10_000
RETRY_RATIO = 0.2
RETRY_EXTRA = 56
MAX_MEMORY_MB = 205
_VERSION = re.compile(rb"^version: (\w+)$", re.MULTILINE)
_VERSION_LINE = re.compile(rb"^version: \w*(\n|\Z)", re.MULTILINE)


def find_violations(records: RunRecords, *, with_times: bool) -> list[str]:
    """Returns a line for each violated guarantee; an empty list if all hold.

    Args:
        records: The records of a run.
        with_times: Whether to run the checks that depend on timing. These
            also fail on a machine that is too slow for its load.
    """
    return [
        f"{name}: {line}"
        for name in CHECKS
        if with_times or name not in TIMING_CHECKS
        for line in CHECKS.get(name)(records)
    ]


def _runs_by_id(records: RunRecords) -> dict[str, list[Run]]:
    runs_by_id: dict[str, list[Run]] = defaultdict(list)
    for run in records.runs:
        runs_by_id[run.id].append(run)
    return runs_by_id


@CHECKS.register("asked")
def check_requested(records: RunRecords) -> list[str]:
    """Engines run only what a caller sent, for the caller's account."""
    sent = {attempt.id: attempt for attempt in records.attempts}
    violations = []
    for run in records.runs:
        attempt = sent.get(run.id)
        if attempt is None:
            violations.append(f"{run.id} ran but no caller sent it")
        elif not attempt.is_allowed:
            violations.append(f"{run.id} ran with a key that was never valid")
        elif run.account != attempt.account:
            violations.append(
                f"{run.id} ran for the wrong account {run.account!r}"
            )
        elif run.has_key:
            violations.append(
                f"{run.id} reached the engine with the caller's key"
            )
        elif (run.kind, run.body) != (attempt.kind.value, attempt.body):
            violations.append(f"{run.id} ran with a different path or body")
    return violations


@CHECKS.register("once")
def check_single_run(records: RunRecords) -> list[str]:
    """Non-idempotent requests run once; streams may resume from a copy."""
    kinds = {attempt.id: attempt.kind for attempt in records.attempts}
    violations = []
    for request_id, runs in _runs_by_id(records).items():
        if kinds.get(request_id) in REPEATABLE_KINDS:
            continue
        unresumed = [run for run in runs if not run.is_resumed]
        if len(unresumed) > 1:
            engines = ", ".join(run.engine for run in unresumed)
            violations.append(
                f"{request_id} ran {len(unresumed)} times: {engines}"
            )
    return violations


@CHECKS.register("one at a time")
def check_overlap(records: RunRecords) -> list[str]:
    """A run resumes elsewhere only after the previous engine has stopped."""
    violations = []
    for request_id, runs in _runs_by_id(records).items():
        for before, after in itertools.pairwise(runs):
            if not after.is_resumed or before.was_unreachable:
                continue
            overlap = before.ended_ms - after.started_ms
            if overlap > MAX_OVERLAP_MS:
                violations.append(
                    f"{request_id} ran at two engines for {overlap} ms"
                )
    return violations


@CHECKS.register("true refusals")
def check_refusals(records: RunRecords) -> list[str]:
    """A request whose status means that it did not run has not run."""
    ran = {run.id for run in records.runs}
    return [
        f"{attempt.id} got status {attempt.status}, but it ran"
        for attempt in records.attempts
        if attempt.status in NOT_RUN_STATUSES
        and attempt.kind not in REPEATABLE_KINDS
        and attempt.id in ran
    ]


@CHECKS.register("own answer")
def check_responses(records: RunRecords) -> list[str]:
    """A complete success is an engine's full response to this request."""
    violations = []
    for attempt in records.attempts:
        if attempt.status != OK or not attempt.is_complete:
            continue
        if not attempt.is_signed:
            violations.append(
                f"{attempt.id}: success without an engine's signature"
            )
        elif not attempt.kind.is_stream:
            expected = full_response(attempt.id, attempt.body)
            if attempt.response != expected:
                violations.append(f"{attempt.id}: {attempt.response[:60]!r}")
    return violations


@CHECKS.register("order")
def check_streams(records: RunRecords) -> list[str]:
    """Events arrive once and in order; a complete stream has all of them."""
    violations = []
    for attempt in records.attempts:
        if not attempt.kind.is_stream or attempt.status != OK:
            continue
        total = int(attempt.body)
        expected = b"".join(
            _without_version(event(attempt.id, number))
            for number in range(attempt.last_event + 1, total + 1)
        )
        response = _without_version(attempt.response)
        if attempt.is_complete and response != expected:
            violations.append(
                f"{attempt.id}: complete, but not its {total} events"
            )
        elif not expected.startswith(response):
            violations.append(f"{attempt.id}: {attempt.response[-60:]!r}")
    return violations


def _without_version(data: bytes) -> bytes:
    """Removes the lines with versions, the last one also if it is cut off."""
    return _VERSION_LINE.sub(b"", data)


@CHECKS.register("versions")
def check_versions(records: RunRecords) -> list[str]:
    """All events of a stream come from one software version.

    This includes the streams that callers take up again.
    """
    versions: dict[str, set[bytes]] = defaultdict(set)
    for attempt in records.attempts:
        if attempt.kind.is_stream and attempt.status == OK:
            versions[attempt.stream].update(_VERSION.findall(attempt.response))
    return [
        f"{stream} has events of {len(found)} versions"
        for stream, found in versions.items()
        if len(found) > 1
    ]


@CHECKS.register("budget")
def check_retry_budget(records: RunRecords) -> list[str]:
    """Retries, over all requests, stay within the retry budget."""
    seen: set[str] = set()
    retries: Counter[int] = Counter()
    for run in records.runs:
        if run.id in seen and not run.is_resumed:
            retries[run.started_ms // RETRY_WINDOW_MS] += 1
        seen.add(run.id)
    sent = Counter(a.sent_ms // RETRY_WINDOW_MS for a in records.attempts)
    violations = []
    for window, count in retries.items():
        # The budget depends on the requests of this or the previous window.
        max_requests = max(sent[window], sent[window - 1])
        if count > RETRY_RATIO * max_requests + RETRY_EXTRA:
            violations.append(f"{count} retries for {max_requests} requests")
    return violations


@CHECKS.register("gone")
def check_disconnects(records: RunRecords) -> list[str]:
    """After recovery, no engine works on for a caller that disconnected."""
    left_ms = {
        attempt.id: attempt.ended_ms
        for attempt in _attempts_after_recovery(records)
        if attempt.has_disconnected
    }
    return [
        f"{run.id} ran {run.ended_ms - left_ms[run.id]} ms after a disconnect"
        for run in records.runs
        if run.id in left_ms
        and run.ended_ms > left_ms[run.id] + DISCONNECT_NOTICE_MS
    ]


@CHECKS.register("recovery")
def check_recovery(records: RunRecords) -> list[str]:
    """After the last fault, requests are served again."""
    attempts = [
        attempt
        for attempt in _attempts_after_recovery(records)
        if attempt.is_allowed and not attempt.has_disconnected
    ]
    served = [a for a in attempts if a.status == OK and a.is_complete]
    if attempts and len(served) >= MIN_SERVED_SHARE * len(attempts):
        return []
    statuses = Counter(a.status for a in attempts)
    return [f"{len(served)} of {len(attempts)} served: {dict(statuses)}"]


@CHECKS.register("keys")
def check_invalid_keys(records: RunRecords) -> list[str]:
    """After recovery, a key that was never valid gets status 401 only."""
    return [
        f"{attempt.id}: status {attempt.status} for an invalid key"
        for attempt in _attempts_after_recovery(records)
        if not attempt.is_allowed
        and not attempt.has_disconnected
        and attempt.status != UNAUTHORIZED
    ]


@CHECKS.register("processes")
def check_processes(records: RunRecords) -> list[str]:
    """No process exits unexpectedly or exceeds its memory limit."""
    violations = list(records.unexpected_exits)
    if records.peak_mb > MAX_MEMORY_MB:
        violations.append(f"a gateway used {records.peak_mb:.0f} MB")
    return violations


@CHECKS.register("grace")
def check_grace_period(records: RunRecords) -> list[str]:
    """A gateway exits within its grace period after a stop signal."""
    return [
        f"{name} still ran after its grace period"
        for name in records.overdue_gateways
    ]


def _attempts_after_recovery(records: RunRecords) -> list[Attempt]:
    return [
        attempt
        for attempt in records.attempts
        if attempt.sent_ms >= records.recovered_from_ms
    ]
