"""Faults from outside the gateways, in series and overlapping."""

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

# Lengths of what ends by itself, in seconds.
SHORTEST_S, LONGEST_S = 0.2, 3.0
MOST_DELAY_MS = 400
# An engine's notice before it ends, and the heartbeats after which an entry
# whose engine is silent is removed.
NOTICE_S = 2.0
LAPSE_S = 1.5
SERIES = 4
# What a gateway that is to end is sent.
ENDING = (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGKILL)


async def _last(rng: random.Random) -> None:
    await anyio.sleep(rng.uniform(SHORTEST_S, LONGEST_S))


async def _harm(proxy: LoopbackProxy, rng: random.Random) -> None:
    """Delays, cuts one way, silences or resets, and heals after a while."""
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
    """The way from one gateway to the store."""
    await _harm(_gateway(world, rng).store, rng)


@FAULTS.register("store links")
async def harm_store_links(world: World, rng: random.Random) -> None:
    """The ways from all gateways to the store, each in its own manner."""
    async with anyio.create_task_group() as tasks:
        for gateway in world.gateways:
            tasks.start_soon(_harm, gateway.store, rng)


@FAULTS.register("store")
async def harm_store(world: World, rng: random.Random) -> None:
    """The store refuses, is silent, loses answers or forgets its history."""
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
    """Another writer leaves what can't be read where engines register."""
    key = f"{platformfiles.ENDPOINT_PREFIX}x-{rng.randrange(100)}"
    rubbish = (b"\xff\xfe", b"[]", b"{}", b'{"service": 7}', b"")
    await world.store.put(key, rng.choice(rubbish))


@FAULTS.register("caller link")
async def harm_caller_link(world: World, rng: random.Random) -> None:
    """The way from callers to one gateway."""
    await _harm(_gateway(world, rng).front, rng)


@FAULTS.register("engine link")
async def harm_engine_link(world: World, rng: random.Random) -> None:
    """The way from the gateways to one engine."""
    await _harm(_engine(world, rng).proxy, rng)


@FAULTS.register("late answer")
async def add_answer(world: World, rng: random.Random) -> None:
    """An engine sends bytes after an answer that belong to no request."""
    extra = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort",
        b"\x00\x01 not an answer",
    )
    _engine(world, rng).proxy.condition.extra = rng.choice(extra)


@FAULTS.register("engine crash")
async def crash_engine(world: World, rng: random.Random) -> None:
    """An engine ends without notice and is back under a new id."""
    engine = _engine(world, rng)
    engine.crash()
    await anyio.sleep(rng.uniform(SHORTEST_S, 2 * LAPSE_S))
    await world.replace(engine)


@FAULTS.register("engine leaves")
async def drain_engine(world: World, rng: random.Random) -> None:
    """An engine gives notice, or just leaves the list, and ends later."""
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
    """An engine fails a share of its calls."""
    engine = _engine(world, rng)
    engine.failing = rng.random()
    await _last(rng)
    engine.failing = 0.0


@FAULTS.register("full engine")
async def fill_engine(world: World, rng: random.Random) -> None:
    """An engine has next to no places."""
    engine = _engine(world, rng)
    usual, engine.slots = engine.slots, 1
    await _last(rng)
    engine.slots = usual


@FAULTS.register("configuration")
async def change_configuration(world: World, rng: random.Random) -> None:
    """New versions one after another, with other API keys."""
    for _ in range(rng.randrange(1, SERIES + 1)):
        world.version += rng.randrange(1, 4)
        world.keys["b"] = f"key-b-{world.version}"
        await world.configure()
        await anyio.sleep(rng.uniform(0, SHORTEST_S))


@FAULTS.register("pause")
async def pause_gateway(world: World, rng: random.Random) -> None:
    """A gateway is stopped for a while and goes on."""
    gateway = _gateway(world, rng)
    world.signal(gateway, signal.SIGSTOP)
    await _last(rng)
    world.signal(gateway, signal.SIGCONT)


@FAULTS.register("restart")
async def restart_gateway(world: World, rng: random.Random) -> None:
    """A gateway is asked to end, more than once, or killed, or both."""
    gateway = _gateway(world, rng)
    world.signal(gateway, signal.SIGTERM)
    for _ in range(rng.randrange(SERIES)):
        world.signal(gateway, rng.choice(ENDING))
        await anyio.sleep(rng.uniform(0, SHORTEST_S))
    await world.bring_back(gateway, rng.uniform(0, LONGEST_S))


@FAULTS.register("rolling restart")
async def restart_in_turn(world: World, rng: random.Random) -> None:
    """All gateways are asked to end, one after another."""
    for gateway in list(world.gateways):
        world.signal(gateway, signal.SIGTERM)
        await world.bring_back(gateway, rng.uniform(0, SHORTEST_S))


@FAULTS.register("all killed")
async def kill_all(world: World, rng: random.Random) -> None:
    """All gateways are killed at once and come back."""
    async with anyio.create_task_group() as tasks:
        for gateway in world.gateways:
            world.signal(gateway, signal.SIGKILL)
            pause_s = rng.uniform(0, SHORTEST_S)
            tasks.start_soon(world.bring_back, gateway, pause_s)


@FAULTS.register("settings")
async def change_settings(world: World, rng: random.Random) -> None:
    """The settings file changes, with SIGHUP or without, again and again."""
    gateway = _gateway(world, rng)
    for _ in range(SERIES):
        world.write_settings(gateway, memory_mb=rng.randrange(180, 230))
        if rng.random() < 0.7:
            world.signal(gateway, signal.SIGHUP)
        await anyio.sleep(rng.uniform(0, SHORTEST_S))
    world.write_settings(gateway)
    world.signal(gateway, signal.SIGHUP)
