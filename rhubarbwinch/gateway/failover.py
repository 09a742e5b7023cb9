"""Fails runs over to another engine after their stream ended too early."""

import anyio

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.decisions.restartedendpoints import may_attempt
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.generationsender import GenerationSender
from rhubarbwinch.gateway.loads import Reservation
from rhubarbwinch.gateway.migration import Migrator
from rhubarbwinch.gateway.platforminterface import KvCacheLocation
from rhubarbwinch.gateway.runplacement import RunPlacer
from rhubarbwinch.gateway.runs import MigrationTarget, Run
from rhubarbwinch.gateway.suspicion import AttemptOutcome
from rhubarbwinch.gateway.upstream import UpstreamResponse
from rhubarbwinch.shared import events

# How long a failover waits for a copy that is in flight when the stream breaks.
# Without the copy, a run that has no standby must restart or fail.
COPY_WAIT_MS = 600
# How long a failover waits for the rate limit of the engine that has the KV
# cache. Callers abandon a stream after a pause of two seconds.
MAX_PERMIT_WAIT_MS = 1_200
# What a run resumes from: a migrated copy, or the KV cache of a hot standby.
FROM_MIGRATED_COPY = "move"
FROM_STANDBY = "backup"


class Failover:
    """Resumes runs at other engines.

    Args:
        context: The objects shared by all requests.
        placer: Reserves capacity at engines.
        migrator: Migrates the KV caches of runs.
        sender: Sends generations to engines.
    """

    def __init__(
        self,
        context: Context,
        placer: RunPlacer,
        migrator: Migrator,
        sender: GenerationSender,
    ) -> None:
        self._context = context
        self._placer = placer
        self._migrator = migrator
        self._sender = sender

    async def resume(
        self, run: Run, source: Endpoint
    ) -> UpstreamResponse | None:
        """Resumes a run from its KV cache, or restarts it if that is allowed.

        Returns:
            The response of the next engine, or None if the run cannot resume.
        """
        self._context.record_outcome(
            run.job, run.job.service, source.id, self._outcome_for(source)
        )
        if run.migration_scope is not None:
            with anyio.move_on_after(COPY_WAIT_MS / 1000):
                await run.first_copy_settled.wait()
        if run.target is not None and self._migrator.may_resume_at(run.target):
            return await self._resume_at_target(
                run, run.target, FROM_MIGRATED_COPY
            )
        if self._migrator.has_standby(run):
            return await self._resume_at_target(
                run, self._standby_target(run), FROM_STANDBY
            )
        if run.job.route.is_resumable:
            return await self._restart(run, source)
        return None

    def _outcome_for(self, source: Endpoint) -> AttemptOutcome:
        """Returns the outcome to record for the engine of a broken stream."""
        known = self._context.fleet.get(source.id)
        if known is None or known.is_leaving:
            return AttemptOutcome.GOOD
        return AttemptOutcome.BROKEN

    def _standby_target(self, run: Run) -> MigrationTarget:
        """Returns the standby of a run as the target to resume at."""
        assert run.standby is not None
        assert run.reservation is not None
        standby = run.standby
        reservation = Reservation(
            standby.endpoint, standby.tokens, 0, 1, self._context.loads
        )
        location = KvCacheLocation(standby.endpoint.address, run.id)
        return MigrationTarget(
            reservation.reserve(), location, run.reservation.endpoint
        )

    async def _resume_at_target(
        self, run: Run, target: MigrationTarget, how: str
    ) -> UpstreamResponse | None:
        """Resumes a run at the engine that has its KV cache."""
        # From here on the run owns the copy, so the copy is not freed.
        self._replace_reservation(run, target.reservation)
        if not await self._migrator.stop(
            run,
            target.source,
            target.reservation.endpoint,
            is_copy_used=how == FROM_MIGRATED_COPY,
        ):
            return None
        response = await self._send_to_target(
            run, target.reservation.endpoint, target.location, how
        )
        if response is not None:
            self._migrator.migrate_if_leaving(run)
        return response

    async def _restart(
        self, run: Run, source: Endpoint
    ) -> UpstreamResponse | None:
        """Restarts a resumable run after its last event at another engine."""
        job = run.job
        job.tried.add(source.id)
        fleet = self._context.fleet
        endpoints = len(fleet.accepting_for_service(job.service))
        is_stopped = False
        while may_attempt(
            job.sends, job.gone, job.route.max_attempts, endpoints
        ):
            if not self._sender.acquire_retry(run):
                return None
            run.release()
            if await self._placer.place(run) is not None:
                return None
            assert run.reservation is not None
            target = run.reservation.endpoint
            is_stopped = is_stopped or await self._migrator.stop(
                run, source, target, is_copy_used=False
            )
            if not is_stopped:
                return None
            gone_before = job.gone
            result = await self._sender.open(run, target, None)
            if isinstance(result, UpstreamResponse):
                return result
            if job.gone == gone_before:
                return None
            job.tried.add(target.id)
        return None

    def _replace_reservation(self, run: Run, reservation: Reservation) -> None:
        """Replaces the reservation of a run and reserves a new standby."""
        run.release()
        run.reservation = reservation
        if run.migration_scope is not None:
            run.migration_scope.cancel()
            run.migration_scope = None
        self._placer.reserve_standby(run)
        self._placer.handle_capacity_change()

    async def _send_to_target(
        self, run: Run, endpoint: Endpoint, location: KvCacheLocation, how: str
    ) -> UpstreamResponse | None:
        """Sends a generation to the engine that has its KV cache."""
        if not self._sender.acquire_retry(run):
            return None
        if not await self._context.permits.acquire(
            run.id, endpoint, MAX_PERMIT_WAIT_MS
        ):
            return None
        result = await self._sender.open(run, endpoint, location)
        is_resumed = isinstance(result, UpstreamResponse)
        gatewaymetrics.CONTINUATIONS.labels(
            how, "good" if is_resumed else "failed"
        ).inc()
        events.CARRIED_ON.log(
            request=run.id,
            endpoint=endpoint.id,
            version=endpoint.version,
            how=how,
            good=is_resumed,
            after=run.last_event_id,
            pause_ms=self._context.clock.now() - run.last_event_ms,
        )
        return result if isinstance(result, UpstreamResponse) else None
