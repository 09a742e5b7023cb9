"""The objects shared by all requests."""

import random
from collections.abc import Callable

import attrs

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.crashes import (
    HARMLESS_EVENTS,
    BrokenResponse,
    CrashTracker,
)
from rhubarbwinch.gateway.crashsuspects import Crash
from rhubarbwinch.gateway.decisions.configfreshness import ConfigFreshness
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.failurereports import (
    WINDOW_MS,
    FailureReports,
    ServiceTraffic,
)
from rhubarbwinch.gateway.fleet import Fleet, KnownEndpoint
from rhubarbwinch.gateway.isolation import Isolation
from rhubarbwinch.gateway.isolationmonitor import IsolationMonitor
from rhubarbwinch.gateway.job import Job
from rhubarbwinch.gateway.loads import LoadTracker
from rhubarbwinch.gateway.messages import (
    FailureNotice,
    FullNotice,
    GoneNotice,
)
from rhubarbwinch.gateway.migratedcopies import CopyManager
from rhubarbwinch.gateway.peers import Peers
from rhubarbwinch.gateway.permits import Permits
from rhubarbwinch.gateway.placement import Candidate
from rhubarbwinch.gateway.platforminterface import (
    AttemptOptions,
    Platform,
)
from rhubarbwinch.gateway.requestspans import Tracer
from rhubarbwinch.gateway.retrybudget import RetryBudget
from rhubarbwinch.gateway.routes import EngineSpec, RoutingTable
from rhubarbwinch.gateway.slotgate import SlotGate
from rhubarbwinch.gateway.suspicion import AttemptOutcome, Suspicion
from rhubarbwinch.gateway.takeups import TakeUps
from rhubarbwinch.gateway.upstream import Upstream, UpstreamResponse
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.verdict import Failure, Reason, not_run

# For at least this time no gateway sends to a brittle endpoint that has refused
# a request for want of room. It falls over after some refusals in a second.
BRITTLE_PAUSE_MS = 1_000


@attrs.define
class Context:
    """The objects shared by all requests of a gateway.

    Attributes:
        data_center: The data centre of the gateway.
        platform: Translates the platform's names and formats.
        clock: The source of time.
        rng: Breaks ties.
        fleet: The known endpoints.
        loads: The load of each endpoint.
        suspicion: Decides which endpoints are avoided.
        reports: Counts the endpoint failures seen by all gateways.
        budget: The retry budget, which limits further attempts.
        peers: The other gateways.
        upstream: Sends requests to endpoints.
        copies: Manages the migrated copies of KV caches.
        crashes: The requests during which endpoints crashed.
        takeups: Finds where streams began that callers take up again.
        isolation: Knows from which services this gateway is cut off.
        isolation_monitor: Probes endpoints to which connections fail.
        slots: Holds calls to brittle endpoints back until a slot is free.
        permits: Lets requests pass as the rate limits of endpoints allow.
        tracer: Creates spans of requests; None if tracing is off.
        freshness: Decides what the active configuration shows.
        on_leaving: Called with an endpoint whose response says that it leaves.
        on_gone: Called when a response has shown that the start of an endpoint
            is gone, with the position in the store's history that was known
            before.
        table: The active configuration; None before the first one.
        is_draining: Whether the gateway is shutting down.
        store_confirmed_ms: Returns the milliseconds since the store has last
            confirmed to this gateway or a peer that it knows all changes.
        store_position: Returns the highest position in the store's history that
            this gateway or a peer has reached.
    """

    data_center: str
    platform: Platform
    clock: Clock
    rng: random.Random
    fleet: Fleet
    loads: LoadTracker
    suspicion: Suspicion
    reports: FailureReports
    budget: RetryBudget
    peers: Peers
    upstream: Upstream
    copies: CopyManager
    crashes: CrashTracker
    isolation: Isolation
    isolation_monitor: IsolationMonitor
    slots: SlotGate
    permits: Permits
    takeups: TakeUps
    freshness: ConfigFreshness
    on_leaving: Callable[[Endpoint], None]
    on_gone: Callable[[GoneNotice], None]
    tracer: Tracer | None = None
    table: RoutingTable | None = None
    is_draining: bool = False
    store_confirmed_ms: Callable[[], int] = lambda: 0
    store_position: Callable[[], int] = lambda: 0
    _last_response_ms: dict[str, int] = attrs.field(factory=dict)

    def engine_spec(self, service: str) -> EngineSpec | None:
        """Returns the capabilities of a service's engines, or None."""
        spec = self.table.services.get(service) if self.table else None
        return spec.engine if spec is not None else None

    def candidates(
        self, service: str, excluded: set[str], version: str | None = None
    ) -> list[Candidate]:
        """Returns the endpoints to which a request may be sent now.

        Args:
            service: The service that the request needs.
            excluded: Ids of endpoints that are left out.
            version: The only software version that can serve the request; None
                if all can.
        """
        now = self.clock.now()
        known = [
            k
            for k in self.fleet.accepting_for_service(service)
            if k.endpoint.id not in excluded
            and version in (None, k.endpoint.version)
            and self.permits.is_available(k.endpoint.id)
            and self.has_room(k.endpoint)
        ]
        usable = set(self.suspicion.usable([k.endpoint.id for k in known], now))
        return [
            self._candidate(k, now) for k in known if k.endpoint.id in usable
        ]

    def has_room(self, endpoint: Endpoint) -> bool:
        """Returns whether one of this gateway's slots is free, if divided."""
        return not self._divides_slots(
            endpoint.service
        ) or self.slots.has_free_slot(endpoint)

    def _divides_slots(self, service: str) -> bool:
        """Returns whether the gateways divide the slots of a service.

        They know all runs at engines, and need no shares there.
        """
        return self.slots.is_brittle(service) and (
            self.engine_spec(service) is None
        )

    def waits_for_slot(self, service: str, excluded: set[str]) -> bool:
        """Returns whether a slot of an endpoint has to become free."""
        return self._divides_slots(service) and any(
            known.endpoint.id not in excluded
            and self.permits.is_available(known.endpoint.id)
            and self.slots.shares.share(known.endpoint)
            for known in self.fleet.accepting_for_service(service)
        )

    def _candidate(self, known: KnownEndpoint, now: int) -> Candidate:
        endpoint = known.endpoint
        engine = self.engine_spec(endpoint.service)
        return Candidate(
            endpoint,
            self.loads.total(endpoint.id),
            engine.kv_tokens if engine is not None else 0,
            now >= known.warmed_up_at_ms,
            self.suspicion.failure_share(endpoint.id),
            self.permits.is_limited(endpoint.id),
            self.slots.is_brittle(endpoint.service),
        )

    async def send(
        self,
        job: Job,
        endpoint: Endpoint,
        options: AttemptOptions,
        is_repeatable: bool,
    ) -> UpstreamResponse:
        """Sends a request; records what the endpoint declares in its response.

        Raises:
            EndpointError: No head of a response was received.
        """
        # A registration that is written while the request is on its way may be
        # a newer one, so it is not covered by a response with status 421.
        position = self.store_position()
        response = await self.upstream.send(
            endpoint, job.call, job.body, options, is_repeatable
        )
        self._last_response_ms[endpoint.service] = self.clock.now()
        if response.is_new_connection:
            self.isolation_monitor.record_connected(endpoint.service)
        if response.head.is_endpoint_gone:
            job.gone += 1
            self.on_gone(GoneNotice(endpoint.id, endpoint.started_ms, position))
        declared = response.head.declared
        if declared is not None:
            self.permits.record_response(
                job.call.request_id, endpoint.id, declared
            )
            self._record_brittleness(endpoint, declared.is_brittle)
            if response.head.is_refusal and declared.is_brittle:
                self._pause_full(job, endpoint)
            if declared.is_leaving and self.is_accepting(endpoint):
                events.LEAVING_DECLARED.log(
                    request=job.call.request_id, endpoint=endpoint.id
                )
                self.on_leaving(endpoint)
        return response

    def _pause_full(self, job: Job, endpoint: Endpoint) -> None:
        """Keeps all gateways from a brittle endpoint that has no room."""
        # Gateways return to the endpoint one after another.
        pause_ms = int(BRITTLE_PAUSE_MS * (1 + self.rng.random()))
        if not self.permits.pause(endpoint.id, pause_ms):
            return
        events.BRITTLE_ENDPOINT_FULL.log(
            request=job.call.request_id,
            endpoint=endpoint.id,
            pause_ms=pause_ms,
        )
        self.peers.report_full(FullNotice(endpoint.id, pause_ms))

    def _record_brittleness(self, endpoint: Endpoint, is_brittle: bool) -> None:
        was_brittle = self.slots.is_brittle(endpoint.service)
        now = self.clock.now()
        self.slots.shares.record_response(endpoint.service, is_brittle, now)
        if was_brittle != is_brittle:
            events.BRITTLENESS_CHANGED.log(
                service=endpoint.service,
                endpoint=endpoint.id,
                brittle=is_brittle,
                share=self.slots.shares.share(endpoint),
            )

    def earliest_permit(
        self, service: str, excluded: set[str]
    ) -> tuple[Endpoint, int] | None:
        """Returns the endpoint that may be sent to first after a delay.

        Args:
            service: The service that the request needs.
            excluded: Ids of endpoints that are left out.

        Returns:
            The endpoint, and the delay in milliseconds; None if no endpoint
            has a delay that ends.
        """
        return self.permits.earliest(
            known.endpoint
            for known in self.fleet.accepting_for_service(service)
            if known.endpoint.id not in excluded
        )

    def permit_delay_ms(self, service: str, version: str | None) -> int | None:
        """Returns after how long a service accepts a request of this gateway.

        Args:
            service: The service that the request needs.
            version: The only software version that can serve the request; None
                if all can.

        Returns:
            0 if an endpoint accepts one now, or if there is no endpoint; None
            if only other gateways may send to the endpoints.
        """
        endpoints = [
            known.endpoint
            for known in self.fleet.accepting_for_service(service)
            if version in (None, known.endpoint.version)
        ]
        if not endpoints or any(
            self.permits.is_available(endpoint.id) for endpoint in endpoints
        ):
            return 0
        earliest = self.permits.earliest(endpoints)
        return earliest[1] if earliest is not None else None

    def other_senders(self, service: str) -> frozenset[str]:
        """Returns the gateways that may send to a service if this one may not.

        Returns:
            Their names; empty if this gateway has a share of an endpoint, or if
            there is no endpoint.
        """
        endpoints = [
            known.endpoint
            for known in self.fleet.accepting_for_service(service)
        ]
        if self._divides_slots(service):
            if any(self.slots.shares.share(e) for e in endpoints):
                return frozenset()
            names = [self.slots.shares.holders(e) for e in endpoints]
        elif self.permit_delay_ms(service, None) is None:
            names = [self.permits.senders(e.id) for e in endpoints]
        else:
            return frozenset()
        return frozenset(name for group in names for name in group)

    def has_version(self, service: str, version: str) -> bool:
        """Returns whether an endpoint of a version accepts new requests."""
        return any(
            known.endpoint.version == version
            for known in self.fleet.accepting_for_service(service)
        )

    def is_accepting(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint still accepts new requests."""
        known = self.fleet.get(endpoint.id)
        return (
            known is not None
            and known.accepts_requests
            and known.endpoint.incarnation == endpoint.incarnation
        )

    def record_outcome(
        self,
        job: Job,
        service: str,
        endpoint_id: str,
        outcome: AttemptOutcome,
    ) -> None:
        """Records how an attempt ended."""
        now = self.clock.now()
        gatewaymetrics.ATTEMPTS.labels(outcome.name.lower()).inc()
        if self.suspicion.record_outcome(service, endpoint_id, outcome, now):
            events.ENDPOINT_AVOIDED.log(
                request=job.call.request_id,
                endpoint=endpoint_id,
                outcome=outcome.name,
                failure_share=round(
                    self.suspicion.failure_share(endpoint_id), 2
                ),
            )
        if outcome is AttemptOutcome.UNREACHABLE:
            job.unreachable += 1
            self.isolation_monitor.record_unreachable(service, endpoint_id)
        elif outcome is AttemptOutcome.BROKEN:
            self._check_silence(job, service, endpoint_id)
        if self._is_shared(service, outcome):
            self.handle_failure(self.peers.report_failure(endpoint_id))

    def _check_silence(self, job: Job, service: str, endpoint_id: str) -> None:
        """Has an endpoint probed if its whole service has been silent."""
        known = self.fleet.get(endpoint_id)
        if known is None or known.is_leaving:
            return
        if self._last_response_ms.get(service, 0) < job.sent_ms:
            self.isolation_monitor.check_endpoint(known.endpoint)

    def _is_shared(self, service: str, outcome: AttemptOutcome) -> bool:
        """Returns whether an outcome is reported to the other gateways."""
        if outcome is AttemptOutcome.ERROR:
            # Plain services may respond to some requests with errors of their
            # own, which are no sign of a fault.
            return self.engine_spec(service) is not None
        return outcome in (AttemptOutcome.BROKEN, AttemptOutcome.UNREACHABLE)

    def handle_failure(self, notice: FailureNotice) -> None:
        """Handles a failure that this gateway or a peer has observed."""
        known = self.fleet.get(notice.endpoint)
        if known is None or known.is_leaving:
            return
        now = self.clock.now()
        service = known.endpoint.service
        traffic = ServiceTraffic(
            self.suspicion.calls_each(service, WINDOW_MS),
            self.peers.data_center_count + 1,
            self.peers.live_count + 1,
            frozenset(
                k.endpoint.id for k in self.fleet.accepting_for_service(service)
            ),
        )
        if not self.reports.record_report(notice, traffic, now):
            return
        until_ms = self.suspicion.avoid(service, notice.endpoint, now)
        if until_ms is None:
            return
        self.reports.record_pause(notice.endpoint, until_ms)
        events.ENDPOINT_REPORTED.log(
            endpoint=notice.endpoint,
            reporter=notice.gateway,
            calls_each=round(traffic.calls_each, 2),
            gateways=traffic.gateways,
            pause_ms=until_ms - now,
        )

    def check_crash(
        self, job: Job, endpoint_id: str, address: str, events_received: int
    ) -> None:
        """Starts the check whether an endpoint crashed during a request.

        Args:
            job: The request whose response was broken off.
            endpoint_id: The id of the endpoint.
            address: The address of the endpoint.
            events_received: Number of events of the response that came before.
        """
        known = self.fleet.get(endpoint_id)
        if known is None or known.is_leaving:
            return
        has_begun = events_received >= HARMLESS_EVENTS
        crash = Crash(
            known.endpoint.incarnation,
            job.request_key,
            () if has_begun else job.part_keys,
            job.sent_ms,
            self.clock.now(),
        )
        self.crashes.check_endpoint(
            BrokenResponse(job.call.request_id, address, crash, events_received)
        )

    def gone_failure(self, retry_after_ms: int) -> Failure:
        """Counts an attempt at a gone endpoint; returns its failure."""
        gatewaymetrics.ATTEMPTS.labels("gone").inc()
        return not_run(
            Reason.NO_ENDPOINT,
            "the endpoint is no longer at its address",
            retry_after_ms,
        )

    def record_send(self, job: Job) -> None:
        """Records that a request is sent to an endpoint."""
        job.sends += 1
        job.sent_ms = self.clock.now()
        self.crashes.record_send(job.call.request_id, job.suspect_keys)

    def refuse_suspect(self, job: Job) -> Failure | None:
        """Returns the refusal of a request under which endpoints crash."""
        refused = self.crashes.find_refused(job.suspect_keys)
        if refused is None:
            return None
        return not_run(Reason.QUARANTINED, f"endpoints crash under {refused}")

    def acquire_retry(self, service: str) -> bool:
        """Takes one attempt from the retry budget; False if it is used up."""
        return self.budget.try_acquire(
            service, self.peers.live_count + 1, self.clock.now()
        )
