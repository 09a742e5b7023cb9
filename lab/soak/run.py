"""Runs one seed: callers, faults, recovery and a phase without faults."""

import pathlib
import random

import anyio
import anyio.abc
import attrs

from lab.soak.callers import Caller, CallerContext
from lab.soak.deployment import SoakDeployment
from lab.soak.faults import DATA_CENTER_FAULTS, FAULTS, Fault
from lab.soak.layout import draw_layout
from lab.soak.records import RunRecords
from rhubarbwinch.shared.registry import Registry

STARTUP_S = 3.0
# After this time from the last fault, all requests must be served again.
RECOVERY_S = 5.0
FAULT_FREE_S = 3.0
# The mean time between two faults.
MEAN_FAULT_INTERVAL_S = 0.7
MEAN_DATA_CENTER_FAULT_INTERVAL_S = 3.0
PROCESS_CHECK_S = 0.1


@attrs.frozen
class Size:
    """The size of a run.

    Attributes:
        faults_s: How long faults are injected.
        gateways: The number of gateways.
        engines: The number of engines, and of plain endpoints.
        callers: The number of callers.
    """

    faults_s: float = 12.0
    gateways: int = 4
    engines: int = 3
    callers: int = 24


async def run_seed(seed: int, folder: pathlib.Path, size: Size) -> RunRecords:
    """Runs a seed; the gateways write their logs to `folder`."""
    rng = random.Random(seed)
    deployment = SoakDeployment(
        folder, rng, size.gateways, size.engines, layout=draw_layout(seed)
    )
    try:
        async with anyio.create_task_group() as tasks:
            await deployment.start(tasks)
            await anyio.sleep(STARTUP_S)
            tasks.start_soon(_watch_processes, deployment)
            await _run_callers(deployment, seed, rng, size)
            tasks.cancel_scope.cancel()
    finally:
        deployment.stop()
    return deployment.records


async def _watch_processes(deployment: SoakDeployment) -> None:
    while True:
        deployment.check_processes()
        await anyio.sleep(PROCESS_CHECK_S)


def make_callers(
    deployment: SoakDeployment, rng: random.Random, count: int
) -> list[Caller]:
    """Returns callers of a deployment's gateways."""
    context = CallerContext(
        deployment.fronts,
        deployment.directories,
        lambda: deployment.keys,
        lambda: deployment.engine_context.sends_fatal_part,
        deployment.records,
        deployment.clock,
    )
    seeds = [rng.randrange(1 << 30) for _ in range(count)]
    return [Caller(context, random.Random(seed)) for seed in seeds]


async def _run_callers(
    deployment: SoakDeployment, seed: int, rng: random.Random, size: Size
) -> None:
    callers = make_callers(deployment, rng, size.callers)
    async with anyio.create_task_group() as tasks:
        for caller in callers:
            tasks.start_soon(caller.run)
        await _inject_all_faults(deployment, seed, rng, size.faults_s)
        deployment.records.faults_ended_ms = deployment.clock.now()
        await anyio.sleep(RECOVERY_S)
        deployment.records.recovered_from_ms = deployment.clock.now()
        await anyio.sleep(FAULT_FREE_S)
        for caller in callers:
            caller.is_stopping = True


async def _inject_all_faults(
    deployment: SoakDeployment,
    seed: int,
    rng: random.Random,
    duration_s: float,
) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            _inject_faults,
            deployment,
            rng,
            duration_s,
            FAULTS,
            MEAN_FAULT_INTERVAL_S,
        )
        if deployment.layout.regions:
            tasks.start_soon(
                _inject_faults,
                deployment,
                random.Random(f"data centers {seed}"),
                duration_s,
                DATA_CENTER_FAULTS,
                MEAN_DATA_CENTER_FAULT_INTERVAL_S,
            )
    for proxy in deployment.proxies:
        proxy.heal()


async def _inject_faults(
    deployment: SoakDeployment,
    rng: random.Random,
    duration_s: float,
    faults: Registry[Fault],
    mean_interval_s: float,
) -> None:
    """Starts faults for `duration_s` seconds and waits until all have ended."""
    end = anyio.current_time() + duration_s
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < end:
            await anyio.sleep(rng.expovariate(1 / mean_interval_s))
            name = rng.choice(sorted(faults))
            tasks.start_soon(
                _inject_fault,
                deployment,
                name,
                faults.get(name),
                rng.randrange(1 << 30),
            )


async def _inject_fault(
    deployment: SoakDeployment, name: str, fault: Fault, seed: int
) -> None:
    deployment.record_step(f"{name} begins")
    await fault(deployment, random.Random(seed))
    deployment.record_step(f"{name} ends")
