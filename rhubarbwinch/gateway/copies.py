"""Copies of generations' memory at other engines, freed when nobody needs them.

It answers engines that leave in turn: most copied runs end before their engine
does, and a copy that is neither used nor freed occupies memory and a slot for
seconds, so that engines look free and are full. A call that makes a copy goes
on when its run ends, since the copy can be freed only by the name that the
answer tells.
"""

import anyio
import anyio.abc
import attrs

from rhubarbwinch.gateway import statistics
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.loads import Room
from rhubarbwinch.gateway.wire import (
    EngineCalls,
    FreeState,
    MoveResult,
    MoveState,
)
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock

# Engines keep an unused copy for longer than they say, in parts of that time.
EXPIRY_FACTOR = 1.5


@attrs.define(eq=False)
class RunCopy:
    """A run's memory at another engine.

    Attributes:
        request_id: The caller's id of the run.
        source: The engine that runs it.
        target: The engine that has the copy.
        room: The room that is counted for it; None for none.
        expiry_ms: How long engines keep a copy that is not used.
        handle: Its name at the source; empty before the first answer.
        may_exist: Whether a call has made it, or may have.
    """

    request_id: str
    source: Endpoint
    target: Endpoint
    room: Room | None
    expiry_ms: int
    handle: str = ""
    may_exist: bool = False
    _calls: int = 0
    _is_idle: anyio.Event = attrs.field(factory=anyio.Event)

    def begin_call(self) -> None:
        """Notes that a call about it is under way."""
        self._calls += 1

    def end_call(self) -> None:
        """Notes that the call has ended."""
        self._calls -= 1
        if not self._calls:
            self._is_idle.set()
            self._is_idle = anyio.Event()

    async def wait_idle(self) -> None:
        """Waits until no call about it is under way."""
        if self._calls:
            await self._is_idle.wait()


class CopyKeeper:
    """Has copies made, and frees them.

    Args:
        calls: Calls engines.
        clock: The source of time.
    """

    def __init__(self, calls: EngineCalls, clock: Clock) -> None:
        self._calls = calls
        self._clock = clock
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Carries calls on whose runs have ended, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def renew(
        self, copy: RunCopy, is_last: bool, relayed: int
    ) -> MoveResult:
        """Makes a copy, or brings it up to date.

        Args:
            copy: The copy.
            is_last: Whether the run is stopped first.
            relayed: Events that the caller has, for the log.

        Returns:
            The engine's answer. The call goes on if the caller is cancelled.
        """
        assert self._tasks is not None
        found: list[MoveResult] = []
        copy.begin_call()
        self._tasks.start_soon(self._call, copy, is_last, relayed, found)
        await copy.wait_idle()
        return found[0] if found else MoveResult(MoveState.FAILED)

    def drop(self, copy: RunCopy) -> None:
        """Frees a copy that nobody needs; its room is counted until then."""
        assert self._tasks is not None
        self._tasks.start_soon(self._free, copy)

    async def _call(
        self,
        copy: RunCopy,
        is_last: bool,
        relayed: int,
        found: list[MoveResult],
    ) -> None:
        started = self._clock.now()
        try:
            result = await self._calls.move(
                copy.source.address,
                copy.request_id,
                copy.target.address,
                is_last,
            )
            copy.handle = result.handle or copy.handle
            if result.state in (MoveState.COPIED, MoveState.FAILED):
                copy.may_exist = True
            found.append(result)
        finally:
            copy.end_call()
        statistics.MOVES.labels(
            "stop" if is_last else "copy", result.state
        ).inc()
        events.MOVED.log(
            request=copy.request_id,
            source=copy.source.id,
            target=copy.target.id,
            last=is_last,
            state=result.state,
            took_ms=self._clock.now() - started,
            events=result.events,
            relayed=relayed,
        )

    async def _free(self, copy: RunCopy) -> None:
        await copy.wait_idle()
        is_free = not copy.may_exist
        if copy.handle:
            is_free = await self._free_anywhere(copy)
            events.COPY_DROPPED.log(
                request=copy.request_id,
                source=copy.source.id,
                target=copy.target.id,
                freed=is_free,
            )
        if copy.room is None:
            return
        if not is_free:
            # Where a call was cut, the part that arrived stays for a while.
            await self._clock.sleep(int(EXPIRY_FACTOR * copy.expiry_ms))
        copy.room.release()

    async def _free_anywhere(self, copy: RunCopy) -> bool:
        """Frees a copy at its source, or where it is if that is gone."""
        at_source = await self._calls.free_copy(
            copy.source.address, copy.handle
        )
        if at_source is FreeState.FREED:
            return True
        at_target = await self._calls.free_copy(
            copy.target.address, copy.handle
        )
        return at_target is not FreeState.FAILED
