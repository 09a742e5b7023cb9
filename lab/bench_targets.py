"""Checks the results of `lab.bench` against the stated targets."""

import attrs

from lab.bench_measure import RunResult
from lab.bench_policies import BASELINES, ORACLE, PRODUCT

IN_TIME_SHARE = 0.95
REQUIRED_REDUCTION = 0.9
ORACLE_GAIN_SHARE = 2 / 3
OVERLOAD_GOODPUT_SHARE = 0.95
MAX_FLOOD_LOSS = 0.05
MAX_LATE_SHARE = 0.05


@attrs.frozen
class TargetResult:
    """A target, the measured figure and whether the target is met.

    Attributes:
        deployment: The name of the deployment.
        target: The target as text.
        measured: The measured figure as text.
        is_met: Whether the target is met.
        shortfall: The shortfall as text, if the target is not met.
    """

    deployment: str
    target: str
    measured: str
    is_met: bool
    shortfall: str = ""

    def format_line(self) -> str:
        """Returns the line that is printed."""
        state = "holds" if self.is_met else f"falls short by {self.shortfall}"
        return f"{self.deployment}: {self.target}: {self.measured}; {state}"


class TargetChecker:
    """Checks the results of one deployment against the targets.

    Args:
        name: The name of the deployment.
        results: The results of all deployments.
    """

    def __init__(self, name: str, results: list[RunResult]) -> None:
        self._name = name
        self._results = {
            (r.scenario, r.policy): r for r in results if r.deployment == name
        }

    def check_all(self) -> list[TargetResult]:
        """Returns the checked targets."""
        found = []
        for load in (0.7, 0.9, 1.0):
            product = self._product(f"load {load}").classes[0]
            label = f"interactive at {load}"
            found += [
                self._check_at_least(
                    f"{label}, first token in 0.89 s",
                    product.first_in_time,
                    IN_TIME_SHARE,
                ),
                self._check_at_least(
                    f"{label}, gaps in 41 ms",
                    product.gaps_in_time,
                    IN_TIME_SHARE,
                ),
            ]
        for load in (0.9, 1.0):
            found += self._check_against_baseline(f"load {load}")
        return [
            *found,
            *self._check_overload(),
            self._check_flood(),
            self._check_engine_loss(),
        ]

    def best_baseline(self, scenario: str) -> RunResult:
        """Returns the result of the baseline with the highest goodput."""
        runs = [self._results[scenario, b.name] for b in BASELINES]
        return max(runs, key=lambda r: r.goodput)

    def _product(self, scenario: str) -> RunResult:
        return self._results[scenario, PRODUCT.name]

    def _check_at_least(
        self, target: str, share: float, bound: float
    ) -> TargetResult:
        return TargetResult(
            self._name,
            f"{target}, {bound:.0%}",
            f"{share:.1%}",
            share >= bound,
            f"{(bound - share) * 100:.1f} points",
        )

    def _check_against_baseline(self, scenario: str) -> list[TargetResult]:
        baseline, product = (
            self.best_baseline(scenario),
            self._product(scenario),
        )
        oracle = self._results[scenario, ORACLE.name]
        label = f"{scenario} against {baseline.policy}"
        possible_gain = oracle.goodput - baseline.goodput
        gain_share = (
            (product.goodput - baseline.goodput) / possible_gain
            if possible_gain > 0
            else 1.0
        )
        return [
            self._check_reduction(
                f"{label}, preemptions down by 90%",
                baseline.preemptions,
                product.preemptions,
            ),
            self._check_reduction(
                f"{label}, stall time (s) down by 90%",
                baseline.stall_s,
                product.stall_s,
            ),
            TargetResult(
                self._name,
                f"{label}, goodput not below",
                f"{baseline.goodput:.0f} to {product.goodput:.0f} tokens/s",
                product.goodput >= baseline.goodput,
                f"{baseline.goodput - product.goodput:.0f} tokens/s",
            ),
            TargetResult(
                self._name,
                f"{label}, two thirds of the way to the oracle",
                f"{gain_share:.0%} of {possible_gain:.0f} tokens/s",
                gain_share >= ORACLE_GAIN_SHARE,
                f"{(ORACLE_GAIN_SHARE - gain_share) * 100:.0f} points",
            ),
        ]

    def _check_reduction(
        self, target: str, before: float, after: float
    ) -> TargetResult:
        bound = before * (1 - REQUIRED_REDUCTION)
        return TargetResult(
            self._name,
            target,
            f"{before:.0f} to {after:.0f}",
            after <= bound,
            f"{after - bound:.0f}",
        )

    def _check_overload(self) -> list[TargetResult]:
        reference = self._product("load 0.9").classes[0].goodput
        product = self._product("load 1.2")
        share = product.classes[0].goodput / max(1.0, reference)
        refused = sum(c.refused for c in product.classes)
        late = sum(c.refused_late for c in product.classes)
        late_share = late / refused if refused else 0.0
        return [
            self._check_at_least(
                "load 1.2, interactive goodput of that at 0.9",
                share,
                OVERLOAD_GOODPUT_SHARE,
            ),
            self._check_at_least(
                f"load 1.2, share of {refused} refusals made at once",
                1 - late_share,
                1 - MAX_LATE_SHARE,
            ),
        ]

    def _check_flood(self) -> TargetResult:
        reference = self._product("load 0.9").others_goodput
        flooded = self._product("flood").others_goodput
        return self._check_at_least(
            "flood, the others' goodput of that without",
            flooded / max(1.0, reference),
            1 - MAX_FLOOD_LOSS,
        )

    def _check_engine_loss(self) -> TargetResult:
        return self._check_at_least(
            "engine lost, interactive targets met from 30 s on",
            self._product("loss").recovered_met,
            IN_TIME_SHARE,
        )
