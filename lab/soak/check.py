"""Checks the records of a soak run against the gateway's guarantees."""

import itertools
from collections import Counter, defaultdict
from collections.abc import Callable

from lab.soak.records import Attempt, Journal, Kind, Run, event, whole_answer
from rhubarbwinch.shared.registry import Registry

Check = Callable[[Journal], list[str]]
CHECKS: Registry[Check] = Registry("check")
TIMED = frozenset({"gone", "grace", "keys", "one at a time", "recovery"})

PROMISES = frozenset({408, 421, 429, 503})
OK = 200
UNAUTHORIZED = 401
# Two engines may execute one run at the same time for at most this long: the
# time to stop the first engine, including the messages that this takes.
OVERLAP_MS = 400
# An engine may notice this late that its caller has disconnected.
LEAVE_MS = 1_000
# The share of the requests after recovery that must succeed.
SERVED_SHARE = 0.95
# The retry budget and the memory limit in the gateways' settings.
WINDOW_MS = 10_000
REPEAT_RATIO = 0.2
REPEAT_EXTRA = 56
MEMORY_MB = 205


def broken_promises(journal: Journal, *, with_times: bool) -> list[str]:
    """Returns a line for each violated guarantee; an empty list if all hold.

    Args:
        journal: The records of a run.
        with_times: Whether to run the checks that depend on timing. These
            also fail on a machine that is too slow for its load.
    """
    return [
        f"{name}: {line}"
        for name in CHECKS
        if with_times or name not in TIMED
        for line in CHECKS.get(name)(journal)
    ]


def _by_id(journal: Journal) -> dict[str, list[Run]]:
    found: dict[str, list[Run]] = defaultdict(list)
    for run in journal.runs:
        found[run.id].append(run)
    return found


@CHECKS.register("asked")
def check_asked(journal: Journal) -> list[str]:
    """Engines run only what a caller sent, for the caller's account."""
    sent = {attempt.id: attempt for attempt in journal.attempts}
    found = []
    for run in journal.runs:
        attempt = sent.get(run.id)
        if attempt is None:
            found.append(f"{run.id} ran but no caller sent it")
        elif not attempt.is_allowed:
            found.append(f"{run.id} ran with a key that was never valid")
        elif run.account != attempt.account:
            found.append(f"{run.id} ran for the wrong account {run.account!r}")
        elif run.has_key:
            found.append(f"{run.id} reached the engine with the caller's key")
        elif (run.kind, run.body) != (attempt.kind.value, attempt.body):
            found.append(f"{run.id} ran with a different path or body")
    return found


@CHECKS.register("once")
def check_once(journal: Journal) -> list[str]:
    """Non-idempotent requests run once; streams may resume from a copy."""
    kinds = {attempt.id: attempt.kind for attempt in journal.attempts}
    found = []
    for request_id, runs in _by_id(journal).items():
        if kinds.get(request_id) is Kind.CALL:
            continue
        fresh = [run for run in runs if not run.is_resumed]
        if len(fresh) > 1:
            engines = ", ".join(run.engine for run in fresh)
            found.append(f"{request_id} ran {len(fresh)} times: {engines}")
    return found


@CHECKS.register("one at a time")
def check_overlap(journal: Journal) -> list[str]:
    """A run resumes elsewhere only after the previous engine has stopped."""
    found = []
    for request_id, runs in _by_id(journal).items():
        for before, after in itertools.pairwise(runs):
            if not after.is_resumed or before.is_cut_off:
                continue
            overlap = before.ended_ms - after.started_ms
            if overlap > OVERLAP_MS:
                found.append(
                    f"{request_id} ran at two engines for {overlap} ms"
                )
    return found


@CHECKS.register("true refusals")
def check_refusals(journal: Journal) -> list[str]:
    """A request that its caller was told did not run has not run."""
    ran = {run.id for run in journal.runs}
    return [
        f"{attempt.id} got status {attempt.status}, but it ran"
        for attempt in journal.attempts
        if attempt.status in PROMISES
        and attempt.kind is not Kind.CALL
        and attempt.id in ran
    ]


@CHECKS.register("own answer")
def check_answers(journal: Journal) -> list[str]:
    """A complete success is an engine's full response to this request."""
    found = []
    for attempt in journal.attempts:
        if attempt.status != OK or not attempt.is_complete:
            continue
        if not attempt.is_signed:
            found.append(f"{attempt.id}: success without an engine's signature")
        elif attempt.kind is not Kind.DRAFT:
            wanted = whole_answer(attempt.id, attempt.body)
            if attempt.answer != wanted:
                found.append(f"{attempt.id}: {attempt.answer[:60]!r}")
    return found


@CHECKS.register("order")
def check_streams(journal: Journal) -> list[str]:
    """Events arrive once and in order; a complete stream has all of them."""
    found = []
    for attempt in journal.attempts:
        if attempt.kind is not Kind.DRAFT or attempt.status != OK:
            continue
        total = int(attempt.body)
        wanted = b"".join(event(attempt.id, n) for n in range(1, total + 1))
        if attempt.is_complete and attempt.answer != wanted:
            found.append(f"{attempt.id}: complete, but not its {total} events")
        elif not wanted.startswith(attempt.answer):
            found.append(f"{attempt.id}: {attempt.answer[-60:]!r}")
    return found


@CHECKS.register("budget")
def check_budget(journal: Journal) -> list[str]:
    """Retries, over all requests, stay within the retry budget."""
    first: set[str] = set()
    repeats: Counter[int] = Counter()
    for run in journal.runs:
        if run.id in first and not run.is_resumed:
            repeats[run.started_ms // WINDOW_MS] += 1
        first.add(run.id)
    sent = Counter(a.sent_ms // WINDOW_MS for a in journal.attempts)
    found = []
    for window, count in repeats.items():
        # The budget depends on the requests of this or the previous window.
        most = max(sent[window], sent[window - 1])
        if count > REPEAT_RATIO * most + REPEAT_EXTRA:
            found.append(f"{count} retries for {most} requests")
    return found


@CHECKS.register("gone")
def check_gone(journal: Journal) -> list[str]:
    """After recovery, no engine works on for a caller that disconnected."""
    left = {
        attempt.id: attempt.ended_ms
        for attempt in _calm_attempts(journal)
        if attempt.has_left
    }
    return [
        f"{run.id} ran {run.ended_ms - left[run.id]} ms after a disconnect"
        for run in journal.runs
        if run.id in left and run.ended_ms > left[run.id] + LEAVE_MS
    ]


@CHECKS.register("recovery")
def check_recovery(journal: Journal) -> list[str]:
    """After the last fault, requests are served again."""
    owed = [
        attempt
        for attempt in _calm_attempts(journal)
        if attempt.is_allowed and not attempt.has_left
    ]
    served = [a for a in owed if a.status == OK and a.is_complete]
    if owed and len(served) >= SERVED_SHARE * len(owed):
        return []
    statuses = Counter(a.status for a in owed)
    return [f"{len(served)} of {len(owed)} served: {dict(statuses)}"]


@CHECKS.register("keys")
def check_keys(journal: Journal) -> list[str]:
    """After recovery, a key that was never valid gets status 401 only."""
    return [
        f"{attempt.id}: status {attempt.status} for an invalid key"
        for attempt in _calm_attempts(journal)
        if not attempt.is_allowed
        and not attempt.has_left
        and attempt.status != UNAUTHORIZED
    ]


@CHECKS.register("processes")
def check_processes(journal: Journal) -> list[str]:
    """No process exits unexpectedly or exceeds its memory limit."""
    found = list(journal.ended)
    if journal.peak_mb > MEMORY_MB:
        found.append(f"a gateway used {journal.peak_mb:.0f} MB")
    return found


@CHECKS.register("grace")
def check_grace(journal: Journal) -> list[str]:
    """A gateway that is told to stop exits within its grace period."""
    return [
        f"{name} still ran after its grace period" for name in journal.overdue
    ]


def _calm_attempts(journal: Journal) -> list[Attempt]:
    return [
        attempt
        for attempt in journal.attempts
        if attempt.sent_ms >= journal.sound_from_ms
    ]
