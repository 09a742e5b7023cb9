"""Writes log lines to a descriptor without blocking."""

import os
from collections.abc import Callable

from rhubarbwinch.shared.clock import Clock

# The limit of lines of one event in each window. It suffices for the requests
# of a busy VM and bounds the output of an error in a loop.
MAX_LINES_PER_WINDOW = 400
WINDOW_MS = 1_000


class LineOutput:
    """A rate-limited, non-blocking output of log lines.

    A line over the limit, or one that the reader has no space for, is dropped.

    Args:
        descriptor: The output's descriptor; it is set to non-blocking mode.
        clock: The source of time.
        on_dropped: Called for each dropped line.
    """

    def __init__(
        self, descriptor: int, clock: Clock, on_dropped: Callable[[], None]
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._on_dropped = on_dropped
        self._window = 0
        self._counts: dict[int, int] = {}
        self._unwritten = b""
        self._dropped_count = 0

    def pop_dropped_count(self) -> int:
        """Returns how many lines were dropped since the last call."""
        dropped, self._dropped_count = self._dropped_count, 0
        return dropped

    def write(self, number: int, line: bytes) -> None:
        """Writes a line, or drops it.

        Args:
            number: The number of the line's event, which has its own limit.
            line: The line with its line break.
        """
        window = self._clock.now() // WINDOW_MS
        if window != self._window:
            self._window = window
            self._counts.clear()
        count = self._counts.get(number, 0) + 1
        self._counts[number] = count
        if count > MAX_LINES_PER_WINDOW or not self._flush():
            self._drop()
            return
        self._unwritten = line
        self._flush()

    def _flush(self) -> bool:
        """Writes the rest of a line; returns False if some of it remains."""
        if not self._unwritten:
            return True
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            # The rest is written before the next line.
            return False
        self._unwritten = self._unwritten[written:]
        return not self._unwritten

    def _drop(self) -> None:
        self._dropped_count += 1
        self._on_dropped()
