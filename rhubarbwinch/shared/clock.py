"""Clocks in whole milliseconds: the system's, and a manual one for tests."""

import heapq
import itertools
import time
from typing import Protocol

import anyio
import anyio.lowlevel

_CHECKPOINTS = 30


class Clock(Protocol):
    """A source of time in milliseconds.

    `now` is monotonic; its values are comparable only with each other. `wall`
    is the Unix time and is comparable with times of other machines.
    """

    def now(self) -> int:
        """Returns monotonic milliseconds."""
        ...

    def wall(self) -> int:
        """Returns Unix time in milliseconds."""
        ...

    async def sleep(self, ms: int) -> None:
        """Waits for `ms` milliseconds of this clock."""
        ...


class SystemClock:
    """The system's monotonic clock and wall clock."""

    def now(self) -> int:
        """Returns monotonic milliseconds."""
        return time.monotonic_ns() // 1_000_000

    def wall(self) -> int:
        """Returns Unix time in milliseconds."""
        return time.time_ns() // 1_000_000

    async def sleep(self, ms: int) -> None:
        """Waits for `ms` milliseconds."""
        await anyio.sleep(ms / 1000)


class ManualClock:
    """A clock that moves only by calls of `set` and `advance`.

    Args:
        start_ms: The first value of `now`.
        wall_offset_ms: How far `wall` is ahead of `now`.
    """

    def __init__(
        self, start_ms: int = 0, wall_offset_ms: int = 1_700_000_000_000
    ) -> None:
        self._now_ms = start_ms
        self._wall_offset_ms = wall_offset_ms
        self._sequence = itertools.count()
        self._sleepers: list[tuple[int, int, anyio.Event]] = []

    def now(self) -> int:
        """Returns the current time of this clock."""
        return self._now_ms

    def wall(self) -> int:
        """Returns the current time of this clock as Unix time."""
        return self._now_ms + self._wall_offset_ms

    async def sleep(self, ms: int) -> None:
        """Waits until `advance` has moved the clock by `ms` milliseconds."""
        if ms <= 0:
            await anyio.lowlevel.checkpoint()
            return
        event = anyio.Event()
        due_ms = self._now_ms + ms
        heapq.heappush(self._sleepers, (due_ms, next(self._sequence), event))
        await event.wait()

    def set(self, now_ms: int) -> None:
        """Sets the clock without waking sleepers; for code without tasks."""
        self._now_ms = now_ms

    async def advance(self, ms: int) -> None:
        """Advances the clock and wakes each sleeper at its due time."""
        end = self._now_ms + ms
        await _run_until_blocked()
        while self._sleepers and self._sleepers[0][0] <= end:
            self._now_ms = max(self._now_ms, self._sleepers[0][0])
            while self._sleepers and self._sleepers[0][0] <= self._now_ms:
                heapq.heappop(self._sleepers)[2].set()
            await _run_until_blocked()
        self._now_ms = end
        await _run_until_blocked()


async def _run_until_blocked() -> None:
    """Runs all tasks until each of them is blocked."""
    # wait_all_tasks_blocked sleeps in real time if it finds a task that is not
    # blocked. After some turns of the event loop all tasks usually are.
    for _ in range(_CHECKPOINTS):
        await anyio.lowlevel.checkpoint()
    await anyio.wait_all_tasks_blocked()
