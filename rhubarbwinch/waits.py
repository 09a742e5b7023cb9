"""How long a request would wait, from the rate at which others start."""

from rhubarbwinch.clock import Clock

WINDOW_MS = 10_000.0
MIN_RATE_PER_MS = 1e-6


class StartRate:
    """The rate at which the requests of a class start.

    Two signs are at hand: recent starts, which are too few while nothing
    waits, and running streams over their usual time.

    Args:
        clock: The source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._per_ms = 0.0
        self._at_ms = clock.now()
        self._mean_run_ms = 0.0
        self.running = 0

    def note_start(self) -> None:
        """Counts a request that starts."""
        self._fade()
        self._per_ms += 1 / WINDOW_MS
        self.running += 1

    def note_end(self, run_ms: float) -> None:
        """Counts a request that ended after `run_ms`."""
        self.running -= 1
        if not self._mean_run_ms:
            self._mean_run_ms = run_ms
        self._mean_run_ms += (run_ms - self._mean_run_ms) / 50

    def wait_ms(self, ahead: float) -> float:
        """Returns the expected wait behind `ahead` requests."""
        self._fade()
        rate = self._per_ms
        if self._mean_run_ms:
            rate = max(rate, self.running / self._mean_run_ms)
        return ahead / max(rate, MIN_RATE_PER_MS)

    def _fade(self) -> None:
        now = self._clock.now()
        gone = min(1.0, (now - self._at_ms) / WINDOW_MS)
        self._per_ms *= 1 - gone
        self._at_ms = now
