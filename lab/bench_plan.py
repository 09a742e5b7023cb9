"""Plans the simulations and searches the capacity that their loads refer to."""

import multiprocessing
from collections.abc import Callable
from typing import TypeVar

import attrs

from lab import bench_traffic
from lab.bench_measure import RunResult
from lab.bench_policies import (
    BASELINES,
    ORACLE,
    PRODUCT,
    WITHOUT_RETRY_BUDGETS,
    AdmissionPolicy,
)
from lab.bench_sim import ENGINE_LOSS_AT_MS, WARM_UP_MS, Scenario, Simulation
from lab.bench_traffic import TrafficPattern

SEED = 20_260_101
PROCESSES = 3
LOADS = (0.7, 0.9, 1.0, 1.2)
BASELINES_OUTSIDE_LOADS = ("least-outstanding", "reserve-maximum")
TARGET_MET_SHARE = 0.95
SEARCH_LOW, SEARCH_HIGH = 0.4, 1.6
SEARCH_STEPS = 5
T = TypeVar("T")
R = TypeVar("R")


@attrs.frozen
class Task:
    """A simulation to run."""

    deployment: str
    scenario: Scenario
    policy: AdmissionPolicy


def run_task(task: Task) -> RunResult:
    """Runs a simulation and returns its measurements."""
    deployment = bench_traffic.DEPLOYMENTS[task.deployment]
    return Simulation(deployment, task.scenario, task.policy, SEED).run()


def find_capacity(name: str) -> float:
    """Returns the highest load at which the oracle meets the targets.

    A binary search; the targets are met if a share of `TARGET_MET_SHARE` of
    each class meets them.
    """
    low, high = SEARCH_LOW, SEARCH_HIGH
    for _ in range(SEARCH_STEPS):
        middle = (low + high) / 2
        scenario = Scenario("capacity", middle, TrafficPattern(middle))
        result = run_task(Task(name, scenario, ORACLE))
        if all(c.met >= TARGET_MET_SHARE for c in result.classes):
            low = middle
        else:
            high = middle
    return low


def scenarios(capacity: float) -> list[Scenario]:
    """Returns the scenarios that each admission policy runs through."""
    steady = [
        Scenario(f"load {load}", load, TrafficPattern(load * capacity))
        for load in LOADS
    ]
    load_90 = 0.9 * capacity
    return [
        *steady,
        Scenario(
            "loss",
            0.9,
            TrafficPattern(load_90),
            loses_engine=True,
            max_attempts=3,
        ),
        Scenario(
            "shift", 0.9, TrafficPattern(load_90, shift_at_ms=ENGINE_LOSS_AT_MS)
        ),
        Scenario("flood", 0.9, TrafficPattern(load_90, flood_at_ms=WARM_UP_MS)),
    ]


def planned_tasks(name: str, capacity: float) -> list[Task]:
    """Returns all simulations of a deployment."""
    found = [
        Task(name, scenario, policy)
        for scenario in scenarios(capacity)
        for policy in _policies_for(scenario)
    ]
    loss = Scenario(
        "loss",
        0.9,
        TrafficPattern(0.9 * capacity),
        loses_engine=True,
        max_attempts=6,
        honours_retry_after=False,
    )
    return [*found, Task(name, loss, WITHOUT_RETRY_BUDGETS)]


def _policies_for(scenario: Scenario) -> list[AdmissionPolicy]:
    """Returns the policies to run in a scenario.

    All baselines run in the load scenarios, `BASELINES_OUTSIDE_LOADS` in the
    others.
    """
    if scenario.name.startswith("load"):
        return [PRODUCT, ORACLE, *BASELINES]
    selected = [b for b in BASELINES if b.name in BASELINES_OUTSIDE_LOADS]
    return [PRODUCT, ORACLE, *selected]


def run_in_parallel(function: Callable[[T], R], items: list[T]) -> list[R]:
    """Maps `items` in `PROCESSES` processes; results keep the order."""
    context = multiprocessing.get_context("spawn")
    with context.Pool(PROCESSES) as pool:
        return pool.map(function, items, chunksize=1)
