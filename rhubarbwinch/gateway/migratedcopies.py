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
# A live engine stops a run before it copies, and refuses at once if it does not
# stop it. A call to stop that is unanswered for this time is taken as accepted.
STOP_ANSWER_MS = 40
# Interval of the calls to an engine that has not stopped a run.
STOP_RETRY_MS = 100
# Longer than the time limit of the calls that keep an engine busy.
STOP_LIMIT_MS = 3_500
# A call to stop that fails may not have been received. An engine that fails
# this many is taken as gone.
MAX_FAILED_STOPS = 3


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


@attrs.define(eq=False)
class _PendingCall:
    """A call about a run to the engine that executes it.

    Attributes:
        ended: Set when the call has ended.
        result: The engine's reply, once the call has ended.
    """

    ended: anyio.Event = attrs.field(factory=anyio.Event)
    result: CopyResult = attrs.field(
        factory=lambda: CopyResult(MoveState.FAILED)
    )


@attrs.define(eq=False)
class _StopOutcome:
    """Whether an engine has stopped a run.

    Attributes:
        settled: Set when `is_stopped` is known.
        is_stopped: Whether the engine has stopped the run or is gone.
    """

    settled: anyio.Event = attrs.field(factory=anyio.Event)
    is_stopped: bool = False

    def settle(self, is_stopped: bool) -> None:
        """Sets the outcome if it is not known yet."""
        if not self.settled.is_set():
            self.is_stopped = is_stopped
            self.settled.set()


def _may_execute(state: MoveState, failed: int) -> bool:
    """Returns whether an engine may execute a run after a call to stop it.

    Args:
        state: How the call ended.
        failed: The number of such calls that failed.
    """
    if state is MoveState.FAILED:
        return failed < MAX_FAILED_STOPS
    return state is MoveState.BUSY


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
        self._pending: dict[str, list[_PendingCall]] = {}

    async def run(self) -> None:
        """Runs the calls to engines, which may outlive their runs."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def refresh(self, copy: MigratedCopy, relayed: int) -> CopyResult:
        """Makes a copy, or updates an existing one.

        The call to the engine continues if this method is cancelled.

        Args:
            copy: The copy.
            relayed: Number of events sent to the caller, for the log.

        Returns:
            The engine's reply.
        """
        call = self._start_call(copy, False, relayed)
        await call.ended.wait()
        return call.result

    async def stop(self, copy: MigratedCopy, relayed: int) -> bool:
        """Has an engine stop a run and copy its KV cache.

        The calls to the engine continue if this method is cancelled.

        Args:
            copy: The copy to make of the stopped run.
            relayed: Number of events sent to the caller, for the log.

        Returns:
            False if the engine still executes the run at the end of
            `STOP_LIMIT_MS`.
        """
        assert self._tasks is not None
        outcome = _StopOutcome()
        copy.begin_call()
        self._tasks.start_soon(self._stop, copy, relayed, outcome)
        await outcome.settled.wait()
        return outcome.is_stopped

    async def _stop(
        self, copy: MigratedCopy, relayed: int, outcome: _StopOutcome
    ) -> None:
        """Calls an engine until it has stopped a run."""
        started_ms = self._clock.now()
        failed = 0
        try:
            while True:
                call = self._start_call(copy, True, relayed)
                with anyio.move_on_after(STOP_ANSWER_MS / 1000) as scope:
                    await call.ended.wait()
                if scope.cancelled_caught:
                    # The run may resume. If the engine refuses the call after
                    # all, it is called again.
                    outcome.settle(True)
                    await call.ended.wait()
                state = call.result.state
                failed += state is MoveState.FAILED
                if not _may_execute(state, failed):
                    outcome.settle(True)
                    return
                if self._clock.now() - started_ms >= STOP_LIMIT_MS:
                    events.RUN_NOT_STOPPED.log(
                        request=copy.request_id,
                        endpoint=copy.source.id,
                        state=state,
                        resumed=outcome.is_stopped,
                    )
                    outcome.settle(False)
                    return
                await self._wait_before_retry(copy.request_id)
        finally:
            copy.end_call()

    async def _wait_before_retry(self, request_id: str) -> None:
        """Waits for the other calls about a run, or for the retry interval."""
        pending = self._pending.get(request_id)
        if pending:
            await pending[0].ended.wait()
        else:
            await self._clock.sleep(STOP_RETRY_MS)

    def free(self, copy: MigratedCopy) -> None:
        """Frees a copy and then releases its reservation, in the background."""
        assert self._tasks is not None
        self._tasks.start_soon(self._free, copy)

    def _start_call(
        self, copy: MigratedCopy, stop_first: bool, relayed: int
    ) -> _PendingCall:
        """Starts a call to the engine that executes a run."""
        assert self._tasks is not None
        call = _PendingCall()
        copy.begin_call()
        self._pending.setdefault(copy.request_id, []).append(call)
        self._tasks.start_soon(self._call, copy, stop_first, relayed, call)
        return call

    def _end_call(self, copy: MigratedCopy, call: _PendingCall) -> None:
        pending = self._pending[copy.request_id]
        pending.remove(call)
        if not pending:
            del self._pending[copy.request_id]
        call.ended.set()
        copy.end_call()

    async def _call(
        self,
        copy: MigratedCopy,
        stop_first: bool,
        relayed: int,
        call: _PendingCall,
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
            call.result = result
        finally:
            self._end_call(copy, call)
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
