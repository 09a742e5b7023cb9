"""Moves generations off engines that leave."""

import anyio

from rhubarbwinch import events
from rhubarbwinch.gateway import moving, placing, statistics
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.routes import EngineSpec
from rhubarbwinch.gateway.runs import NewHome, Room, Run
from rhubarbwinch.gateway.wire import MemoryCopy, MoveResult, MoveState

# A run that waits or whose prompt is being read can't be copied yet.
RETRY_MS = 40
# Moves may fill an engine further than new work: the run has been paid for.
MOVE_MEMORY_SHARE = 1.0
# Tries to find an engine that takes the copy.
MAX_TRIES = 12
# An engine that does not answer in this time is taken as dead; two engines may
# not be at work on a run for more than 400 ms.
STOP_MS = 250


class Carrier:
    """Copies the memory of runs to other engines.

    Args:
        context: What all requests share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    async def move(self, run: Run) -> None:
        """Copies a run to another engine and stops it where it was.

        Sets `run.home` if that succeeds, and `run.moving` in any case.
        """
        assert run.room is not None
        assert run.moving is not None
        done = run.moving
        try:
            await self._move(run, run.room.endpoint, self._context.clock.now())
        finally:
            done.set()

    async def _move(self, run: Run, source: Endpoint, notice_ms: int) -> None:
        context = self._context
        spec = self._spec(run)
        if spec is None:
            return
        refused: set[str] = {source.id}
        for _ in range(MAX_TRIES):
            room = self._reserve(run, refused)
            if room is None:
                await context.clock.sleep(RETRY_MS)
                continue
            is_kept = False
            try:
                result = await self._first_copy(run, source, room)
                if result.state is MoveState.COPIED:
                    result = await self._last_copy(
                        run, source, room, notice_ms, spec
                    )
                if result.handle and result.state is not MoveState.FAILED:
                    copy = MemoryCopy(source.address, result.handle)
                    run.home = NewHome(room, copy, source)
                    is_kept = True
                    return
            finally:
                if not is_kept:
                    room.release()
            if result.state is MoveState.FAILED:
                return
            if result.state is MoveState.NO_ROOM:
                refused.add(room.endpoint.id)
            if result.state is MoveState.NO_RUN and run.events:
                return
            await context.clock.sleep(RETRY_MS)

    def _spec(self, run: Run) -> EngineSpec | None:
        table = self._context.table
        spec = table.services.get(run.job.service) if table else None
        return spec.engine if spec is not None else None

    def _reserve(self, run: Run, refused: set[str]) -> Room | None:
        """Returns room at the engine that the run moves to, or None."""
        context = self._context
        tokens = run.expected_tokens
        chosen = placing.choose_engine(
            context.candidates(run.job.service, refused),
            tokens,
            context.data_center,
            context.rng,
            MOVE_MEMORY_SHARE,
        )
        if chosen is None:
            return None
        return Room(chosen.endpoint, tokens, 0, 1, context.loads).hold()

    async def _first_copy(
        self, run: Run, source: Endpoint, room: Room
    ) -> MoveResult:
        """Copies what there is while the run goes on."""
        return await self._call(run, source, room.endpoint, False)

    async def _last_copy(
        self,
        run: Run,
        source: Endpoint,
        room: Room,
        notice_ms: int,
        spec: EngineSpec,
    ) -> MoveResult:
        """Stops the run and copies what is new."""
        context = self._context
        tokens = context.loads.total(source.id).tokens
        plan = moving.plan_move(tokens, spec)
        wait = notice_ms + plan.last_at_ms - context.clock.now()
        if wait > 0:
            await context.clock.sleep(wait)
        known = context.fleet.get(room.endpoint.id)
        if known is not None and known.is_leaving:
            return MoveResult(MoveState.NO_ROOM)
        return await self._call(run, source, room.endpoint, True)

    async def _call(
        self, run: Run, source: Endpoint, to: Endpoint, is_last: bool
    ) -> MoveResult:
        context = self._context
        started = context.clock.now()
        result = await context.engine_calls.move(
            source.address, run.id, to.address, is_last
        )
        statistics.MOVES.labels(
            "last" if is_last else "copy", result.state
        ).inc()
        events.MOVED.log(
            request=run.id,
            source=source.id,
            target=to.id,
            last=is_last,
            state=result.state,
            took_ms=context.clock.now() - started,
            events=result.events,
            relayed=run.events,
        )
        return result

    async def stop(
        self, run: Run, source: Endpoint, to: Endpoint
    ) -> MoveResult:
        """Stops a run whose connection broke, so that it can go on elsewhere.

        The engine may still be at work on it; only a stopped run may go on.
        """
        with anyio.move_on_after(STOP_MS / 1000):
            return await self._call(run, source, to, True)
        return MoveResult(MoveState.FAILED)
