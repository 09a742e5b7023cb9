"""The faults that the soak injects; several can overlap."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from lab.soak.engines import SoakEngine
from lab.soak.proxy import LoopbackProxy
from lab.soak.world import Gateway, World
from lab.standins import platformfiles
from rhubarbwinch.shared.registry import Registry

Fault = Callable[[World, random.Random], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("fault")

# The range of durations of temporary faults.
SHORTEST_S, LONGEST_S = 0.2, 3.0
MOST_DELAY_MS = 400
# The time from an engine's leaving notice to its end, and the time without
# heartbeats after which an engine's entry in the store is removed.
NOTICE_S = 2.0
LAPSE_S = 1.5
SERIES = 4
# Further signals for a gateway that was told to stop.
ENDING = (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGKILL)


async def _last(rng: random.Random) -> None:
    await anyio.sleep(rng.uniform(SHORTEST_S, LONGEST_S))


async def _harm(proxy: LoopbackProxy, rng: random.Random) -> None:
    """Delays, cuts, refuses or resets connections, then heals the proxy."""
    condition = proxy.condition
    match rng.randrange(6):
        case 0:
            condition.delay_ms = rng.randrange(20, MOST_DELAY_MS)
        case 1:
            condition.is_cut_there = True
        case 2:
            condition.is_cut_back = True
        case 3:
            condition.is_cut_there = condition.is_cut_back = True
        case 4:
            condition.is_refusing = True
        case _:
            for _ in range(SERIES):
                proxy.reset()
                await anyio.sleep(rng.uniform(0, SHORTEST_S))
    await _last(rng)
    proxy.heal()


def _gateway(world: World, rng: random.Random) -> Gateway:
    return rng.choice(world.gateways)


def _engine(world: World, rng: random.Random) -> SoakEngine:
    return rng.choice(world.engines)


@FAULTS.register("store link")
async def harm_store_link(world: World, rng: random.Random) -> None:
    """Disturbs the connections from one gateway to the store."""
    await _harm(_gateway(world, rng).store, rng)


@FAULTS.register("store links")
async def harm_store_links(world: World, rng: random.Random) -> None:
    """Disturbs the store connections of all gateways independently."""
    async with anyio.create_task_group() as tasks:
        for gateway in world.gateways:
            tasks.start_soon(_harm, gateway.store, rng)


@FAULTS.register("store")
async def harm_store(world: World, rng: random.Random) -> None:
    """The store fails, hangs, loses responses or compacts its history."""
    faults = world.store.faults
    match rng.randrange(4):
        case 0:
            faults.status = rng.choice((429, 503))
        case 1:
            faults.is_silent = True
        case 2:
            faults.lose_answers = SERIES
        case _:
            faults.forgotten = world.store.memory.revision
    await _last(rng)
    faults.status, faults.is_silent = 0, False


@FAULTS.register("foreign entry")
async def write_foreign_entry(world: World, rng: random.Random) -> None:
    """Writes an invalid entry under the prefix where engines register."""
    key = f"{platformfiles.ENDPOINT_PREFIX}x-{rng.randrange(100)}"
    rubbish = (b"\xff\xfe", b"[]", b"{}", b'{"service": 7}', b"")
    await world.store.put(key, rng.choice(rubbish))


@FAULTS.register("caller link")
async def harm_caller_link(world: World, rng: random.Random) -> None:
    """Disturbs the connections from callers to one gateway."""
    await _harm(_gateway(world, rng).front, rng)


@FAULTS.register("engine link")
async def harm_engine_link(world: World, rng: random.Random) -> None:
    """Disturbs the connections from the gateways to one engine."""
    await _harm(_engine(world, rng).proxy, rng)


@FAULTS.register("late answer")
async def add_answer(world: World, rng: random.Random) -> None:
    """An engine sends extra bytes after a response."""
    extra = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort",
        b"\x00\x01 not an answer",
    )
    _engine(world, rng).proxy.condition.extra = rng.choice(extra)


@FAULTS.register("engine crash")
async def crash_engine(world: World, rng: random.Random) -> None:
    """An engine crashes and is replaced by one with a new id."""
    engine = _engine(world, rng)
    engine.crash()
    await anyio.sleep(rng.uniform(SHORTEST_S, 2 * LAPSE_S))
    await world.replace(engine)


@FAULTS.register("engine leaves")
async def drain_engine(world: World, rng: random.Random) -> None:
    """An engine registers as draining or deregisters, and ends later."""
    engine = _engine(world, rng)
    if rng.random() < 0.5:
        await world.announce(engine, "draining")
    else:
        await world.withdraw(engine)
    await anyio.sleep(NOTICE_S)
    engine.crash()
    await _last(rng)
    await world.replace(engine)


@FAULTS.register("failing engine")
async def fail_engine(world: World, rng: random.Random) -> None:
    """An engine answers a random share of its calls with status 500."""
    engine = _engine(world, rng)
    engine.failing = rng.random()
    await _last(rng)
    engine.failing = 0.0


@FAULTS.register("full engine")
async def fill_engine(world: World, rng: random.Random) -> None:
    """An engine has only one slot for a while."""
    engine = _engine(world, rng)
    usual, engine.slots = engine.slots, 1
    await _last(rng)
    engine.slots = usual


@FAULTS.register("configuration")
async def change_configuration(world: World, rng: random.Random) -> None:
    """Publishes new configuration versions with changed API keys."""
    for _ in range(rng.randrange(1, SERIES + 1)):
        world.version += rng.randrange(1, 4)
        world.keys["b"] = f"key-b-{world.version}"
        await world.configure()
        await anyio.sleep(rng.uniform(0, SHORTEST_S))


@FAULTS.register("pause")
async def pause_gateway(world: World, rng: random.Random) -> None:
    """A gateway's process is paused for a while and continued."""
    gateway = _gateway(world, rng)
    world.signal(gateway, signal.SIGSTOP)
    await _last(rng)
    world.signal(gateway, signal.SIGCONT)


@FAULTS.register("restart")
async def restart_gateway(world: World, rng: random.Random) -> None:
    """A gateway gets SIGTERM, maybe further signals, and is restarted."""
    gateway = _gateway(world, rng)
    world.signal(gateway, signal.SIGTERM)
    for _ in range(rng.randrange(SERIES)):
        world.signal(gateway, rng.choice(ENDING))
        await anyio.sleep(rng.uniform(0, SHORTEST_S))
    await world.bring_back(gateway, rng.uniform(0, LONGEST_S))


@FAULTS.register("rolling restart")
async def restart_in_turn(world: World, rng: random.Random) -> None:
    """All gateways are stopped and restarted, one after another."""
    for gateway in list(world.gateways):
        world.signal(gateway, signal.SIGTERM)
        await world.bring_back(gateway, rng.uniform(0, SHORTEST_S))


@FAULTS.register("all killed")
async def kill_all(world: World, rng: random.Random) -> None:
    """All gateways are killed at the same time and restarted."""
    async with anyio.create_task_group() as tasks:
        for gateway in world.gateways:
            world.signal(gateway, signal.SIGKILL)
            pause_s = rng.uniform(0, SHORTEST_S)
            tasks.start_soon(world.bring_back, gateway, pause_s)


@FAULTS.register("settings")
async def change_settings(world: World, rng: random.Random) -> None:
    """The settings file changes repeatedly, with or without SIGHUP."""
    gateway = _gateway(world, rng)
    for _ in range(SERIES):
        world.write_settings(gateway, memory_mb=rng.randrange(180, 230))
        if rng.random() < 0.7:
            world.signal(gateway, signal.SIGHUP)
        await anyio.sleep(rng.uniform(0, SHORTEST_S))
    world.write_settings(gateway)
    world.signal(gateway, signal.SIGHUP)
