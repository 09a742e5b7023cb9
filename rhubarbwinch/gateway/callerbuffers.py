"""Counts the bytes buffered for callers and disconnects those that stall."""

from typing import Protocol

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.decisions.bufferlimits import BufferLimits, CallerUse
from rhubarbwinch.http.buffercount import BufferCount
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock

TICK_MS = 100
# Over the bound, callers are compared at most this often, since that takes a
# system call for each caller that reads slowly.
MIN_CHECK_INTERVAL_MS = 20
# Failures are sent at the deadline, so a caller gets this time to take them.
DEADLINE_GRACE_MS = 100


class CallerConnection(Protocol):
    """A connection of a caller, as far as its buffers are concerned."""

    @property
    def waiting_bytes(self) -> int:
        """Bytes in its write buffer."""
        ...

    def pending_bytes(self) -> int:
        """Returns the written bytes that the caller has not acknowledged."""
        ...

    def reset(self) -> None:
        """Closes the connection by a reset and drops its write buffer."""
        ...


class CallerBuffers:
    """Counts the bytes that all servers of a gateway buffer for callers.

    Args:
        memory_mb: The limit on the process's memory.
        count: The count that the connections to endpoints share.
        clock: The source of time.
    """

    def __init__(
        self, memory_mb: int, count: BufferCount, clock: Clock
    ) -> None:
        self._count = count
        self._clock = clock
        self._body_bytes = 0
        self._slow: dict[CallerUse, CallerConnection] = {}
        self._closing: set[CallerUse] = set()
        self._next_check_ms = 0
        self.limits = BufferLimits(memory_mb)
        self.configure(memory_mb)
        count.on_full = self.check

    @property
    def held_bytes(self) -> int:
        """Bytes that are buffered for all callers."""
        return self._count.bytes

    def configure(self, memory_mb: int) -> None:
        """Applies a changed limit on the process's memory."""
        self.limits = BufferLimits(memory_mb)
        self._count.limit_bytes = self.limits.total_bytes
        self._count.stream_bytes = self.limits.stream_bytes

    def admits_body(self, more_bytes: int) -> bool:
        """Returns whether a further request body may be buffered."""
        return self.limits.admits_body(
            self._count.bytes, self._body_bytes, more_bytes
        )

    def add_body(self, use: CallerUse, more_bytes: int) -> None:
        """Counts bytes of a request body."""
        use.request_bytes += more_bytes
        self._body_bytes += more_bytes
        self._count.bytes += more_bytes

    def release_body(self, use: CallerUse) -> None:
        """Ends the count of a request body."""
        self._body_bytes -= use.request_bytes
        self._count.bytes -= use.request_bytes
        use.request_bytes = 0

    def record_write(
        self,
        use: CallerUse,
        connection: CallerConnection,
        written_bytes: int,
        waiting_bytes: int,
    ) -> None:
        """Counts what a write to a slow caller has left in its write buffer."""
        if use not in self._slow:
            self._slow[use] = connection
            use.unread_since_ms = self._clock.now()
            use.written_bytes = connection.pending_bytes()
            use.taken_bytes = 0
        else:
            use.written_bytes += written_bytes
        self.record_waiting(use, waiting_bytes)
        if self._count.bytes > self._count.limit_bytes:
            self.check()

    def record_waiting(self, use: CallerUse, waiting_bytes: int) -> None:
        """Counts the bytes in the write buffer of a caller's connection."""
        self._count.bytes += waiting_bytes - use.response_bytes
        use.response_bytes = waiting_bytes
        if not waiting_bytes:
            self._slow.pop(use, None)

    def handle_released(self, use: CallerUse) -> None:
        """Ends the count of a connection that is closed and served no more."""
        self._closing.discard(use)
        if self._count.bytes > self._count.limit_bytes:
            self._next_check_ms = 0
            self.check()

    def check(self) -> None:
        """Ends responses or disconnects the caller that the bound requires.

        One caller is disconnected at a time. What is buffered of its endpoint's
        response is released only when its task has ended.
        """
        now = self._clock.now()
        if self._end_responses() <= self._count.limit_bytes:
            return
        if self._closing or now < self._next_check_ms:
            return
        self._next_check_ms = now + MIN_CHECK_INTERVAL_MS
        self._refresh(now)
        use = self.limits.choose_caller(self._slow, self._count.bytes, now)
        if use is not None:
            self._disconnect(use, now, "memory")

    def _end_responses(self) -> int:
        """Ends the responses that the bound requires.

        Returns:
            The bytes that are buffered besides those of ended responses, which
            are released when their tasks have ended.
        """
        held = self._count.held
        ended_bytes = sum(r.bytes for r in held if r.is_failed)
        chosen = self.limits.choose_responses(
            [r for r in held if not r.is_failed],
            self._count.bytes - ended_bytes,
        )
        for response in chosen:
            events.RESPONSE_ENDED.log(
                response_bytes=response.bytes,
                held_bytes=self._count.bytes,
                limit_bytes=self._count.limit_bytes,
            )
            gatewaymetrics.RESPONSES_ENDED.inc()
            ended_bytes += response.bytes
            response.is_failed = True
            response.fail("no memory for the response")
        return self._count.bytes - ended_bytes

    async def run(self) -> None:
        """Checks the callers periodically."""
        while True:
            await self._clock.sleep(TICK_MS)
            now = self._clock.now()
            self._refresh(now)
            for use in list(self._slow):
                if (
                    use.deadline_ms is not None
                    and now > use.deadline_ms + DEADLINE_GRACE_MS
                ):
                    self._disconnect(use, now, "deadline")
            self.check()
            gatewaymetrics.BUFFERED_BYTES.set(self._count.bytes)

    def _refresh(self, now_ms: int) -> None:
        for use, connection in list(self._slow.items()):
            use.record_pending(connection.pending_bytes(), now_ms)
            self.record_waiting(use, connection.waiting_bytes)

    def _disconnect(self, use: CallerUse, now_ms: int, reason: str) -> None:
        connection = self._slow.pop(use)
        events.SLOW_CALLER_CUT.log(
            reason=reason,
            unread_ms=now_ms - use.unread_since_ms,
            waiting_bytes=use.response_bytes,
            held_bytes=self._count.bytes,
            limit_bytes=self._count.limit_bytes,
        )
        gatewaymetrics.SLOW_CALLERS_CUT.labels(reason).inc()
        self._closing.add(use)
        connection.reset()
