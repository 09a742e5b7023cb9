"""Migrates the KV caches of runs whose engines are leaving."""

import anyio

from rhubarbwinch.gateway import moving
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.copies import RunCopy
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.loads import Room
from rhubarbwinch.gateway.runs import NewHome, Run
from rhubarbwinch.gateway.wire import MemoryCopy, MoveState

# Retry interval: a run that is queued or in its prefill can't be copied yet.
RETRY_MS = 40
# Interval of the check whether the target engine is leaving as well.
CHECK_MS = 40
# Timeout of the call that stops a run. A dead engine refuses the connection
# within one round trip; a live engine stops the run before it responds.
STOP_MS = 40


class Carrier:
    """Copies the KV caches of runs to other engines.

    Args:
        context: The objects shared by all requests.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    def note_leaving(self, run: Run, endpoint: Endpoint) -> None:
        """Releases a leaving standby; migrates a run whose engine leaves."""
        if run.room is None:
            return
        if run.backup and run.backup.endpoint.id == endpoint.id:
            run.backup.release()
            run.backup = None
        self.copy_if_leaving(run)

    def copy_if_leaving(self, run: Run) -> None:
        """Starts a migration if the engine leaves and there is no standby."""
        assert run.room is not None
        known = self._context.fleet.get(run.room.endpoint.id)
        if known is None or not known.is_leaving or run.copying is not None:
            return
        spec = self._context.engine_spec(run.job.service)
        if spec is None or not spec.can_move:
            return
        if run.job.route.is_resumable or self.has_backup(run):
            # The run can be restarted elsewhere, or a standby has its KV cache.
            return
        run.copying = anyio.CancelScope()
        run.has_copy = anyio.Event()
        run.tasks.start_soon(self._keep_copy, run, run.copying)

    def has_backup(self, run: Run) -> bool:
        """Returns whether a run has a standby engine that is not leaving."""
        if run.backup is None:
            return False
        known = self._context.fleet.get(run.backup.endpoint.id)
        return known is not None and known.takes_work

    async def _keep_copy(self, run: Run, scope: anyio.CancelScope) -> None:
        """Maintains a copy of a run at another engine until cancelled.

        Sets `run.home` while a copy exists, and `run.has_copy` when the first
        copy is complete. Returns if no copy can be made.
        """
        assert run.room is not None
        try:
            with scope:
                await self._copy_where_it_fits(run, run.room.endpoint)
        finally:
            run.has_copy.set()

    async def _copy_where_it_fits(self, run: Run, source: Endpoint) -> None:
        refused = {source.id}
        while True:
            room = self._reserve(run, source, refused)
            if room is None:
                refused = {source.id}
                await self._context.clock.sleep(RETRY_MS)
                continue
            state = await self._copy_to(run, source, room)
            if state is MoveState.FAILED:
                return
            if state is MoveState.NO_RUN and run.events:
                return
            if state is MoveState.NO_ROOM:
                refused.add(room.endpoint.id)
            await self._context.clock.sleep(RETRY_MS)

    def _reserve(
        self, run: Run, source: Endpoint, refused: set[str]
    ) -> Room | None:
        """Reserves capacity at a migration target; None without a target."""
        context = self._context
        tokens = run.expected_tokens
        chosen = moving.choose_home(
            context.candidates(run.job.service, refused),
            source,
            tokens,
            context.rng,
        )
        if chosen is None:
            return None
        room = Room(chosen.endpoint, tokens, 0, 1, context.loads).hold()
        context.peers.tell_loads()
        return room

    def _new_copy(self, run: Run, source: Endpoint, room: Room) -> RunCopy:
        spec = self._context.engine_spec(run.job.service)
        expiry_ms = spec.copy_expiry_ms if spec is not None else 0
        return RunCopy(run.id, source, room.endpoint, room, expiry_ms)

    async def _copy_to(
        self, run: Run, source: Endpoint, room: Room
    ) -> MoveState:
        """Maintains a copy at one engine until that engine leaves.

        Returns:
            Why no copy could be made, or why the copy is no longer usable.
        """
        copies = self._context.copies
        made = self._new_copy(run, source, room)
        try:
            while True:
                wait_ms = moving.REFRESH_MS
                result = await copies.renew(made, False, run.events)
                if result.state is MoveState.COPIED:
                    copy = MemoryCopy(source.address, result.handle)
                    run.home = NewHome(room, copy, source)
                    run.has_copy.set()
                    behind = run.events - result.events
                    wait_ms = moving.refresh_after_ms(behind)
                elif run.home is None:
                    return result.state
                # After a failed refresh the previous copy is still usable: the
                # source engine may be shutting down right now.
                if await self._leaves(room.endpoint, wait_ms):
                    return MoveState.NO_ROOM
        finally:
            if run.home is not None and run.home.room is room:
                run.home = None
            # A run that resumed from the copy owns the reservation by now.
            if run.room is not room:
                copies.drop(made)

    async def _leaves(self, endpoint: Endpoint, limit_ms: int) -> bool:
        """Waits until an endpoint leaves; returns False after `limit_ms`."""
        clock = self._context.clock
        end = clock.now() + limit_ms
        while clock.now() < end:
            await clock.sleep(CHECK_MS)
            known = self._context.fleet.get(endpoint.id)
            if known is None or known.is_leaving:
                return True
        return False

    async def stop(
        self, run: Run, source: Endpoint, to: Endpoint, is_copy_used: bool
    ) -> None:
        """Stops a run whose stream broke, so that it can resume elsewhere.

        The engine may be alive and still execute the run. Only one engine at a
        time may generate events of a run that is not repeatable.

        Args:
            run: The run.
            source: The engine that executed the run.
            to: The engine to which `source` copies the KV cache of the stopped
                run.
            is_copy_used: Whether the run resumes from a migrated copy. If not,
                the copy made by this call is freed.
        """
        copy = RunCopy(run.id, source, to, None, 0)
        with anyio.move_on_after(STOP_MS / 1000):
            await self._context.copies.renew(copy, True, run.events)
        if not is_copy_used:
            self._context.copies.drop(copy)
