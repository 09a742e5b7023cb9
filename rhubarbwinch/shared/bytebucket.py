"""A token bucket that limits bytes per second and allows bursts."""

from rhubarbwinch.shared.clock import Clock


class ByteTokenBucket:
    """A token bucket of bytes.

    Args:
        clock: The source of time.
        bytes_per_s: The refill rate.
        burst: The capacity of the bucket, in bytes.
    """

    def __init__(self, clock: Clock, bytes_per_s: int, burst: int) -> None:
        self._clock = clock
        self._rate = bytes_per_s
        self._burst = burst
        self._available = burst
        self._refilled_ms = clock.now()

    @property
    def available(self) -> int:
        """The bytes that may be spent now."""
        now = self._clock.now()
        refill = (now - self._refilled_ms) * self._rate // 1000
        if refill:
            self._refilled_ms = now
            self._available = min(self._burst, self._available + refill)
        return self._available

    def consume(self, count: int) -> None:
        """Removes bytes from the bucket; it never holds less than 0."""
        self._available = max(0, self.available - count)
