"""Time in whole milliseconds, from the system or set by hand."""

import heapq
import itertools
import time
from typing import Protocol

import anyio
import anyio.lowlevel

_SETTLE_TURNS = 30


class Clock(Protocol):
    """A source of time in milliseconds.

    `now` never goes back and is compared only with itself. `wall` is the Unix
    time and is compared with times of other machines.
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
    """The machine's clock."""

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
    """A clock that moves only when told to.

    Args:
        start_ms: The first value of `now`.
        wall_offset_ms: What `wall` is ahead of `now`.
    """

    def __init__(
        self, start_ms: int = 0, wall_offset_ms: int = 1_700_000_000_000
    ) -> None:
        self._now = start_ms
        self._wall_offset = wall_offset_ms
        self._order = itertools.count()
        self._sleepers: list[tuple[int, int, anyio.Event]] = []

    def now(self) -> int:
        """Returns the time that was set."""
        return self._now

    def wall(self) -> int:
        """Returns the time that was set, as Unix time."""
        return self._now + self._wall_offset

    async def sleep(self, ms: int) -> None:
        """Waits until `advance` has moved the clock `ms` milliseconds on."""
        if ms <= 0:
            await anyio.lowlevel.checkpoint()
            return
        event = anyio.Event()
        due = self._now + ms
        heapq.heappush(self._sleepers, (due, next(self._order), event))
        await event.wait()

    def set(self, now_ms: int) -> None:
        """Moves the clock without waking sleepers; for code without tasks."""
        self._now = now_ms

    async def advance(self, ms: int) -> None:
        """Moves the clock on, waking each sleeper at its own time."""
        end = self._now + ms
        await _settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            self._now = max(self._now, self._sleepers[0][0])
            while self._sleepers and self._sleepers[0][0] <= self._now:
                heapq.heappop(self._sleepers)[2].set()
            await _settle()
        self._now = end
        await _settle()


async def _settle() -> None:
    """Lets all tasks run until each of them waits for something."""
    # The wait for blocked tasks sleeps for real when it finds one that is not;
    # after some turns of the event loop there is none as a rule.
    for _ in range(_SETTLE_TURNS):
        await anyio.lowlevel.checkpoint()
    await anyio.wait_all_tasks_blocked()
