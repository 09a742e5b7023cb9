"""How long a request would wait, from what the running ones get done."""

import math

from rhubarbwinch.shared.clock import Clock

START_WINDOW_MS = 20_000.0
MIN_RATE_PER_MS = 1e-6
RUN_MEMORY = 50


class StartRate:
    """The tokens a millisecond that requests start with, old ones for less.

    Args:
        clock: The source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._at_ms = clock.now()
        self._idle_ms = clock.now()
        self._sum = 0.0

    @property
    def is_full(self) -> bool:
        """Whether requests waited all the while that the rate covers."""
        return self._clock.now() - self._idle_ms >= START_WINDOW_MS

    @property
    def per_ms(self) -> float:
        """The rate."""
        self._fade()
        return self._sum / START_WINDOW_MS

    def note_idle(self) -> None:
        """Notes that nothing waits."""
        self._idle_ms = self._clock.now()

    def note_start(self, tokens: float) -> None:
        """Counts a request that starts."""
        self._fade()
        self._sum += tokens

    def _fade(self) -> None:
        now = self._clock.now()
        self._sum *= math.exp((self._at_ms - now) / START_WINDOW_MS)
        self._at_ms = now


class ServiceRate:
    """The tokens a millisecond that the requests of a class are served.

    In the long run as much starts as is served. While engines still fill up
    less starts, so the slower of the two rates counts. Generations are served
    a token each step; requests without steps over their usual time.

    Args:
        clock: The source of time.

    Attributes:
        step_ms: The engines' step time; 0 while it is not known.
        starts: The rate of starts.
    """

    def __init__(self, clock: Clock) -> None:
        self.starts = StartRate(clock)
        self.step_ms = 0.0
        self._mean_run_ms = 0.0
        self._running_tokens = 0.0
        self._tokens_per_step = 0.0

    def note_start(self, tokens: float, steps: float) -> None:
        """Counts a request of `tokens`, its prompt included, in `steps`."""
        self.starts.note_start(tokens)
        self._running_tokens += tokens
        self._tokens_per_step += tokens / max(1.0, steps)

    def note_end(self, tokens: float, steps: float, run_ms: float) -> None:
        """Counts the end of a request that was noted so at its start."""
        self._running_tokens -= tokens
        self._tokens_per_step -= tokens / max(1.0, steps)
        if not self._mean_run_ms:
            self._mean_run_ms = run_ms
        self._mean_run_ms += (run_ms - self._mean_run_ms) / RUN_MEMORY

    def wait_ms(self, ahead: float) -> float:
        """Returns the expected wait behind `ahead` tokens; 0 if unknown."""
        if self.step_ms:
            rate = self._tokens_per_step / self.step_ms
        elif self._mean_run_ms:
            rate = self._running_tokens / self._mean_run_ms
        else:
            return 0.0
        if self.starts.is_full:
            rate = min(rate, self.starts.per_ms)
        return ahead / max(rate, MIN_RATE_PER_MS)
