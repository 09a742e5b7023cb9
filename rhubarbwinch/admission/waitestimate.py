"""Estimates queue waits from the rate at which requests are served."""

import math

from rhubarbwinch.shared.clock import Clock

START_WINDOW_MS = 20_000.0
MIN_TOKENS_PER_MS = 1e-6
RUN_AVERAGE_COUNT = 50


class StartRate:
    """The tokens per ms of the requests that start, exponentially decayed.

    Args:
        clock: The source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._decayed_ms = clock.now()
        self._last_empty_ms = clock.now()
        self._window_tokens = 0.0

    @property
    def covers_window(self) -> bool:
        """Whether the queue was never empty in the window of the rate."""
        return self._clock.now() - self._last_empty_ms >= START_WINDOW_MS

    @property
    def tokens_per_ms(self) -> float:
        """The rate, in tokens per ms."""
        self._decay()
        return self._window_tokens / START_WINDOW_MS

    def record_empty(self) -> None:
        """Records that the queue was empty."""
        self._last_empty_ms = self._clock.now()

    def record_start(self, tokens: float) -> None:
        """Records the start of a request."""
        self._decay()
        self._window_tokens += tokens

    def _decay(self) -> None:
        now = self._clock.now()
        self._window_tokens *= math.exp(
            (self._decayed_ms - now) / START_WINDOW_MS
        )
        self._decayed_ms = now


class ServiceRate:
    """The rate, in tokens per ms, at which a class's requests are served.

    In the long run requests start at the rate at which they are served. While
    engines fill up they start more slowly, so the lower of the two rates is
    used. A generation is served one token per step. Requests without steps
    are assumed to be served evenly over the mean run time.

    Args:
        clock: The source of time.

    Attributes:
        step_ms: The engines' step time; 0 if unknown.
        starts: The rate at which requests start.
    """

    def __init__(self, clock: Clock) -> None:
        self.starts = StartRate(clock)
        self.step_ms = 0.0
        self._mean_run_ms = 0.0
        self._running_tokens = 0.0
        self._tokens_per_step = 0.0

    def record_start(self, tokens: float, steps: float) -> None:
        """Records the start of a request.

        Args:
            tokens: The expected tokens of the prompt and the output.
            steps: The expected number of decode steps.
        """
        self.starts.record_start(tokens)
        self._running_tokens += tokens
        self._tokens_per_step += tokens / max(1.0, steps)

    def record_end(self, tokens: float, steps: float, run_ms: float) -> None:
        """Records the end of a request.

        Args:
            tokens: The value given at the start.
            steps: The value given at the start.
            run_ms: The time from start to end.
        """
        self._running_tokens -= tokens
        self._tokens_per_step -= tokens / max(1.0, steps)
        if not self._mean_run_ms:
            self._mean_run_ms = run_ms
        self._mean_run_ms += (run_ms - self._mean_run_ms) / RUN_AVERAGE_COUNT

    def wait_ms(self, tokens_ahead: float) -> float:
        """Returns the wait behind `tokens_ahead` tokens, or 0 if unknown."""
        if self.step_ms:
            rate = self._tokens_per_step / self.step_ms
        elif self._mean_run_ms:
            rate = self._running_tokens / self._mean_run_ms
        else:
            return 0.0
        if self.starts.covers_window:
            rate = min(rate, self.starts.tokens_per_ms)
        return tokens_ahead / max(rate, MIN_TOKENS_PER_MS)
