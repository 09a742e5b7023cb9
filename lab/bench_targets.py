"""Checks the results of `lab.bench` against the stated targets."""

import attrs

from lab.bench_measure import RunResult
from lab.bench_policies import BASELINES, ORACLE, PRODUCT

SHARE_IN_TIME = 0.95
REDUCTION = 0.9
SHARE_OF_WAY = 2 / 3
OVERLOAD_SHARE = 0.95
FLOOD_LOSS = 0.05
LATE_SHARE = 0.05


@attrs.frozen
class Verdict:
    """A target, the measured figure and whether the target is met.

    Attributes:
        deployment: The name of the deployment.
        target: The target as text.
        measured: The measured figure as text.
        holds: Whether the target is met.
        short_by: The shortfall as text, if the target is not met.
    """

    deployment: str
    target: str
    measured: str
    holds: bool
    short_by: str = ""

    def line(self) -> str:
        """Returns the line that is printed."""
        state = "holds" if self.holds else f"falls short by {self.short_by}"
        return f"{self.deployment}: {self.target}: {self.measured}; {state}"


class Judge:
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

    def verdicts(self) -> list[Verdict]:
        """Returns the checked targets."""
        found = []
        for load in (0.7, 0.9, 1.0):
            product = self._product(f"load {load}").classes[0]
            what = f"interactive at {load}"
            found += [
                self._at_least(
                    f"{what}, first token in 0.89 s",
                    product.first_in_time,
                    SHARE_IN_TIME,
                ),
                self._at_least(
                    f"{what}, gaps in 41 ms",
                    product.gaps_in_time,
                    SHARE_IN_TIME,
                ),
            ]
        for load in (0.9, 1.0):
            found += self._against_baseline(f"load {load}")
        return [*found, *self._overload(), self._flood(), self._loss()]

    def best_baseline(self, scenario: str) -> RunResult:
        """Returns the result of the baseline with the highest goodput."""
        runs = [self._results[scenario, b.name] for b in BASELINES]
        return max(runs, key=lambda r: r.goodput)

    def _product(self, scenario: str) -> RunResult:
        return self._results[scenario, PRODUCT.name]

    def _at_least(self, target: str, share: float, bound: float) -> Verdict:
        return Verdict(
            self._name,
            f"{target}, {bound:.0%}",
            f"{share:.1%}",
            share >= bound,
            f"{(bound - share) * 100:.1f} points",
        )

    def _against_baseline(self, scenario: str) -> list[Verdict]:
        base, product = self.best_baseline(scenario), self._product(scenario)
        oracle = self._results[scenario, ORACLE.name]
        where = f"{scenario} against {base.policy}"
        gap = oracle.goodput - base.goodput
        won = (product.goodput - base.goodput) / gap if gap > 0 else 1.0
        return [
            self._reduced(
                f"{where}, preemptions down by 90%",
                base.preemptions,
                product.preemptions,
            ),
            self._reduced(
                f"{where}, stall time (s) down by 90%",
                base.stall_s,
                product.stall_s,
            ),
            Verdict(
                self._name,
                f"{where}, goodput not below",
                f"{base.goodput:.0f} to {product.goodput:.0f} tokens/s",
                product.goodput >= base.goodput,
                f"{base.goodput - product.goodput:.0f} tokens/s",
            ),
            Verdict(
                self._name,
                f"{where}, two thirds of the way to the oracle",
                f"{won:.0%} of {gap:.0f} tokens/s",
                won >= SHARE_OF_WAY,
                f"{(SHARE_OF_WAY - won) * 100:.0f} points",
            ),
        ]

    def _reduced(self, target: str, before: float, after: float) -> Verdict:
        bound = before * (1 - REDUCTION)
        return Verdict(
            self._name,
            target,
            f"{before:.0f} to {after:.0f}",
            after <= bound,
            f"{after - bound:.0f}",
        )

    def _overload(self) -> list[Verdict]:
        usual = self._product("load 0.9").classes[0].goodput
        product = self._product("load 1.2")
        share = product.classes[0].goodput / max(1.0, usual)
        refused = sum(c.refused for c in product.classes)
        late = sum(c.refused_late for c in product.classes)
        late_share = late / refused if refused else 0.0
        return [
            self._at_least(
                "load 1.2, interactive goodput of that at 0.9",
                share,
                OVERLOAD_SHARE,
            ),
            self._at_least(
                f"load 1.2, share of {refused} refusals made at once",
                1 - late_share,
                1 - LATE_SHARE,
            ),
        ]

    def _flood(self) -> Verdict:
        usual = self._product("load 0.9").others_goodput
        flooded = self._product("flood").others_goodput
        return self._at_least(
            "flood, the others' goodput of that without",
            flooded / max(1.0, usual),
            1 - FLOOD_LOSS,
        )

    def _loss(self) -> Verdict:
        return self._at_least(
            "engine lost, interactive targets met from 30 s on",
            self._product("loss").recovered_met,
            SHARE_IN_TIME,
        )
