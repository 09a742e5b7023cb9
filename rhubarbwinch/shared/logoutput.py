"""Writes log lines to a descriptor without ever waiting for its reader."""

import os
from collections.abc import Callable

from rhubarbwinch.shared.clock import Clock

# Lines of one event in each window; enough for each request of a busy VM, and
# a bound on what a fault in a loop can write.
LINES_PER_WINDOW = 400
WINDOW_MS = 1_000


class LineOutput:
    """A bounded output of log lines.

    Args:
        descriptor: Where lines go; it is set to not block.
        clock: The source of time.
        on_dropped: Told of each line that was left out.
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
        self._rest = b""
        self._dropped = 0

    def take_dropped(self) -> int:
        """Returns how many lines were left out since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def write(self, number: int, line: bytes) -> None:
        """Writes a line of an event, or leaves it out."""
        window = self._clock.now() // WINDOW_MS
        if window != self._window:
            self._window = window
            self._counts.clear()
        count = self._counts.get(number, 0) + 1
        self._counts[number] = count
        if count > LINES_PER_WINDOW or not self._flush():
            self._drop()
            return
        self._rest = line
        self._flush()

    def _flush(self) -> bool:
        """Writes what is left of a line; False if the reader is behind."""
        if not self._rest:
            return True
        try:
            written = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            # The rest goes out with a later line.
            return False
        self._rest = self._rest[written:]
        return not self._rest

    def _drop(self) -> None:
        self._dropped += 1
        self._on_dropped()
