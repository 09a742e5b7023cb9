"""Migrates the KV caches of runs whose engines are leaving."""

import anyio

from rhubarbwinch.gateway import migrationtargets
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.loads import Reservation
from rhubarbwinch.gateway.migratedcopies import MigratedCopy
from rhubarbwinch.gateway.platforminterface import KvCacheLocation, MoveState
from rhubarbwinch.gateway.runs import MigrationTarget, Run

# Retry interval: a run that is queued or in its prefill can't be copied yet.
RETRY_INTERVAL_MS = 40
# Interval of the check whether the target engine is leaving as well.
LEAVING_CHECK_MS = 40


class Migrator:
    """Copies the KV caches of runs to other engines.

    Args:
        context: The objects shared by all requests.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    def handle_leaving_engine(self, run: Run, endpoint: Endpoint) -> None:
        """Releases a leaving standby; migrates a run whose engine leaves."""
        if run.reservation is None:
            return
        if run.standby and run.standby.endpoint.id == endpoint.id:
            run.standby.release()
            run.standby = None
        self.migrate_if_leaving(run)

    def handle_evacuation(self, run: Run) -> None:
        """Releases the standby of a run if it accepts no requests any more."""
        if run.standby is not None and not self.has_standby(run):
            run.standby.release()
            run.standby = None

    def migrate_if_leaving(self, run: Run) -> None:
        """Starts a migration if the engine leaves and there is no standby."""
        assert run.reservation is not None
        known = self._context.fleet.get(run.reservation.endpoint.id)
        if (
            known is None
            or not known.is_leaving
            or run.migration_scope is not None
        ):
            return
        spec = self._context.engine_spec(run.job.service)
        if spec is None or not spec.supports_migration:
            return
        if run.job.route.is_resumable or self.has_standby(run):
            # The run can be restarted elsewhere, or a standby has its KV cache.
            return
        run.migration_scope = anyio.CancelScope()
        run.first_copy_settled = anyio.Event()
        run.tasks.start_soon(self._maintain_copy, run, run.migration_scope)

    def may_resume_at(self, target: MigrationTarget) -> bool:
        """Returns whether a run may resume from its migrated copy."""
        known = self._context.fleet.get(target.reservation.endpoint.id)
        return known is None or not known.is_evacuated

    def has_standby(self, run: Run) -> bool:
        """Returns whether a run has a standby engine that is not leaving."""
        if run.standby is None:
            return False
        endpoint = run.standby.endpoint
        known = self._context.fleet.get(endpoint.id)
        return (
            known is not None
            and known.accepts_requests
            # An engine that has restarted has lost the KV cache.
            and known.endpoint.incarnation == endpoint.incarnation
        )

    async def _maintain_copy(self, run: Run, scope: anyio.CancelScope) -> None:
        """Maintains a copy of a run at another engine until cancelled.

        Sets `run.target` while a copy exists, and `run.first_copy_settled` when
        the first copy is complete. Returns if no copy can be made.
        """
        assert run.reservation is not None
        try:
            with scope:
                await self._copy_to_any_target(run, run.reservation.endpoint)
        finally:
            run.first_copy_settled.set()

    async def _copy_to_any_target(self, run: Run, source: Endpoint) -> None:
        refused_ids = {source.id}
        while True:
            reservation = self._reserve(run, source, refused_ids)
            if reservation is None:
                refused_ids = {source.id}
                await self._context.clock.sleep(RETRY_INTERVAL_MS)
                continue
            state = await self._copy_to(run, source, reservation)
            if state in (MoveState.FAILED, MoveState.UNREACHABLE):
                return
            if state is MoveState.NO_RUN and run.events:
                return
            if state is MoveState.NO_ROOM:
                # Another engine is tried at once, as the link of the leaving
                # engine serves the copies in the order of the calls.
                refused_ids.add(reservation.endpoint.id)
                continue
            await self._context.clock.sleep(RETRY_INTERVAL_MS)

    def _reserve(
        self, run: Run, source: Endpoint, refused_ids: set[str]
    ) -> Reservation | None:
        """Reserves capacity at a migration target; None without a target."""
        context = self._context
        tokens = run.mean_tokens
        chosen = migrationtargets.choose_target(
            context.candidates(run.job.needs, refused_ids),
            source,
            tokens,
            context.rng,
        )
        if chosen is None:
            return None
        reservation = Reservation(
            chosen.endpoint, tokens, 0, 1, context.loads
        ).reserve()
        context.peers.announce_loads()
        return reservation

    def _new_copy(
        self, run: Run, source: Endpoint, reservation: Reservation
    ) -> MigratedCopy:
        spec = self._context.engine_spec(run.job.service)
        expiry_ms = spec.copy_expiry_ms if spec is not None else 0
        return MigratedCopy(
            run.id, source, reservation.endpoint, reservation, expiry_ms
        )

    async def _copy_to(
        self, run: Run, source: Endpoint, reservation: Reservation
    ) -> MoveState:
        """Maintains a copy at one engine until that engine leaves.

        Returns:
            Why no copy could be made, or why the copy is no longer usable.
        """
        copies = self._context.copies
        migrated_copy = self._new_copy(run, source, reservation)
        try:
            while True:
                wait_ms = migrationtargets.COPY_REFRESH_MS
                result = await copies.refresh(migrated_copy, run.events)
                if result.state is MoveState.COPIED:
                    location = KvCacheLocation(source.address, result.handle)
                    run.target = MigrationTarget(reservation, location, source)
                    run.first_copy_settled.set()
                    behind = run.events - result.events
                    wait_ms = migrationtargets.refresh_after_ms(behind)
                elif run.target is None:
                    return result.state
                # After a failed refresh the previous copy is still usable: the
                # source engine may be shutting down right now.
                if await self._wait_leaving(reservation.endpoint, wait_ms):
                    return MoveState.NO_ROOM
        finally:
            if run.target is not None and run.target.reservation is reservation:
                run.target = None
            # A run that resumed from the copy owns the reservation by now.
            if run.reservation is not reservation:
                copies.free(migrated_copy)

    async def _wait_leaving(self, endpoint: Endpoint, limit_ms: int) -> bool:
        """Waits until an endpoint leaves or is evacuated.

        Returns:
            False if that has not happened within `limit_ms`.
        """
        clock = self._context.clock
        end = clock.now() + limit_ms
        while clock.now() < end:
            await clock.sleep(LEAVING_CHECK_MS)
            known = self._context.fleet.get(endpoint.id)
            if known is None or not known.accepts_requests:
                return True
        return False

    async def stop(
        self, run: Run, source: Endpoint, target: Endpoint, is_copy_used: bool
    ) -> bool:
        """Stops a run whose stream broke, so that it can resume elsewhere.

        The engine may be alive and still execute the run. Only one engine at a
        time may execute a run.

        Args:
            run: The run.
            source: The engine that executed the run.
            target: The engine to which `source` copies the KV cache of the
                stopped run.
            is_copy_used: Whether the run resumes from a migrated copy. If not,
                the copy made by this call is freed.

        Returns:
            False if the engine still executes the run.
        """
        copy = MigratedCopy(run.id, source, target, None, 0)
        is_stopped = await self._context.copies.stop(copy, run.events)
        if not is_copy_used:
            self._context.copies.free(copy)
        return is_stopped
