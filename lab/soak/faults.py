"""The faults that the soak injects; several can overlap."""

import functools
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from lab.soak.deployment import Gateway, SoakDeployment
from lab.soak.engines import SLOTS, SoakEngine
from lab.soak.proxy import LoopbackProxy
from lab.soak.records import STORE
from lab.standins import cutgateway, platformfiles
from rhubarbwinch.shared.registry import Registry

Fault = Callable[[SoakDeployment, random.Random], Coroutine[Any, Any, None]]
FAULTS: Registry[Fault] = Registry("fault")
# Drawn by a generator of their own, only for seeds with several data centres,
# so that the other seeds keep their faults.
DATA_CENTER_FAULTS: Registry[Fault] = Registry("data center fault")

# The range of durations of temporary faults.
MIN_DURATION_S, MAX_DURATION_S = 0.2, 3.0
MAX_DELAY_MS = 400
# The time from an engine's leaving notice to its end, and the time without
# heartbeats after which an engine's entry in the store is removed.
LEAVING_NOTICE_S = 2.0
ENTRY_EXPIRY_S = 1.5
# The range of rate limits in requests a second, and of their durations.
MIN_RATE, MAX_RATE = 0.5, 8.0
MIN_LIMITED_S, MAX_LIMITED_S = 5.0, 9.0
REPEAT_COUNT = 4
# The range of durations of evacuations, and the share of them with a fault of a
# gateway.
MIN_EVACUATION_S, MAX_EVACUATION_S = 3.0, 8.0
GATEWAY_FAULT_SHARE = 0.6
# The range of durations of restarts of a data centre's engines, long enough
# that gateways see refused connections.
MIN_RESTART_S, MAX_RESTART_S = 1.0, 2.0
# Further signals for a gateway that was sent SIGTERM.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGKILL)


async def _wait_duration(rng: random.Random) -> None:
    await anyio.sleep(rng.uniform(MIN_DURATION_S, MAX_DURATION_S))


async def _disturb(proxy: LoopbackProxy, rng: random.Random) -> None:
    """Delays, cuts, refuses or resets connections, then heals the proxy."""
    faults = proxy.faults
    match rng.randrange(6):
        case 0:
            faults.delay_ms = rng.randrange(20, MAX_DELAY_MS)
        case 1:
            faults.is_cut_to_target = True
        case 2:
            faults.is_cut_from_target = True
        case 3:
            faults.is_cut_to_target = faults.is_cut_from_target = True
        case 4:
            faults.is_refusing = True
        case _:
            for _ in range(REPEAT_COUNT):
                proxy.reset()
                await anyio.sleep(rng.uniform(0, MIN_DURATION_S))
    await _wait_duration(rng)
    proxy.heal()


def _pick_gateway(deployment: SoakDeployment, rng: random.Random) -> Gateway:
    return rng.choice(deployment.gateways)


def _pick_engine(deployment: SoakDeployment, rng: random.Random) -> SoakEngine:
    return rng.choice(deployment.engines)


@FAULTS.register("store link")
async def disturb_store_link(
    deployment: SoakDeployment, rng: random.Random
) -> None:
    """Disturbs the connections from one gateway to the store."""
    gateway = _pick_gateway(deployment, rng)
    deployment.record_disturbance(deployment.gateways.index(gateway))
    with deployment.record_outage(deployment.gateways.index(gateway)):
        await _disturb(gateway.store, rng)
    deployment.record_disturbance(deployment.gateways.index(gateway))


@FAULTS.register("store links")
async def disturb_store_links(
    deployment: SoakDeployment, rng: random.Random
) -> None:
    """Disturbs the store connections of all gateways independently."""
    with deployment.record_outage(STORE):
        async with anyio.create_task_group() as tasks:
            for gateway in deployment.gateways:
                tasks.start_soon(_disturb, gateway.store, rng)


@FAULTS.register("store")
async def disturb_store(deployment: SoakDeployment, rng: random.Random) -> None:
    """The store fails, hangs, loses responses or compacts its history."""
    faults = deployment.store.faults
    with deployment.record_outage(STORE):
        match rng.randrange(4):
            case 0:
                faults.status = rng.choice((429, 503))
            case 1:
                faults.is_hanging = True
            case 2:
                faults.lost_responses = REPEAT_COUNT
            case _:
                faults.compacted_revision = deployment.store.memory.revision
        await _wait_duration(rng)
        faults.status, faults.is_hanging = 0, False


@FAULTS.register("foreign entry")
async def write_foreign_entry(
    deployment: SoakDeployment, rng: random.Random
) -> None:
    """Writes an invalid entry under the prefix where engines register."""
    key = f"{platformfiles.ENDPOINT_PREFIX}x-{rng.randrange(100)}"
    invalid_values = (b"\xff\xfe", b"[]", b"{}", b'{"service": 7}', b"")
    await deployment.store.put(key, rng.choice(invalid_values))


@FAULTS.register("caller link")
async def disturb_caller_link(
    deployment: SoakDeployment, rng: random.Random
) -> None:
    """Disturbs the connections from callers to one gateway."""
    await _disturb(_pick_gateway(deployment, rng).front, rng)


@FAULTS.register("engine link")
async def disturb_engine_link(
    deployment: SoakDeployment, rng: random.Random
) -> None:
    """Disturbs the connections from the gateways to one engine."""
    engine = _pick_engine(deployment, rng)
    deployment.record_disturbance(engine.name)
    with deployment.record_outage(engine.name):
        await _disturb(engine.proxy, rng)
    deployment.record_disturbance(engine.name)


@FAULTS.register("late answer")
async def send_extra_bytes(
    deployment: SoakDeployment, rng: random.Random
) -> None:
    """An engine sends extra bytes after a response."""
    extra_bytes = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort",
        b"\x00\x01 not an answer",
    )
    _pick_engine(deployment, rng).proxy.faults.extra_bytes = rng.choice(
        extra_bytes
    )


@FAULTS.register("engine crash")
async def crash_engine(deployment: SoakDeployment, rng: random.Random) -> None:
    """An engine crashes and is replaced by one with a new id."""
    engine = _pick_engine(deployment, rng)
    engine.crash()
    await anyio.sleep(rng.uniform(MIN_DURATION_S, 2 * ENTRY_EXPIRY_S))
    await deployment.replace_engine(engine)


@FAULTS.register("engine leaves")
async def drain_engine(deployment: SoakDeployment, rng: random.Random) -> None:
    """An engine registers as draining or deregisters, and ends later."""
    engine = _pick_engine(deployment, rng)
    if rng.random() < 0.5:
        await deployment.register_engine(engine, "draining")
    else:
        await deployment.deregister_engine(engine)
    await anyio.sleep(LEAVING_NOTICE_S)
    engine.crash()
    await _wait_duration(rng)
    await deployment.replace_engine(engine)


@FAULTS.register("failing engine")
async def fail_engine(deployment: SoakDeployment, rng: random.Random) -> None:
    """An engine answers a random share of plain calls with status 500."""
    engine = _pick_engine(deployment, rng)
    engine.failure_rate = rng.random()
    await _wait_duration(rng)
    engine.failure_rate = 0.0


@FAULTS.register("full engine")
async def fill_engine(deployment: SoakDeployment, rng: random.Random) -> None:
    """An engine has only one slot for a while."""
    engine = _pick_engine(deployment, rng)
    engine.slots = 1
    await _wait_duration(rng)
    engine.slots = SLOTS


@FAULTS.register("limiting engine")
async def limit_engine(deployment: SoakDeployment, rng: random.Random) -> None:
    """An engine declares a limit of the requests a second that it accepts."""
    engine = _pick_engine(deployment, rng)
    engine.rate_limit = rng.uniform(MIN_RATE, MAX_RATE)
    await anyio.sleep(rng.uniform(MIN_LIMITED_S, MAX_LIMITED_S))
    engine.rate_limit = None


@FAULTS.register("engine says it leaves")
async def leave_by_response(
    deployment: SoakDeployment, rng: random.Random
) -> None:
    """An engine says in its responses that it leaves, and ends later."""
    engine = _pick_engine(deployment, rng)
    engine.says_leaving = True
    await anyio.sleep(2 * LEAVING_NOTICE_S)
    engine.crash()
    await _wait_duration(rng)
    await deployment.replace_engine(engine)


@FAULTS.register("engine asks for time")
async def pause_engine(deployment: SoakDeployment, rng: random.Random) -> None:
    """An engine refuses all requests for some time and asks for a pause."""
    engine = _pick_engine(deployment, rng)
    # The header has one digit behind the point.
    engine.pause_s = round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 1)
    await _wait_duration(rng)
    engine.pause_s = 0.0


@FAULTS.register("store restored")
async def restore_store(deployment: SoakDeployment, rng: random.Random) -> None:
    """The store is away for a moment and comes back from an older copy."""
    copy = deployment.store.memory.make_copy()
    await _wait_duration(rng)
    faults = deployment.store.faults
    with deployment.record_outage(STORE):
        faults.status = 503
        await anyio.sleep(rng.uniform(0, MIN_DURATION_S))
        deployment.store.restore(copy)
        faults.status = 0
        await anyio.sleep(rng.uniform(0, MIN_DURATION_S))
        await deployment.rewrite_entries()
    await anyio.sleep(ENTRY_EXPIRY_S)
    await deployment.remove_expired_entries()


@FAULTS.register("cut gateways")
async def cut_gateways(deployment: SoakDeployment, rng: random.Random) -> None:
    """Some gateways, or all but one, are cut off from all engines."""
    count = rng.choice((1, 2, len(deployment.gateways) - 1))
    cut = rng.sample(
        deployment.gateways, min(count, len(deployment.gateways) - 1)
    )
    numbers = [deployment.gateways.index(gateway) for gateway in cut]
    with deployment.record_outage(*numbers):
        for gateway in cut:
            deployment.cut_off(gateway, rng.choice(cutgateway.KINDS))
        await anyio.sleep(rng.uniform(MIN_DURATION_S, 2 * MAX_DURATION_S))
        for gateway in cut:
            deployment.cut_off(gateway, "")


@FAULTS.register("fatal part")
async def send_fatal_part(
    deployment: SoakDeployment, rng: random.Random
) -> None:
    """Some callers send a part of a prompt that crashes each engine."""
    context = deployment.engine_context
    context.sends_fatal_part = True
    await anyio.sleep(rng.uniform(MIN_LIMITED_S, MAX_LIMITED_S))
    context.sends_fatal_part = False


@FAULTS.register("configuration")
async def change_configuration(
    deployment: SoakDeployment, rng: random.Random
) -> None:
    """Publishes new configuration versions with changed API keys."""
    for _ in range(rng.randrange(1, REPEAT_COUNT + 1)):
        deployment.version += rng.randrange(1, 4)
        deployment.keys["b"] = f"key-b-{deployment.version}"
        await deployment.publish_configuration()
        await anyio.sleep(rng.uniform(0, MIN_DURATION_S))


@FAULTS.register("pause")
async def pause_gateway(deployment: SoakDeployment, rng: random.Random) -> None:
    """A gateway's process is paused for a while and continued."""
    gateway = _pick_gateway(deployment, rng)
    with deployment.record_outage(deployment.gateways.index(gateway)):
        deployment.signal(gateway, signal.SIGSTOP)
        await _wait_duration(rng)
        deployment.signal(gateway, signal.SIGCONT)


@FAULTS.register("restart")
async def restart_gateway(
    deployment: SoakDeployment, rng: random.Random
) -> None:
    """A gateway gets SIGTERM, maybe further signals, and is restarted."""
    gateway = _pick_gateway(deployment, rng)
    with deployment.record_outage(deployment.gateways.index(gateway)):
        deployment.signal(gateway, signal.SIGTERM)
        for _ in range(rng.randrange(REPEAT_COUNT)):
            deployment.signal(gateway, rng.choice(STOP_SIGNALS))
            await anyio.sleep(rng.uniform(0, MIN_DURATION_S))
        await deployment.restart_after_exit(
            gateway, rng.uniform(0, MAX_DURATION_S)
        )


@FAULTS.register("rolling restart")
async def restart_rolling(
    deployment: SoakDeployment, rng: random.Random
) -> None:
    """All gateways are stopped and restarted, one after another."""
    for gateway in list(deployment.gateways):
        with deployment.record_outage(deployment.gateways.index(gateway)):
            deployment.signal(gateway, signal.SIGTERM)
            await deployment.restart_after_exit(
                gateway, rng.uniform(0, MIN_DURATION_S)
            )


@FAULTS.register("all killed")
async def kill_all(deployment: SoakDeployment, rng: random.Random) -> None:
    """All gateways are killed at the same time and restarted."""
    with deployment.record_outage(*range(len(deployment.gateways))):
        async with anyio.create_task_group() as tasks:
            for gateway in deployment.gateways:
                deployment.signal(gateway, signal.SIGKILL)
                pause_s = rng.uniform(0, MIN_DURATION_S)
                tasks.start_soon(
                    deployment.restart_after_exit, gateway, pause_s
                )


@FAULTS.register("settings")
async def change_settings(
    deployment: SoakDeployment, rng: random.Random
) -> None:
    """The settings file changes repeatedly, with or without SIGHUP."""
    gateway = _pick_gateway(deployment, rng)
    for _ in range(REPEAT_COUNT):
        deployment.write_settings(gateway, memory_mb=rng.randrange(180, 230))
        if rng.random() < 0.7:
            deployment.signal(gateway, signal.SIGHUP)
        await anyio.sleep(rng.uniform(0, MIN_DURATION_S))
    deployment.write_settings(gateway)
    deployment.signal(gateway, signal.SIGHUP)


@DATA_CENTER_FAULTS.register("evacuation")
async def evacuate_data_centers(
    deployment: SoakDeployment, rng: random.Random
) -> None:
    """One or two data centres are evacuated, maybe with a gateway's fault."""
    zones = rng.sample(sorted(deployment.layout.regions), rng.choice((1, 1, 2)))
    faults = (pause_gateway, disturb_store_link, restart_gateway)
    has_gateway_fault = rng.random() < GATEWAY_FAULT_SHARE
    async with anyio.create_task_group() as tasks:
        if has_gateway_fault:
            tasks.start_soon(rng.choice(faults), deployment, rng)
            await anyio.sleep(rng.uniform(0, MIN_DURATION_S))
        for zone in zones:
            duration_s = rng.uniform(MIN_EVACUATION_S, MAX_EVACUATION_S)
            tasks.start_soon(deployment.evacuate, zone, duration_s)


@DATA_CENTER_FAULTS.register("cold data center")
async def restart_data_center(
    deployment: SoakDeployment, rng: random.Random
) -> None:
    """The engines of one data centre crash together and come back cold."""
    zone = rng.choice(sorted(deployment.layout.regions))
    engines = [e for e in deployment.engines if e.data_center == zone]
    for engine in engines:
        engine.crash()
    await anyio.sleep(rng.uniform(MIN_RESTART_S, MAX_RESTART_S))
    async with anyio.create_task_group() as tasks:
        for engine in engines:
            restart = functools.partial(
                deployment.restart_cold,
                engine,
                keeps_id=rng.random() < 0.5,
                pause_s=rng.uniform(0, MIN_DURATION_S),
            )
            tasks.start_soon(restart)
