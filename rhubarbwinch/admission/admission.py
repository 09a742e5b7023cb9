"""Decides which requests of a pool run on which endpoint and which wait.

The module starts no tasks and does no input or output, so a broker, a
simulation and a test can all drive the same decisions.
"""

import random
from collections import OrderedDict, deque

from rhubarbwinch.admission.decisions import Decision, EntryChange, Options
from rhubarbwinch.admission.digests import DigestChecker
from rhubarbwinch.admission.enginestate import (
    FORECAST_MS,
    CacheReport,
    EngineState,
    LoadReport,
    Stream,
)
from rhubarbwinch.admission.fairness import Queued, ShareMeter
from rhubarbwinch.admission.gate import RETRY_AFTER_MS, Gate
from rhubarbwinch.admission.lengths import LearnedLengths, LengthEstimator
from rhubarbwinch.admission.limits import Limits
from rhubarbwinch.admission.placement import MEMORY_DEVIATIONS, POLICIES
from rhubarbwinch.admission.queueing import Lane
from rhubarbwinch.admission.steptime import StepTime
from rhubarbwinch.admission.streamindex import StreamIndex
from rhubarbwinch.admission.yielding import YIELDING_PRIORITY, choose_yielding
from rhubarbwinch.links.messages import (
    DigestReport,
    PermitGrant,
    PermitRelease,
    PermitReply,
    PermitRequest,
    PriorityChange,
    ProgressReport,
    StreamEnd,
)
from rhubarbwinch.records.records import AccountSpec, PoolSpec
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.verdict import Failure, Reason, not_run

REFRESH_MS = 500
# At most this many engines have their forecasts refreshed in one call, which
# keeps each call short.
REFRESHES = 2
# An entry may send a report before it receives a recent grant. A stream that
# is missing from a report is dropped only if it is at least this old.
SETTLE_MS = 2000
# Three times the longest report period. The streams of an entry that sends no
# report for this long are dropped.
ENTRY_SILENCE_MS = 60_000
RELEASED_KEPT = 4096
INTERACTIVE_PRIORITY = 0
PATIENT_PRIORITY = 1

__all__ = [
    "Admission",
    "CacheReport",
    "Decision",
    "EntryChange",
    "LoadReport",
    "Options",
]


class Admission:
    """Grants, queues and refuses the requests of one pool.

    Args:
        spec: The pool's endpoints and limits.
        clock: The source of time.
        rng: Breaks ties between endpoints.
        accounts: The accounts' records by name.
        options: Which decisions are enabled.
        lengths: Forecasts output lengths.
    """

    def __init__(
        self,
        spec: PoolSpec,
        clock: Clock,
        rng: random.Random,
        accounts: dict[str, AccountSpec] | None = None,
        options: Options | None = None,
        lengths: LengthEstimator | None = None,
    ) -> None:
        self._spec = spec
        self._clock = clock
        self._options = options or Options()
        self._lengths = lengths or LearnedLengths()
        self._limits = Limits(clock, accounts or {})
        self._step_time = StepTime()
        self._policy = POLICIES.get(self._options.placement)(
            self._step_time, rng
        )
        self._engines = {e.name: EngineState(e) for e in spec.endpoints}
        self._turns = deque(self._engines.values())
        self._streams = StreamIndex()
        self._digests = DigestChecker()
        self._released: OrderedDict[str, None] = OrderedDict()
        self._entries_seen: dict[str, int] = {}
        self._interactive = Lane(clock, self._limits.weight)
        self._patient = Lane(clock, self._limits.weight)
        self._shares = ShareMeter(clock, self._limits.weight)
        self._gate = Gate(
            self._options,
            self._limits,
            self._shares,
            self._interactive,
            self._patient,
        )
        self._leaving: set[str] = set()
        self._changes: list[EntryChange] = []
        self._refreshed_ms = clock.now()

    @property
    def streams(self) -> StreamIndex:
        """The granted requests."""
        return self._streams

    @property
    def queued(self) -> int:
        """The number of queued requests."""
        return len(self._interactive) + len(self._patient)

    def configure(
        self, spec: PoolSpec, accounts: dict[str, AccountSpec] | None = None
    ) -> None:
        """Applies a new configuration of the pool."""
        self._spec = spec
        if accounts is not None:
            self._limits.configure(accounts)
        old = self._engines
        self._engines = {}
        for endpoint in spec.endpoints:
            engine = old.get(endpoint.name) or EngineState(endpoint)
            engine.spec = endpoint
            self._engines[endpoint.name] = engine
        self._turns = deque(self._engines.values())
        self._unblock()

    def set_leaving(self, endpoints: set[str]) -> None:
        """Sets the leaving endpoints, which get no new requests."""
        self._leaving = endpoints
        self._unblock()

    def submit(self, request: PermitRequest) -> list[Decision]:
        """Queues or refuses a request; returns the decisions made now."""
        expected = self._expected_tokens(request)
        failure = self._gate.refusal(request, expected)
        if failure is not None:
            return [_refuse(request, failure)]
        lane = self._lane(request)
        lane.push(self._options.share_key(request), request, expected)
        return self.decide()

    def release(self, release: PermitRelease) -> list[Decision]:
        """Releases a permit; returns the decisions made now."""
        self._note_released(release.request_id)
        stream = self._streams.get(release.request_id)
        if stream is None:
            return []
        if release.end is not StreamEnd.UNUSED:
            is_complete = release.end is StreamEnd.FINISHED
            self._lengths.observe(stream.request, release.tokens, is_complete)
        self._forget(stream, release.tokens)
        if release.end is StreamEnd.ENDPOINT_LOST:
            engine = self._engines.get(stream.endpoint)
            if engine is not None:
                engine.suspect(self._clock.now())
        return self.decide()

    def report_progress(self, report: ProgressReport) -> None:
        """Replaces the known streams of an entry with the reported ones."""
        now = self._clock.now()
        self._entries_seen[report.entry] = now
        open_ids = {stream.request.request_id for stream in report.streams}
        for item in report.streams:
            request_id = item.request.request_id
            known = self._streams.get(request_id)
            if known is not None:
                if known.request.entry != report.entry:
                    self._streams.move(known, item.request)
                # A report without tokens leaves the estimate unchanged.
                if item.tokens:
                    known.tokens, known.at_ms = item.tokens, now
            elif request_id not in self._released:
                self._start(item.request, item.endpoint, item.tokens)
        for stream in self._streams.of_entry(report.entry):
            is_settled = now - stream.granted_ms >= SETTLE_MS
            if stream.request.request_id not in open_ids and is_settled:
                self._forget(stream, stream.tokens)

    def check_digest(self, report: DigestReport) -> bool:
        """Compares an entry's digest; returns whether a full report is due."""
        now = self._clock.now()
        self._entries_seen[report.entry] = now
        self._streams.grow(report.entry, report.grown, now)
        known = self._streams.of_entry(report.entry)
        ids = [stream.request.request_id for stream in known]
        return self._digests.wants_all(report, ids)

    def report_load(self, report: LoadReport) -> None:
        """Applies an engine's load report."""
        engine = self._engines.get(report.endpoint)
        if engine is None:
            return
        engine.take_load(report, self._clock.now())
        if report.running:
            self._step_time.observe(
                report.running, report.used_tokens, report.step_ms
            )

    def report_cache(self, report: CacheReport) -> None:
        """Applies an engine's cache events."""
        engine = self._engines.get(report.endpoint)
        if engine is not None:
            engine.take_cache(report)

    def take_priority_changes(self) -> list[EntryChange]:
        """Returns and clears the priority changes to send to entries."""
        changes, self._changes = self._changes, []
        return changes

    def decide(self) -> list[Decision]:
        """Grants or refuses queued requests; to be called regularly.

        Forecasts, deadlines and silent entries depend on the time, so
        decisions can also become due without any new message.
        """
        now = self._clock.now()
        self._refresh(now)
        decisions: list[Decision] = []
        lanes = [self._interactive, self._patient]
        if self._patient.is_overdue():
            # Serving background requests first keeps interactive requests
            # from starving them.
            lanes.reverse()
        for lane in lanes:
            self._serve(lane, decisions)
            self._expire(lane, decisions)
        return decisions

    def _lane(self, request: PermitRequest) -> Lane:
        return self._interactive if request.interactive else self._patient

    def _expected_tokens(self, request: PermitRequest) -> int:
        outlook = self._lengths.outlook(request, 0)
        return request.prompt_tokens + int(outlook.mean_tokens)

    def _serve(self, lane: Lane, decisions: list[Decision]) -> None:
        """Grants requests of a queue until the first one fits nowhere."""
        if lane.is_blocked:
            return
        for item in lane.heads():
            limits = self._limits.of(item.request.account)
            if limits.is_full:
                continue
            stream = self._forecast(item)
            expected = stream.expected_tokens
            if not limits.has_room(expected):
                continue
            engine = self._place(stream)
            if engine is not None:
                lane.start(self._options.share_key(item.request), item)
                decisions.append(self._grant(stream, engine))
            elif not item.request.avoid:
                # Later requests must not overtake this one, or large requests
                # would starve.
                lane.is_blocked = True
                break

    def _forecast(self, item: Queued) -> Stream:
        """Returns the stream a request would become; renews old forecasts."""
        now = self._clock.now()
        stream = item.stream
        if stream is None or now - stream.forecast_ms >= FORECAST_MS:
            expected = self._expected_tokens(item.request)
            stream = Stream(item.request, "", now, expected, forecast_ms=now)
            stream.forecast(0, self._lengths)
            item.stream = stream
        return stream

    def _expire(self, lane: Lane, decisions: list[Decision]) -> None:
        for item in lane.take_expired():
            failure = not_run(
                Reason.DEADLINE, "no place became free", RETRY_AFTER_MS
            )
            lane.remove(self._options.share_key(item.request), item)
            decisions.append(_refuse(item.request, failure))

    def _place(self, stream: Stream) -> EngineState | None:
        now, limit = self._clock.now(), self._spec.max_running
        fit = [
            engine
            for name, engine in self._engines.items()
            if len(engine.streams) < limit
            and name not in stream.request.avoid
            and name not in self._leaving
            and not engine.is_silent(now)
        ]
        return self._policy.choose(stream, fit)

    def _grant(self, stream: Stream, engine: EngineState) -> Decision:
        request = stream.request
        is_urgent = request.interactive
        stream.priority = (
            INTERACTIVE_PRIORITY if is_urgent else PATIENT_PRIORITY
        )
        self._add(stream, engine)
        grant = PermitGrant(
            request.request_id,
            engine.spec.name,
            engine.spec.address,
            stream.priority,
        )
        return Decision(request.request_id, PermitReply(grant=grant))

    def _start(
        self, request: PermitRequest, endpoint: str, tokens: int
    ) -> None:
        """Adds a stream that another owner of the pool granted."""
        now = self._clock.now()
        stream = Stream(
            request, endpoint, now, self._expected_tokens(request), tokens
        )
        stream.forecast(tokens, self._lengths)
        self._add(stream, self._engines.get(endpoint))

    def _add(self, stream: Stream, engine: EngineState | None) -> None:
        request = stream.request
        stream.at_ms = stream.granted_ms = self._clock.now()
        self._streams.add(stream)
        self._entries_seen.setdefault(request.entry, stream.at_ms)
        self._limits.of(request.account).add(stream.expected_tokens)
        self._shares.add(request.account, stream.expected_tokens)
        self._lane(request).service.note_start(
            stream.expected_tokens, stream.expected_steps
        )
        if engine is not None:
            stream.endpoint = engine.spec.name
            engine.add(stream)
            engine.rank(self._step_time, MEMORY_DEVIATIONS)
            engine.expect_cached(request.prefix)

    def _forget(self, stream: Stream, tokens: int) -> None:
        request = stream.request
        self._streams.remove(stream)
        self._limits.of(request.account).remove(stream.expected_tokens)
        lane = self._lane(request)
        served = request.prompt_tokens + tokens
        lane.correct(
            self._options.share_key(request), served - stream.expected_tokens
        )
        lane.service.note_end(
            stream.expected_tokens,
            stream.expected_steps,
            self._clock.now() - stream.granted_ms,
        )
        engine = self._engines.get(stream.endpoint)
        if engine is not None:
            engine.remove(stream)
            engine.rank(self._step_time, MEMORY_DEVIATIONS)
        self._unblock()

    def _note_released(self, request_id: str) -> None:
        self._released[request_id] = None
        if len(self._released) > RELEASED_KEPT:
            self._released.popitem(last=False)

    def _unblock(self) -> None:
        self._interactive.is_blocked = False
        self._patient.is_blocked = False

    def _refresh(self, now: int) -> None:
        """Refreshes the forecasts of some engines, the oldest first."""
        due = 0
        while due < REFRESHES and self._turns:
            engine = self._turns[0]
            if now - engine.refreshed_ms < REFRESH_MS:
                break
            due += 1
            self._turns.rotate(-1)
            engine.refresh(now, self._lengths)
            engine.rank(self._step_time, MEMORY_DEVIATIONS)
            if self._options.lowers_priority:
                self._make_yield(engine)
        if due:
            self._unblock()
        if now - self._refreshed_ms >= REFRESH_MS:
            self._refreshed_ms = now
            self._drop_silent(now)
            self._learn_step(now)

    def _learn_step(self, now: int) -> None:
        """Updates the mean step time used to estimate queue waits."""
        steps = [
            e.step_ms
            for e in self._engines.values()
            if e.load and not e.is_silent(now)
        ]
        if steps:
            mean = sum(steps) / len(steps)
            self._interactive.service.step_ms = mean
            self._patient.service.step_ms = mean

    def _drop_silent(self, now: int) -> None:
        """Drops the streams of entries that stopped reporting."""
        silent = {
            entry
            for entry, seen in self._entries_seen.items()
            if now - seen > ENTRY_SILENCE_MS
        }
        if not silent:
            return
        for entry in silent:
            for stream in self._streams.of_entry(entry):
                self._forget(stream, stream.tokens)
            self._digests.forget(entry)
            del self._entries_seen[entry]

    def _make_yield(self, engine: EngineState) -> None:
        """Lowers one stream's priority if KV cache is about to run out."""
        stream = choose_yielding(engine)
        if stream is None:
            return
        stream.priority = YIELDING_PRIORITY
        change = PriorityChange(
            stream.request.request_id, stream.endpoint, stream.priority
        )
        self._changes.append(EntryChange(stream.request.entry, change))


def _refuse(request: PermitRequest, failure: Failure) -> Decision:
    return Decision(request.request_id, PermitReply(failure=failure))
