"""Decides which requests of a pool run on which endpoint and which wait.

The module starts no tasks and does no input or output, so a broker, a
simulation and a test can all drive the same decisions.
"""

import random
from collections import OrderedDict, deque

from rhubarbwinch.admission.decisions import (
    AdmissionOptions,
    Decision,
    EntryMessage,
)
from rhubarbwinch.admission.deprioritization import (
    LOWERED_PRIORITY,
    choose_stream_to_lower,
)
from rhubarbwinch.admission.digests import DigestChecker
from rhubarbwinch.admission.earlyrejection import RETRY_AFTER_MS, EarlyRejection
from rhubarbwinch.admission.enginestate import (
    FORECAST_MAX_AGE_MS,
    CacheReport,
    EngineState,
    LoadReport,
    Stream,
)
from rhubarbwinch.admission.fairness import QueuedRequest, ShareMeter
from rhubarbwinch.admission.limits import Limits
from rhubarbwinch.admission.outputlengths import LearnedLengths, LengthEstimator
from rhubarbwinch.admission.placement import KV_CACHE_DEVIATIONS, POLICIES
from rhubarbwinch.admission.queueing import RequestQueue
from rhubarbwinch.admission.steptime import StepTime
from rhubarbwinch.admission.streamindex import StreamIndex
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

FORECAST_REFRESH_MS = 500
# At most this many engines have their forecasts refreshed in one call, which
# keeps each call short.
MAX_REFRESHES = 2
# An entry may send a report before it receives a recent grant. A stream that
# is missing from a report is dropped only if it was granted this long ago.
REPORT_GRACE_MS = 2000
# Three times the longest report period. The streams of an entry that sends no
# report for this long are dropped.
ENTRY_TIMEOUT_MS = 60_000
MAX_RELEASED_IDS = 4096
INTERACTIVE_PRIORITY = 0
BACKGROUND_PRIORITY = 1

__all__ = [
    "Admission",
    "AdmissionOptions",
    "CacheReport",
    "Decision",
    "EntryMessage",
    "LoadReport",
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
        options: AdmissionOptions | None = None,
        lengths: LengthEstimator | None = None,
    ) -> None:
        self._spec = spec
        self._clock = clock
        self._options = options or AdmissionOptions()
        self._lengths = lengths or LearnedLengths()
        self._limits = Limits(clock, accounts or {})
        self._step_time = StepTime()
        self._policy = POLICIES.get(self._options.placement)(
            self._step_time, rng
        )
        self._engines = {e.name: EngineState(e) for e in spec.endpoints}
        self._refresh_order = deque(self._engines.values())
        self._streams = StreamIndex()
        self._digests = DigestChecker()
        self._released_ids: OrderedDict[str, None] = OrderedDict()
        self._last_report_ms: dict[str, int] = {}
        self._interactive = RequestQueue(clock, self._limits.weight)
        self._background = RequestQueue(clock, self._limits.weight)
        self._shares = ShareMeter(clock, self._limits.weight)
        self._early_rejection = EarlyRejection(
            self._options,
            self._limits,
            self._shares,
            self._interactive,
            self._background,
        )
        self._leaving: set[str] = set()
        self._priority_changes: list[EntryMessage] = []
        self._last_housekeeping_ms = clock.now()

    @property
    def streams(self) -> StreamIndex:
        """The granted requests."""
        return self._streams

    @property
    def queue_length(self) -> int:
        """The number of queued requests."""
        return len(self._interactive) + len(self._background)

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
        self._refresh_order = deque(self._engines.values())
        self._unblock_queues()

    def set_leaving(self, endpoints: set[str]) -> None:
        """Sets the leaving endpoints, which get no new requests."""
        self._leaving = endpoints
        self._unblock_queues()

    def submit(self, request: PermitRequest) -> list[Decision]:
        """Queues or refuses a request; returns the decisions made now."""
        expected = self._expected_tokens(request)
        failure = self._early_rejection.check(request, expected)
        if failure is not None:
            return [_refuse(request, failure)]
        queue = self._queue_for(request)
        queue.push(self._options.share_key(request), request, expected)
        return self.decide()

    def release(self, release: PermitRelease) -> list[Decision]:
        """Releases a permit; returns the decisions made now."""
        self._record_released(release.request_id)
        stream = self._streams.get(release.request_id)
        if stream is None:
            return []
        if release.end is not StreamEnd.UNUSED:
            is_complete = release.end is StreamEnd.FINISHED
            self._lengths.observe(stream.request, release.tokens, is_complete)
        self._remove(stream, release.tokens)
        if release.end is StreamEnd.ENDPOINT_LOST:
            engine = self._engines.get(stream.endpoint)
            if engine is not None:
                engine.mark_suspect(self._clock.now())
        return self.decide()

    def apply_progress_report(self, report: ProgressReport) -> None:
        """Replaces the known streams of an entry with the reported ones."""
        now = self._clock.now()
        self._last_report_ms[report.entry] = now
        open_ids = {stream.request.request_id for stream in report.streams}
        for item in report.streams:
            request_id = item.request.request_id
            known = self._streams.get(request_id)
            if known is not None:
                if known.request.entry != report.entry:
                    self._streams.reassign(known, item.request)
                # A report without tokens leaves the estimate unchanged.
                if item.tokens:
                    known.tokens, known.at_ms = item.tokens, now
            elif request_id not in self._released_ids:
                self._add_reported(item.request, item.endpoint, item.tokens)
        for stream in self._streams.of_entry(report.entry):
            is_past_grace = now - stream.granted_ms >= REPORT_GRACE_MS
            if stream.request.request_id not in open_ids and is_past_grace:
                self._remove(stream, stream.tokens)

    def check_digest(self, report: DigestReport) -> bool:
        """Compares an entry's digest; returns whether a full report is due."""
        now = self._clock.now()
        self._last_report_ms[report.entry] = now
        self._streams.apply_growth(report.entry, report.grown, now)
        known = self._streams.of_entry(report.entry)
        ids = [stream.request.request_id for stream in known]
        return self._digests.needs_full_report(report, ids)

    def apply_load_report(self, report: LoadReport) -> None:
        """Applies an engine's load report."""
        engine = self._engines.get(report.endpoint)
        if engine is None:
            return
        engine.update_load(report, self._clock.now())
        if report.running:
            self._step_time.observe(
                report.running, report.used_tokens, report.step_ms
            )

    def apply_cache_report(self, report: CacheReport) -> None:
        """Applies an engine's cache events."""
        engine = self._engines.get(report.endpoint)
        if engine is not None:
            engine.update_cache(report)

    def pop_priority_changes(self) -> list[EntryMessage]:
        """Returns and clears the priority changes to send to entries."""
        changes, self._priority_changes = self._priority_changes, []
        return changes

    def decide(self) -> list[Decision]:
        """Grants or refuses queued requests; to be called regularly.

        Forecasts, deadlines and silent entries depend on the time, so
        decisions can also become due without any new message.
        """
        now = self._clock.now()
        self._refresh(now)
        decisions: list[Decision] = []
        queues = [self._interactive, self._background]
        if self._background.is_overdue():
            # Serving background requests first keeps interactive requests
            # from starving them.
            queues.reverse()
        for queue in queues:
            self._grant_queued(queue, decisions)
            self._refuse_expired(queue, decisions)
        return decisions

    def _queue_for(self, request: PermitRequest) -> RequestQueue:
        return self._interactive if request.interactive else self._background

    def _expected_tokens(self, request: PermitRequest) -> int:
        forecast = self._lengths.forecast(request, 0)
        return request.prompt_tokens + int(forecast.mean_tokens)

    def _grant_queued(
        self, queue: RequestQueue, decisions: list[Decision]
    ) -> None:
        """Grants requests of a queue until the first one fits nowhere."""
        if queue.is_blocked:
            return
        for item in queue.heads():
            limits = self._limits.for_account(item.request.account)
            if limits.is_full:
                continue
            stream = self._candidate_stream(item)
            expected = stream.expected_tokens
            if not limits.can_start(expected):
                continue
            engine = self._choose_engine(stream)
            if engine is not None:
                queue.start(self._options.share_key(item.request), item)
                decisions.append(self._grant(stream, engine))
            elif not item.request.avoid:
                # Later requests must not overtake this one, or large requests
                # would starve.
                queue.is_blocked = True
                break

    def _candidate_stream(self, item: QueuedRequest) -> Stream:
        """Returns the stream a request would become; renews old forecasts."""
        now = self._clock.now()
        stream = item.stream
        if stream is None or now - stream.forecast_ms >= FORECAST_MAX_AGE_MS:
            expected = self._expected_tokens(item.request)
            stream = Stream(item.request, "", now, expected, forecast_ms=now)
            stream.update_forecast(0, self._lengths)
            item.stream = stream
        return stream

    def _refuse_expired(
        self, queue: RequestQueue, decisions: list[Decision]
    ) -> None:
        for item in queue.pop_expired():
            failure = not_run(
                Reason.DEADLINE, "no place became free", RETRY_AFTER_MS
            )
            queue.remove(self._options.share_key(item.request), item)
            decisions.append(_refuse(item.request, failure))

    def _choose_engine(self, stream: Stream) -> EngineState | None:
        now, limit = self._clock.now(), self._spec.max_running
        up = {
            name: engine
            for name, engine in self._engines.items()
            if name not in self._leaving and not engine.is_suspected_down(now)
        }
        untried = {
            name: engine
            for name, engine in up.items()
            if name not in stream.request.avoid
        }
        # An engine that refused the request may accept it later. It is tried
        # again if it is the only one that is up.
        candidates = untried or up
        usable = [e for e in candidates.values() if len(e.streams) < limit]
        return self._policy.choose(stream, usable)

    def _grant(self, stream: Stream, engine: EngineState) -> Decision:
        request = stream.request
        is_interactive = request.interactive
        stream.priority = (
            INTERACTIVE_PRIORITY if is_interactive else BACKGROUND_PRIORITY
        )
        self._add(stream, engine)
        grant = PermitGrant(
            request.request_id,
            engine.spec.name,
            engine.spec.address,
            stream.priority,
        )
        return Decision(request.request_id, PermitReply(grant=grant))

    def _add_reported(
        self, request: PermitRequest, endpoint: str, tokens: int
    ) -> None:
        """Adds a stream that another owner of the pool granted."""
        now = self._clock.now()
        stream = Stream(
            request, endpoint, now, self._expected_tokens(request), tokens
        )
        stream.update_forecast(tokens, self._lengths)
        self._add(stream, self._engines.get(endpoint))

    def _add(self, stream: Stream, engine: EngineState | None) -> None:
        request = stream.request
        stream.at_ms = stream.granted_ms = self._clock.now()
        self._streams.add(stream)
        self._last_report_ms.setdefault(request.entry, stream.at_ms)
        self._limits.for_account(request.account).add(stream.expected_tokens)
        self._shares.add(request.account, stream.expected_tokens)
        self._queue_for(request).service_rate.record_start(
            stream.expected_tokens, stream.expected_steps
        )
        if engine is not None:
            stream.endpoint = engine.spec.name
            engine.add(stream)
            engine.update_cost(self._step_time, KV_CACHE_DEVIATIONS)
            engine.add_cached_blocks(request.prefix)

    def _remove(self, stream: Stream, tokens: int) -> None:
        request = stream.request
        self._streams.remove(stream)
        self._limits.for_account(request.account).remove(stream.expected_tokens)
        queue = self._queue_for(request)
        served = request.prompt_tokens + tokens
        queue.adjust_charge(
            self._options.share_key(request), served - stream.expected_tokens
        )
        queue.service_rate.record_end(
            stream.expected_tokens,
            stream.expected_steps,
            self._clock.now() - stream.granted_ms,
        )
        engine = self._engines.get(stream.endpoint)
        if engine is not None:
            engine.remove(stream)
            engine.update_cost(self._step_time, KV_CACHE_DEVIATIONS)
        self._unblock_queues()

    def _record_released(self, request_id: str) -> None:
        self._released_ids[request_id] = None
        if len(self._released_ids) > MAX_RELEASED_IDS:
            self._released_ids.popitem(last=False)

    def _unblock_queues(self) -> None:
        self._interactive.is_blocked = False
        self._background.is_blocked = False

    def _refresh(self, now: int) -> None:
        """Refreshes the forecasts of some engines, the oldest first."""
        refreshed = 0
        while refreshed < MAX_REFRESHES and self._refresh_order:
            engine = self._refresh_order[0]
            if now - engine.refreshed_ms < FORECAST_REFRESH_MS:
                break
            refreshed += 1
            self._refresh_order.rotate(-1)
            engine.refresh(now, self._lengths)
            engine.update_cost(self._step_time, KV_CACHE_DEVIATIONS)
            if self._options.lowers_priority:
                self._lower_priority(engine)
        if refreshed:
            self._unblock_queues()
        if now - self._last_housekeeping_ms >= FORECAST_REFRESH_MS:
            self._last_housekeeping_ms = now
            self._remove_silent_entries(now)
            self._update_step_time(now)

    def _update_step_time(self, now: int) -> None:
        """Updates the mean step time used to estimate queue waits."""
        steps = [
            e.step_ms
            for e in self._engines.values()
            if e.load and not e.is_suspected_down(now)
        ]
        if steps:
            mean = sum(steps) / len(steps)
            self._interactive.service_rate.step_ms = mean
            self._background.service_rate.step_ms = mean

    def _remove_silent_entries(self, now: int) -> None:
        """Drops the streams of entries that stopped reporting."""
        silent = {
            entry
            for entry, reported_ms in self._last_report_ms.items()
            if now - reported_ms > ENTRY_TIMEOUT_MS
        }
        if not silent:
            return
        for entry in silent:
            for stream in self._streams.of_entry(entry):
                self._remove(stream, stream.tokens)
            self._digests.remove_entry(entry)
            del self._last_report_ms[entry]

    def _lower_priority(self, engine: EngineState) -> None:
        """Lowers one stream's priority if KV cache is about to run out."""
        stream = choose_stream_to_lower(engine)
        if stream is None:
            return
        stream.priority = LOWERED_PRIORITY
        change = PriorityChange(
            stream.request.request_id, stream.endpoint, stream.priority
        )
        self._priority_changes.append(
            EntryMessage(stream.request.entry, change)
        )


def _refuse(request: PermitRequest, failure: Failure) -> Decision:
    return Decision(request.request_id, PermitReply(failure=failure))
