"""Runs one seed: callers, faults, recovery and a phase without faults."""

import pathlib
import random

import anyio
import anyio.abc
import attrs

from lab.soak.callers import Caller, Callers
from lab.soak.faults import FAULTS
from lab.soak.records import Journal
from lab.soak.world import World

READY_S = 3.0
# After this time from the last fault, all requests must be served again.
RECOVER_S = 5.0
CALM_S = 3.0
# The mean time between two faults.
FAULT_EVERY_S = 0.7
WATCH_S = 0.1


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


async def play(seed: int, folder: pathlib.Path, size: Size) -> Journal:
    """Runs a seed; the gateways write their logs to `folder`."""
    rng = random.Random(seed)
    world = World(folder, rng, size.gateways, size.engines)
    try:
        async with anyio.create_task_group() as tasks:
            await world.start(tasks)
            await anyio.sleep(READY_S)
            tasks.start_soon(_watch, world)
            await _play_callers(world, rng, size)
            tasks.cancel_scope.cancel()
    finally:
        world.close()
    return world.journal


async def _watch(world: World) -> None:
    while True:
        world.check_processes()
        await anyio.sleep(WATCH_S)


def make_callers(world: World, rng: random.Random, count: int) -> list[Caller]:
    """Returns callers of a deployment's gateways."""
    shared = Callers(
        world.fronts,
        world.directories,
        lambda: world.keys,
        world.journal,
        world.clock,
    )
    seeds = [rng.randrange(1 << 30) for _ in range(count)]
    return [Caller(shared, random.Random(seed)) for seed in seeds]


async def _play_callers(world: World, rng: random.Random, size: Size) -> None:
    callers = make_callers(world, rng, size.callers)
    async with anyio.create_task_group() as tasks:
        for caller in callers:
            tasks.start_soon(caller.run)
        await _play_faults(world, rng, size.faults_s)
        world.journal.calm_from_ms = world.clock.now()
        await anyio.sleep(RECOVER_S)
        world.journal.sound_from_ms = world.clock.now()
        await anyio.sleep(CALM_S)
        for caller in callers:
            caller.is_stopping = True


async def _play_faults(world: World, rng: random.Random, last_s: float) -> None:
    """Starts faults for `last_s` seconds and waits until all have ended."""
    end = anyio.current_time() + last_s
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < end:
            await anyio.sleep(rng.expovariate(1 / FAULT_EVERY_S))
            name = rng.choice(sorted(FAULTS))
            tasks.start_soon(_play_fault, world, name, rng.randrange(1 << 30))
    for proxy in world.proxies:
        proxy.heal()


async def _play_fault(world: World, name: str, seed: int) -> None:
    world.note(f"{name} begins")
    await FAULTS.get(name)(world, random.Random(seed))
    world.note(f"{name} ends")
