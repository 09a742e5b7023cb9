"""Admission of one pool: who may run where, and who waits.

The code has no tasks and no input or output, so that a broker, an experiment
and a test drive the same decisions.
"""

import random
from collections import deque

import attrs

from rhubarbwinch.clock import Clock
from rhubarbwinch.messages import (
    PermitGrant,
    PermitRelease,
    PermitReply,
    PermitRequest,
    ProgressReport,
)
from rhubarbwinch.records import EndpointSpec, PoolSpec
from rhubarbwinch.verdict import Failure, Reason, not_run

MAX_QUEUED = 1000
RETRY_AFTER_MS = 1000


@attrs.frozen
class LoadReport:
    """What an engine says of its load, with a lag.

    Attributes:
        endpoint: The endpoint's name.
        at_ms: When it was true, on the pool's clock.
        running: Requests in the batch.
        waiting: Requests before the batch.
        used_tokens: Tokens resident in memory.
        capacity_tokens: Tokens that fit.
        step_ms: The time of the last decoding step.
        preemptions: Requests thrown out of memory since the start.
    """

    endpoint: str
    at_ms: int
    running: int = 0
    waiting: int = 0
    used_tokens: int = 0
    capacity_tokens: int = 0
    step_ms: float = 0.0
    preemptions: int = 0


@attrs.frozen
class Decision:
    """The answer to a request that was submitted."""

    request_id: str
    reply: PermitReply


@attrs.define
class _Running:
    """A granted request."""

    request: PermitRequest
    endpoint: str
    tokens: int = 0


@attrs.define
class _Queued:
    """A request that waits."""

    request: PermitRequest
    until: int


class Admission:
    """Decides for the requests of one pool.

    Args:
        spec: The pool's endpoints and limits.
        clock: The source of time.
        rng: Breaks ties.
    """

    def __init__(
        self, spec: PoolSpec, clock: Clock, rng: random.Random
    ) -> None:
        self._spec = spec
        self._clock = clock
        self._rng = rng
        self._running: dict[str, _Running] = {}
        self._queue: deque[_Queued] = deque()
        self._leaving: set[str] = set()

    @property
    def queued(self) -> int:
        """The number of requests that wait."""
        return len(self._queue)

    def configure(self, spec: PoolSpec) -> None:
        """Takes a new configuration of the pool."""
        self._spec = spec

    def set_leaving(self, endpoints: set[str]) -> None:
        """Sets the endpoints that get no new work."""
        self._leaving = endpoints

    def submit(self, request: PermitRequest) -> list[Decision]:
        """Takes a request in; returns what can be decided now."""
        if len(self._queue) >= MAX_QUEUED:
            failure = not_run(
                Reason.QUEUE_FULL, "too many requests wait", RETRY_AFTER_MS
            )
            return [_refuse(request, failure)]
        until = self._clock.now() + request.wait_ms
        self._queue.append(_Queued(request, until))
        return self.decide()

    def release(self, release: PermitRelease) -> list[Decision]:
        """Takes a permit back; returns what can be decided now."""
        self._running.pop(release.request_id, None)
        return self.decide()

    def report_progress(self, report: ProgressReport) -> None:
        """Takes an entry's open streams as the truth about them."""
        open_ids = {stream.request.request_id for stream in report.streams}
        for stream in report.streams:
            self._running[stream.request.request_id] = _Running(
                stream.request, stream.endpoint, stream.tokens
            )
        for request_id, held in list(self._running.items()):
            is_entrys = held.request.entry == report.entry
            if is_entrys and request_id not in open_ids:
                del self._running[request_id]

    def report_load(self, report: LoadReport) -> None:
        """Takes an engine's load report."""

    def decide(self) -> list[Decision]:
        """Grants and refuses what it can; call it also as time passes."""
        decisions = []
        now = self._clock.now()
        for _ in range(len(self._queue)):
            queued = self._queue.popleft()
            endpoint = self._place(queued.request)
            if endpoint is not None:
                decisions.append(self._grant(queued.request, endpoint))
            elif now >= queued.until:
                failure = not_run(
                    Reason.DEADLINE, "no place became free", RETRY_AFTER_MS
                )
                decisions.append(_refuse(queued.request, failure))
            else:
                self._queue.append(queued)
        return decisions

    def _place(self, request: PermitRequest) -> EndpointSpec | None:
        counts = {e.name: 0 for e in self._spec.endpoints}
        for held in self._running.values():
            if held.endpoint in counts:
                counts[held.endpoint] += 1
        fit = [
            e
            for e in self._spec.endpoints
            if counts[e.name] < self._spec.max_running
            and e.name not in request.avoid
            and e.name not in self._leaving
        ]
        if not fit:
            return None
        least = min(counts[e.name] for e in fit)
        return self._rng.choice([e for e in fit if counts[e.name] == least])

    def _grant(
        self, request: PermitRequest, endpoint: EndpointSpec
    ) -> Decision:
        self._running[request.request_id] = _Running(request, endpoint.name)
        grant = PermitGrant(request.request_id, endpoint.name, endpoint.address)
        return Decision(request.request_id, PermitReply(grant=grant))


def _refuse(request: PermitRequest, failure: Failure) -> Decision:
    return Decision(request.request_id, PermitReply(failure=failure))
