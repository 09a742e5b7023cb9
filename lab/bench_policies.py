"""The admission policies that are compared: product, baselines, oracle."""

from collections.abc import Iterable

import attrs

from lab.bench_traffic import Arrival
from rhubarbwinch.admission.admission import AdmissionOptions
from rhubarbwinch.admission.outputlengths import (
    HORIZONS,
    LearnedLengths,
    LengthEstimator,
    LengthForecast,
)
from rhubarbwinch.links.messages import PermitRequest


class OracleLengths:
    """Predicts each output length exactly, as an oracle.

    Args:
        arrivals: All requests of the simulation with their lengths.
    """

    def __init__(self, arrivals: Iterable[Arrival]) -> None:
        self._lengths = {
            a.request.request_id: a.output_tokens for a in arrivals
        }

    def forecast(self, request: PermitRequest, tokens: int) -> LengthForecast:
        """Returns the true remaining length as a forecast."""
        request_id = request.request_id.partition("/")[0]
        remaining_tokens = max(0, self._lengths[request_id] - tokens)
        return LengthForecast(
            [float(h < remaining_tokens) for h in HORIZONS],
            float(remaining_tokens),
        )

    def observe(
        self, request: PermitRequest, tokens: int, is_complete: bool
    ) -> None:
        """Does nothing, because all lengths are known."""


@attrs.frozen
class AdmissionPolicy:
    """An admission policy under comparison.

    Attributes:
        name: The name in tables and in the history.
        options: The options of `Admission`.
        is_oracle: Whether it knows all output lengths in advance.
    """

    name: str
    options: AdmissionOptions
    is_oracle: bool = False

    def length_estimator(self, arrivals: Iterable[Arrival]) -> LengthEstimator:
        """Returns the estimator of output lengths."""
        return OracleLengths(arrivals) if self.is_oracle else LearnedLengths()


def _baseline(placement: str) -> AdmissionPolicy:
    options = AdmissionOptions(
        placement=placement,
        shares_by_weight=False,
        rejects_early=False,
        has_retry_budget=False,
        lowers_priority=False,
    )
    return AdmissionPolicy(placement, options)


PRODUCT = AdmissionPolicy("product", AdmissionOptions())
WITHOUT_RETRY_BUDGETS = AdmissionPolicy(
    "no-budgets", AdmissionOptions(has_retry_budget=False)
)
ORACLE = AdmissionPolicy("oracle", AdmissionOptions(), is_oracle=True)
BASELINES = [
    _baseline("round-robin"),
    _baseline("least-outstanding"),
    _baseline("least-load"),
    _baseline("reserve-maximum"),
]
