"""A token bucket that limits bytes per second and allows bursts."""

from rhubarbwinch.shared.clock import Clock


class ByteBudget:
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
        self._left = burst
        self._at = clock.now()

    @property
    def left(self) -> int:
        """The bytes that may be spent now."""
        now = self._clock.now()
        earned = (now - self._at) * self._rate // 1000
        if earned:
            self._at = now
            self._left = min(self._burst, self._left + earned)
        return self._left

    def spend(self, count: int) -> None:
        """Removes bytes from the bucket; it never holds less than 0."""
        self._left = max(0, self.left - count)
