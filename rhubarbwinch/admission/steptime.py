"""Predicts the step time of a pool's engines from their load reports."""

MIN_REPORTS = 30
FORGETTING = 0.9995
UPPER_SHARE = 0.98
QUANTILE_STEP_MS = 0.05
START_UNCERTAINTY = 1000.0
_SIZE = 3


class StepTime:
    """A linear model of the step time by batch size and resident tokens.

    The model is fitted by recursive least squares with a forgetting factor.
    An upper quantile of its residuals, caused mostly by prefills, is tracked
    separately and added to predictions.
    """

    def __init__(self) -> None:
        self._slopes = [0.0] * _SIZE
        self._covariance = [
            [START_UNCERTAINTY if i == j else 0.0 for j in range(_SIZE)]
            for i in range(_SIZE)
        ]
        self._excess_ms = 0.0
        self._reports = 0

    @property
    def is_learned(self) -> bool:
        """Whether there were enough reports for a prediction."""
        return self._reports >= MIN_REPORTS

    def observe(self, running: int, used_tokens: int, step_ms: float) -> None:
        """Learns from a reported step."""
        x = (1.0, float(running), used_tokens / 1000)
        p = self._covariance
        px = [sum(p[i][j] * x[j] for j in range(_SIZE)) for i in range(_SIZE)]
        scale = FORGETTING + sum(x[i] * px[i] for i in range(_SIZE))
        error = step_ms - self._line(running, used_tokens)
        for i in range(_SIZE):
            self._slopes[i] += px[i] / scale * error
        for i in range(_SIZE):
            for j in range(_SIZE):
                p[i][j] = (p[i][j] - px[i] * px[j] / scale) / FORGETTING
        above = error > self._excess_ms
        share = UPPER_SHARE if above else UPPER_SHARE - 1
        self._excess_ms = max(0.0, self._excess_ms + QUANTILE_STEP_MS * share)
        self._reports += 1

    def predict(self, running: int, used_tokens: float) -> float:
        """Returns the step time, in ms, that 49 of 50 steps don't exceed."""
        return self._line(running, used_tokens) + self._excess_ms

    def _line(self, running: int, used_tokens: float) -> float:
        base, batch, resident = self._slopes
        return base + batch * running + resident * used_tokens / 1000
