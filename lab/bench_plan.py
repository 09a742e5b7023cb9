"""Plans the simulations and searches the capacity that their loads refer to."""

import multiprocessing
from collections.abc import Callable
from typing import TypeVar

import attrs

from lab import bench_load
from lab.bench_load import Shape
from lab.bench_measure import RunResult
from lab.bench_policies import (
    BASELINES,
    ORACLE,
    PRODUCT,
    WITHOUT_BUDGETS,
    Contender,
)
from lab.bench_sim import LOSS_AT_MS, WARM_MS, Run, Scenario

SEED = 20_260_101
PROCESSES = 3
LOADS = (0.7, 0.9, 1.0, 1.2)
BASELINES_BESIDE_LOADS = ("least-outstanding", "reserve-maximum")
MET_SHARE = 0.95
SEARCH_LOW, SEARCH_HIGH = 0.4, 1.6
SEARCH_STEPS = 5
T = TypeVar("T")
R = TypeVar("R")


@attrs.frozen
class Task:
    """A simulation to run."""

    deployment: str
    scenario: Scenario
    contender: Contender


def perform(task: Task) -> RunResult:
    """Runs a simulation and returns its measurements."""
    deployment = bench_load.DEPLOYMENTS[task.deployment]
    return Run(deployment, task.scenario, task.contender, SEED).run()


def find_capacity(name: str) -> float:
    """Returns the highest load at which the oracle meets the targets.

    A binary search; the targets are met if `MET_SHARE` of each class meets
    them.
    """
    low, high = SEARCH_LOW, SEARCH_HIGH
    for _ in range(SEARCH_STEPS):
        middle = (low + high) / 2
        scenario = Scenario("capacity", middle, Shape(middle))
        result = perform(Task(name, scenario, ORACLE))
        if all(c.met >= MET_SHARE for c in result.classes):
            low = middle
        else:
            high = middle
    return low


def scenarios(capacity: float) -> list[Scenario]:
    """Returns the scenarios that each admission policy runs through."""
    steady = [
        Scenario(f"load {load}", load, Shape(load * capacity)) for load in LOADS
    ]
    at_nine = 0.9 * capacity
    return [
        *steady,
        Scenario("loss", 0.9, Shape(at_nine), loses_engine=True, tries=3),
        Scenario("shift", 0.9, Shape(at_nine, shift_ms=LOSS_AT_MS)),
        Scenario("flood", 0.9, Shape(at_nine, flood_ms=WARM_MS)),
    ]


def tasks(name: str, capacity: float) -> list[Task]:
    """Returns all simulations of a deployment."""
    found = [
        Task(name, scenario, contender)
        for scenario in scenarios(capacity)
        for contender in _contenders(scenario)
    ]
    loss = Scenario(
        "loss",
        0.9,
        Shape(0.9 * capacity),
        loses_engine=True,
        tries=6,
        backs_off=False,
    )
    return [*found, Task(name, loss, WITHOUT_BUDGETS)]


def _contenders(scenario: Scenario) -> list[Contender]:
    """Returns the policies to run in a scenario.

    All baselines run in the load scenarios, `BASELINES_BESIDE_LOADS` in the
    others.
    """
    if scenario.name.startswith("load"):
        return [PRODUCT, ORACLE, *BASELINES]
    beside = [b for b in BASELINES if b.name in BASELINES_BESIDE_LOADS]
    return [PRODUCT, ORACLE, *beside]


def in_parallel(function: Callable[[T], R], items: list[T]) -> list[R]:
    """Maps `items` in `PROCESSES` processes; results keep the order."""
    context = multiprocessing.get_context("spawn")
    with context.Pool(PROCESSES) as pool:
        return pool.map(function, items, chunksize=1)
