"""Migrated copies of KV caches at other engines: made, refreshed and freed.

When engines leave one after another, most copied runs finish before their
engine ends. A copy that is neither used nor freed occupies KV cache and a slot
of the target for seconds, so engines look free while they are full. A call that
makes a copy is not cancelled when its run ends, because the copy can be freed
only by the handle in the response.
"""

import anyio
import anyio.abc
import attrs

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.loads import Reservation
from rhubarbwinch.gateway.platforminterface import (
    CopyResult,
    EngineCalls,
    FreeState,
    MoveState,
)
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock

# Engines keep an unused copy for longer than the announced expiry time: up to
# this multiple of the time.
EXPIRY_FACTOR = 1.5


@attrs.define(eq=False)
class MigratedCopy:
    """A copy of a run's KV cache at another engine.

    Attributes:
        request_id: The caller's id of the request attempt.
        source: The engine that executes the run.
        target: The engine that stores the copy.
        reservation: The reservation for the copy at the target, or None.
        expiry_ms: How long engines keep a copy that is not used.
        handle: The name of the copy at the source; empty before the first
            response.
        may_exist: Whether a call has made the copy, or may have made it.
    """

    request_id: str
    source: Endpoint
    target: Endpoint
    reservation: Reservation | None
    expiry_ms: int
    handle: str = ""
    may_exist: bool = False
    _open_calls: int = 0
    _is_idle: anyio.Event = attrs.field(factory=anyio.Event)

    def begin_call(self) -> None:
        """Records that a call about the copy is in flight."""
        self._open_calls += 1

    def end_call(self) -> None:
        """Records that a call about the copy has ended."""
        self._open_calls -= 1
        if not self._open_calls:
            self._is_idle.set()
            self._is_idle = anyio.Event()

    async def wait_idle(self) -> None:
        """Waits until no call about the copy is in flight."""
        if self._open_calls:
            await self._is_idle.wait()


class CopyManager:
    """Makes, refreshes and frees copies of KV caches at engines.

    Args:
        calls: The calls to engines.
        clock: The source of time.
    """

    def __init__(self, calls: EngineCalls, clock: Clock) -> None:
        self._calls = calls
        self._clock = clock
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Runs the calls to engines, which may outlive their runs."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def refresh(
        self, copy: MigratedCopy, stop_first: bool, relayed: int
    ) -> CopyResult:
        """Makes a copy, or updates an existing one.

        The call to the engine continues if this method is cancelled.

        Args:
            copy: The copy.
            stop_first: Whether the engine stops the run before it copies.
            relayed: Number of events sent to the caller, for the log.

        Returns:
            The engine's reply.
        """
        assert self._tasks is not None
        results: list[CopyResult] = []
        copy.begin_call()
        self._tasks.start_soon(self._call, copy, stop_first, relayed, results)
        await copy.wait_idle()
        return results[0] if results else CopyResult(MoveState.FAILED)

    def free(self, copy: MigratedCopy) -> None:
        """Frees a copy and then releases its reservation, in the background."""
        assert self._tasks is not None
        self._tasks.start_soon(self._free, copy)

    async def _call(
        self,
        copy: MigratedCopy,
        stop_first: bool,
        relayed: int,
        results: list[CopyResult],
    ) -> None:
        started_ms = self._clock.now()
        try:
            result = await self._calls.copy_run(
                copy.source.address,
                copy.request_id,
                copy.target.address,
                stop_first,
            )
            copy.handle = result.handle or copy.handle
            if result.state in (MoveState.COPIED, MoveState.FAILED):
                copy.may_exist = True
            results.append(result)
        finally:
            copy.end_call()
        gatewaymetrics.CONTINUATIONS.labels(
            "stop" if stop_first else "copy", result.state
        ).inc()
        events.MOVED.log(
            request=copy.request_id,
            source=copy.source.id,
            target=copy.target.id,
            last=stop_first,
            state=result.state,
            took_ms=self._clock.now() - started_ms,
            events=result.events,
            relayed=relayed,
        )

    async def _free(self, copy: MigratedCopy) -> None:
        await copy.wait_idle()
        is_freed = not copy.may_exist
        if copy.handle:
            is_freed = await self._free_anywhere(copy)
            events.COPY_DROPPED.log(
                request=copy.request_id,
                source=copy.source.id,
                target=copy.target.id,
                freed=is_freed,
            )
        if copy.reservation is None:
            return
        if not is_freed:
            # After a broken call the target keeps the received part of the copy
            # until the expiry time.
            await self._clock.sleep(int(EXPIRY_FACTOR * copy.expiry_ms))
        copy.reservation.release()

    async def _free_anywhere(self, copy: MigratedCopy) -> bool:
        """Frees a copy at its source, or at its target if that fails."""
        at_source = await self._calls.free_copy(
            copy.source.address, copy.handle
        )
        if at_source is FreeState.FREED:
            return True
        at_target = await self._calls.free_copy(
            copy.target.address, copy.handle
        )
        return at_target is not FreeState.FAILED
