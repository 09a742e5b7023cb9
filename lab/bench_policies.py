"""Who decides in an experiment: the product, baselines, the oracle."""

from collections.abc import Iterable

import attrs

from lab.bench_load import Arrival
from rhubarbwinch.admission.admission import Options
from rhubarbwinch.admission.lengths import (
    HORIZONS,
    LearnedLengths,
    LengthEstimator,
    Outlook,
)
from rhubarbwinch.links.messages import PermitRequest


class KnownLengths:
    """Tells each length as it will be.

    Args:
        arrivals: The requests to come.
    """

    def __init__(self, arrivals: Iterable[Arrival]) -> None:
        self._lengths = {
            a.request.request_id: a.output_tokens for a in arrivals
        }

    def outlook(self, request: PermitRequest, tokens: int) -> Outlook:
        """Returns what will be."""
        request_id = request.request_id.partition("/")[0]
        left = max(0, self._lengths[request_id] - tokens)
        return Outlook([float(h < left) for h in HORIZONS], float(left))

    def observe(
        self, request: PermitRequest, tokens: int, is_complete: bool
    ) -> None:
        """Has nothing to learn."""


@attrs.frozen
class Contender:
    """One that decides.

    Attributes:
        name: What the table calls it.
        options: Which decisions it makes.
        is_oracle: Whether it is told every length.
    """

    name: str
    options: Options
    is_oracle: bool = False

    def lengths(self, arrivals: Iterable[Arrival]) -> LengthEstimator:
        """Returns what it knows of lengths."""
        return KnownLengths(arrivals) if self.is_oracle else LearnedLengths()


def _baseline(placement: str) -> Contender:
    options = Options(
        placement=placement,
        is_fair=False,
        refuses_early=False,
        limits_retries=False,
        lowers_priority=False,
    )
    return Contender(placement, options)


PRODUCT = Contender("product", Options())
WITHOUT_BUDGETS = Contender("no-budgets", Options(limits_retries=False))
ORACLE = Contender("oracle", Options(), is_oracle=True)
BASELINES = [
    _baseline("round-robin"),
    _baseline("least-outstanding"),
    _baseline("least-load"),
    _baseline("reserve-maximum"),
]
