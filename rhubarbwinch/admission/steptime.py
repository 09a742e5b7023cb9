"""Predicts the step time of a pool's engines from their load reports."""

MIN_REPORTS = 30
FORGETTING_FACTOR = 0.9995
EXCESS_QUANTILE = 0.98
EXCESS_STEP_MS = 0.05
INITIAL_VARIANCE = 1000.0
_COEFFICIENT_COUNT = 3


class StepTime:
    """A linear model of the step time by batch size and resident tokens.

    The model is fitted by recursive least squares with a forgetting factor.
    An upper quantile of its residuals, caused mostly by prefills, is tracked
    separately and added to predictions.
    """

    def __init__(self) -> None:
        self._coefficients = [0.0] * _COEFFICIENT_COUNT
        self._covariance = [
            [
                INITIAL_VARIANCE if i == j else 0.0
                for j in range(_COEFFICIENT_COUNT)
            ]
            for i in range(_COEFFICIENT_COUNT)
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
        px = [
            sum(p[i][j] * x[j] for j in range(_COEFFICIENT_COUNT))
            for i in range(_COEFFICIENT_COUNT)
        ]
        scale = FORGETTING_FACTOR + sum(
            x[i] * px[i] for i in range(_COEFFICIENT_COUNT)
        )
        error = step_ms - self._fitted_ms(running, used_tokens)
        for i in range(_COEFFICIENT_COUNT):
            self._coefficients[i] += px[i] / scale * error
        for i in range(_COEFFICIENT_COUNT):
            for j in range(_COEFFICIENT_COUNT):
                p[i][j] = (p[i][j] - px[i] * px[j] / scale) / FORGETTING_FACTOR
        above = error > self._excess_ms
        share = EXCESS_QUANTILE if above else EXCESS_QUANTILE - 1
        self._excess_ms = max(0.0, self._excess_ms + EXCESS_STEP_MS * share)
        self._reports += 1

    def predict(self, running: int, used_tokens: float) -> float:
        """Returns the step time, in ms, that 49 of 50 steps don't exceed."""
        return self._fitted_ms(running, used_tokens) + self._excess_ms

    def _fitted_ms(self, running: int, used_tokens: float) -> float:
        base, batch, resident = self._coefficients
        return base + batch * running + resident * used_tokens / 1000
