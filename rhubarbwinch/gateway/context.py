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
from rhubarbwinch.gateway.decisions.accountshares import AccountShares
from rhubarbwinch.gateway.decisions.configfreshness import ConfigFreshness
from rhubarbwinch.gateway.decisions.drains import Drain
from rhubarbwinch.gateway.decisions.eligibility import Needs, Regions
from rhubarbwinch.gateway.decisions.serviceversions import ServiceVersions
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
# Evacuations last for seconds to hours. Callers come back in time for a short
# one without trying again and again.
EVACUATED_RETRY_AFTER_MS = 1_000


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
        versions: The software versions that may have begun streams.
        isolation: Knows from which services this gateway is cut off.
        isolation_monitor: Probes endpoints to which connections fail.
        slots: Holds calls to brittle endpoints back until a slot is free.
        permits: Lets requests pass as the rate limits of endpoints allow.
        tracer: Creates spans of requests; None if tracing is off.
        accounts: Counts what client accounts use at engines.
        regions: The regions of the data centres.
        freshness: Decides what the active configuration shows.
        on_leaving: Called with an endpoint whose response says that it leaves.
        on_gone: Called when a response has shown that the start of an endpoint
            is gone, with the position in the store's history that was known
            before.
        table: The active configuration; None before the first one.
        drain: The times of the shutdown; None while there is none.
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
    versions: ServiceVersions
    accounts: AccountShares
    regions: Regions
    freshness: ConfigFreshness
    on_leaving: Callable[[Endpoint], None]
    on_gone: Callable[[GoneNotice], None]
    tracer: Tracer | None = None
    table: RoutingTable | None = None
    drain: Drain | None = None
    store_confirmed_ms: Callable[[], int] = lambda: 0
    store_position: Callable[[], int] = lambda: 0
    _last_response_ms: dict[str, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Connects the permits with what is known of cold endpoints."""
        self.permits.cold_rate = self.cold_rate

    @property
    def is_draining(self) -> bool:
        """Whether the gateway is shutting down."""
        return self.drain is not None

    def engine_spec(self, service: str) -> EngineSpec | None:
        """Returns the capabilities of a service's engines, or None."""
        spec = self.table.services.get(service) if self.table else None
        return spec.engine if spec is not None else None

    def cold_rate(self, endpoint_id: str) -> float | None:
        """Returns how many requests a second a cold endpoint accepts.

        From all gateways together; None if it is warm or has no such limit.
        """
        known = self.fleet.get(endpoint_id)
        if known is None or self.table is None:
            return None
        spec = self.table.services.get(known.endpoint.service)
        if spec is None or not spec.cold_per_s:
            return None
        now = self.clock.now()
        is_cold = (
            now < known.warmed_up_at_ms
            or self.permits.warmups.may_have_restarted(endpoint_id, now)
        )
        return spec.cold_per_s if is_cold else None

    def accepting(self, needs: Needs) -> list[KnownEndpoint]:
        """Returns the endpoints that accept new requests with these needs."""
        return [
            known
            for known in self.fleet.accepting_for_service(needs.service)
            if needs.admits(known.endpoint, self.regions)
        ]

    def find_unserved(self, needs: Needs) -> Failure | None:
        """Returns why no endpoint will serve a request for some time.

        Returns:
            None if one accepts requests now, or may soon.
        """
        if self.accepting(needs):
            return None
        if any(
            known.is_evacuated and needs.admits(known.endpoint, self.regions)
            for known in self.fleet.staying_for_service(needs.service)
        ):
            return not_run(
                Reason.NO_ENDPOINT,
                "the data centres of all endpoints are evacuated",
                EVACUATED_RETRY_AFTER_MS,
            )
        if needs.home_regions is None or not (
            self.fleet.accepting_for_service(needs.service)
        ):
            return None
        return not_run(
            Reason.NO_ENDPOINT,
            "no endpoint in a home region accepts requests",
            EVACUATED_RETRY_AFTER_MS,
        )

    def candidates(self, needs: Needs, excluded: set[str]) -> list[Candidate]:
        """Returns the endpoints to which a request may be sent now.

        Args:
            needs: What the request needs.
            excluded: Ids of endpoints that are left out.
        """
        now = self.clock.now()
        known = [
            k
            for k in self.accepting(needs)
            if k.endpoint.id not in excluded
            and self.permits.is_available(k.endpoint.id)
            and self.has_room(k.endpoint)
        ]
        usable = set(self.suspicion.usable([k.endpoint.id for k in known], now))
        slowness = self._slowness(needs.service, now)
        return [
            self._candidate(k, now, slowness.get(k.endpoint.id, 1.0))
            for k in known
            if k.endpoint.id in usable
        ]

    def _slowness(self, service: str, now: int) -> dict[str, float]:
        """Returns the engines of a service that are slow or fast."""
        if self.engine_spec(service) is None:
            return {}
        engines = [
            k.endpoint.id for k in self.fleet.accepting_for_service(service)
        ]
        return self.loads.speeds.slowness(engines, now)

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

    def is_within_share(self, job: Job, tokens: int) -> bool:
        """Returns whether a job's account is within its share with a run."""
        spec = self.engine_spec(job.service)
        if spec is None or job.account is None:
            return True
        capacity = spec.kv_tokens * len(self.accepting(job.needs))
        return self.accounts.is_within_share(
            job.service, job.account, tokens, capacity, self.clock.now()
        )

    def waits_for_slot(self, needs: Needs, excluded: set[str]) -> bool:
        """Returns whether a slot of an endpoint has to become free."""
        return self._divides_slots(needs.service) and any(
            known.endpoint.id not in excluded
            and self.permits.is_available(known.endpoint.id)
            and self.slots.shares.share(known.endpoint)
            for known in self.accepting(needs)
        )

    def _candidate(
        self, known: KnownEndpoint, now: int, slowness: float
    ) -> Candidate:
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
            slowness,
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
        self._record_warmup(endpoint, response)
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

    def _record_warmup(
        self, endpoint: Endpoint, response: UpstreamResponse
    ) -> None:
        """Records what a response shows of an endpoint that may be cold."""
        declared = response.head.declared
        now = self.clock.now()
        if declared is not None and declared.warmup_ms is not None:
            self.fleet.record_warmup(endpoint.id, now + declared.warmup_ms)
        spec = self.table.services.get(endpoint.service) if self.table else None
        if declared is not None and spec is not None:
            self.permits.warmups.record_response(
                endpoint.id, spec.cold_start_ms, now
            )

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
        self, needs: Needs, excluded: set[str]
    ) -> tuple[Endpoint, int] | None:
        """Returns the endpoint that may be sent to first after a delay.

        Args:
            needs: What the request needs.
            excluded: Ids of endpoints that are left out.

        Returns:
            The endpoint, and the delay in milliseconds; None if no endpoint
            has a delay that ends.
        """
        return self.permits.earliest(
            known.endpoint
            for known in self.accepting(needs)
            if known.endpoint.id not in excluded
        )

    def permit_delay_ms(self, needs: Needs) -> int | None:
        """Returns after how long a service accepts a request of this gateway.

        Args:
            needs: What the request needs.

        Returns:
            0 if an endpoint accepts one now, or if there is no endpoint; None
            if only other gateways may send to the endpoints.
        """
        endpoints = [known.endpoint for known in self.accepting(needs)]
        if not endpoints or any(
            self.permits.is_available(endpoint.id) for endpoint in endpoints
        ):
            return 0
        earliest = self.permits.earliest(endpoints)
        return earliest[1] if earliest is not None else None

    def other_senders(self, needs: Needs) -> frozenset[str]:
        """Returns the gateways that may send a request if this one may not.

        Returns:
            Their names; empty if this gateway has a share of an endpoint, or if
            there is no endpoint.
        """
        endpoints = [known.endpoint for known in self.accepting(needs)]
        if self._divides_slots(needs.service):
            if any(self.slots.shares.share(e) for e in endpoints):
                return frozenset()
            names = [self.slots.shares.holders(e) for e in endpoints]
        elif self.permit_delay_ms(needs) is None:
            names = [self.permits.senders(e.id) for e in endpoints]
        else:
            return frozenset()
        return frozenset(name for group in names for name in group)

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
            self.handle_failure(
                self.peers.report_failure(
                    endpoint_id, outcome is AttemptOutcome.UNREACHABLE
                )
            )

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
        if notice.is_unreachable:
            self.permits.warmups.record_unreachable(notice.endpoint, now)
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
