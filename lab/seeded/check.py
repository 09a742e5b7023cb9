"""Checks the records of a seeded run against the guarantees to callers."""

from collections import Counter, defaultdict

import orjson

from lab.seeded.records import Attempt, End, RequestKind, Run, RunRecords
from rhubarbwinch.http.sse import DONE_EVENT


def find_violations(records: RunRecords) -> list[str]:
    """Returns a line per violated guarantee; an empty list if all hold."""
    return [
        *_check_streams(records),
        *_check_refusals(records),
        *_check_bookings(records),
        *_check_answers(records),
    ]


def _check_streams(records: RunRecords) -> list[str]:
    """A request gets each token of one generation once and in order.

    A stream that ended has all tokens.
    """
    violations = []
    by_request: dict[int, list[Attempt]] = defaultdict(list)
    for attempt in records.attempts:
        if attempt.kind is RequestKind.STREAM:
            by_request[attempt.request].append(attempt)
    token_counts = {run.generation: run.number for run in records.runs}
    for request, attempts in by_request.items():
        events = [event for attempt in attempts for event in attempt.events]
        done = DONE_EVENT in events
        tokens = [event for event in events if event.startswith(b"id:")]
        positions = [_generation_and_index(event) for event in tokens]
        if len({name for name, _ in positions}) > 1:
            violations.append(f"request {request}: tokens of two generations")
        if [index for _, index in positions] != list(range(len(positions))):
            violations.append(f"request {request}: tokens {positions}")
        expected = token_counts.get(positions[0][0]) if positions else 0
        if done and len(tokens) != expected:
            violations.append(
                f"request {request}: {len(tokens)} of {expected} tokens"
            )
    return violations


def _generation_and_index(event: bytes) -> tuple[str, int]:
    head = event.split(b"\n", 1)[0].decode().removeprefix("id: ")
    generation, _, index = head.rpartition(":")
    return generation, int(index)


def _check_refusals(records: RunRecords) -> list[str]:
    """A request whose every verdict is not-run ran at no endpoint."""
    ran = {run.marker for run in records.runs}
    verdicts_of = defaultdict(set)
    for attempt in records.attempts:
        verdicts_of[attempt.marker].add(attempt.verdict)
    return [
        f"{marker}: verdict not-run, but it ran"
        for marker, verdicts in verdicts_of.items()
        if verdicts == {"not-run"} and marker in ran
    ]


def _check_bookings(records: RunRecords) -> list[str]:
    """A call with a key runs at most once; its responses show that run."""
    violations = []
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in records.runs:
        if run.key:
            runs[run.key].append(run)
    for key, key_runs in runs.items():
        if len(key_runs) > 1:
            violations.append(f"key {key}: ran {len(key_runs)} times")
    for attempt in records.attempts:
        if attempt.kind is not RequestKind.BOOKING or attempt.status != 200:
            continue
        response = orjson.loads(attempt.body)
        numbers = [run.number for run in runs[attempt.key]]
        if response["number"] not in numbers or response["key"] != attempt.key:
            violations.append(
                f"key {attempt.key}: got {response}, runs {numbers}"
            )
    return violations


def _check_answers(records: RunRecords) -> list[str]:
    """A response holds the marker of its own request and no other marker."""
    violations = []
    for attempt in records.attempts:
        if attempt.end is not End.ANSWERED or attempt.status != 200:
            continue
        if attempt.kind is RequestKind.LOOKUP:
            marker = orjson.loads(attempt.body)["marker"]
            if marker != attempt.marker:
                violations.append(f"{attempt.marker}: response for {marker}")
        if attempt.kind is RequestKind.WHOLE:
            violations += _check_whole(attempt)
    return violations


def _check_whole(attempt: Attempt) -> list[str]:
    text = orjson.loads(attempt.body)["choices"][0]["text"]
    words = [word.split(".") for word in text.split()]
    if Counter(word[0] for word in words).keys() != {attempt.marker}:
        return [f"{attempt.marker}: response {text!r}"]
    if [int(word[1]) for word in words] != list(range(len(words))):
        return [f"{attempt.marker}: response {text!r}"]
    return []
