"""Keeps copies of generations whose engines leave."""

import anyio

from rhubarbwinch.gateway import moving
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.copies import RunCopy
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.loads import Room
from rhubarbwinch.gateway.runs import NewHome, Run
from rhubarbwinch.gateway.wire import MemoryCopy, MoveState

# A run that waits or whose prompt is being read can't be copied yet.
RETRY_MS = 40
# How often it is checked whether the engine with the copy leaves too.
CHECK_MS = 40
# An engine that is gone refuses the call in a round trip. One that lives stops
# the run before it answers, so no more than that is waited for.
STOP_MS = 40


class Carrier:
    """Copies the memory of runs to other engines.

    Args:
        context: What all requests share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    def note_leaving(self, run: Run, endpoint: Endpoint) -> None:
        """Sees to a run when any engine leaves."""
        if run.room is None:
            return
        if run.backup and run.backup.endpoint.id == endpoint.id:
            run.backup.release()
            run.backup = None
        self.copy_if_leaving(run)

    def copy_if_leaving(self, run: Run) -> None:
        """Has a run copied if its engine leaves and nobody follows it."""
        assert run.room is not None
        known = self._context.fleet.get(run.room.endpoint.id)
        if known is None or not known.is_leaving or run.copying is not None:
            return
        spec = self._context.engine_spec(run.job.service)
        if spec is None or not spec.can_move:
            return
        if run.job.route.is_resumable or self.has_backup(run):
            # It may begin anew elsewhere, or there is a copy already.
            return
        run.copying = anyio.CancelScope()
        run.has_copy = anyio.Event()
        run.tasks.start_soon(self._keep_copy, run, run.copying)

    def has_backup(self, run: Run) -> bool:
        """Tells whether an engine that stays follows a run."""
        if run.backup is None:
            return False
        known = self._context.fleet.get(run.backup.endpoint.id)
        return known is not None and known.takes_work

    async def _keep_copy(self, run: Run, scope: anyio.CancelScope) -> None:
        """Keeps a copy of a run at another engine until cancelled.

        Sets `run.home` while there is a copy, and `run.has_copy` with the
        first one; without any to be had it returns.
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
        """Returns room at the engine that takes the run over, or None."""
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
        """Keeps a copy at one engine until that engine leaves.

        Returns:
            Why there is no copy, or none any more.
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
                # A copy that could not be made again is still good: the engine
                # that left it may just be ending.
                if await self._leaves(room.endpoint, wait_ms):
                    return MoveState.NO_ROOM
        finally:
            if run.home is not None and run.home.room is room:
                run.home = None
            # The run that goes on from the copy holds the room by then.
            if run.room is not room:
                copies.drop(made)

    async def _leaves(self, endpoint: Endpoint, limit_ms: int) -> bool:
        """Waits until an endpoint leaves; False if it does not in time."""
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
        """Stops a run whose stream broke, so that it can go on elsewhere.

        Its engine may live and still be at work on it; of a run that is not
        repeatable only one engine may make events.

        Args:
            run: The run.
            source: Its engine.
            to: Where engines copy the memory of a run that is stopped.
            is_copy_used: Whether the run goes on from a copy by this call.
        """
        copy = RunCopy(run.id, source, to, None, 0)
        with anyio.move_on_after(STOP_MS / 1000):
            await self._context.copies.renew(copy, True, run.events)
        if not is_copy_used:
            self._context.copies.drop(copy)
