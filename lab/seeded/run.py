"""One seeded run: callers under faults, recovery, probes and checks."""

import anyio
import attrs

from lab.seeded.callers import Caller
from lab.seeded.check import find_violations
from lab.seeded.deployment import (
    ENGINES,
    PLAIN_ENDPOINTS,
    Program,
    SimulatedDeployment,
)
from lab.seeded.records import Attempt, End, RequestKind
from rhubarbwinch.http.sse import DONE_EVENT
from rhubarbwinch.shared.registry import Registry

ENTRIES = 3
BROKERS = 2
REQUESTS = 60
MEAN_ARRIVAL_MS = 250
FAULT_INTERVAL_MS = 900
STEP_MS = 20
RECOVERY_MS = 12_000
PROBES = 6
ENDPOINT_FAULT_RATE = 0.03
KIND_CHOICES = [
    RequestKind.STREAM,
    RequestKind.STREAM,
    RequestKind.BOOKING,
    RequestKind.WHOLE,
    RequestKind.LOOKUP,
]


@attrs.frozen
class Report:
    """The result of a seeded run.

    Attributes:
        seed: The seed.
        requests: The number of requests that callers sent.
        settled: The number of requests whose last attempt was answered.
        fault_count: The number of injected faults.
        violations: A line for each violated guarantee.
        faults: The faults with their times.
    """

    seed: int
    requests: int
    settled: int
    fault_count: int
    violations: list[str]
    faults: list[str]


class Injector:
    """Injects random faults, each of which ends by itself.

    Args:
        deployment: The deployment to inject faults into.
    """

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        self.is_active = True

    async def run(self) -> None:
        """Injects faults, sometimes two at a time, while `is_active` is set."""
        deployment = self._deployment
        async with anyio.create_task_group() as tasks:
            while True:
                wait_ms = deployment.rng.randint(
                    FAULT_INTERVAL_MS // 3, FAULT_INTERVAL_MS * 2
                )
                await deployment.clock.sleep(wait_ms)
                if not self.is_active:
                    return
                for _ in range(deployment.rng.choice([1, 1, 2])):
                    name = deployment.rng.choice(list(FAULTS))
                    deployment.records.faults.append(
                        f"{deployment.clock.now()} {name}"
                    )
                    tasks.start_soon(FAULTS.get(name), deployment)


FAULTS: Registry = Registry("fault")


def _pick_program(
    deployment: SimulatedDeployment, programs: dict[str, Program]
) -> str | None:
    """Returns a random live program's name; None if only one is left."""
    alive = sorted(name for name, p in programs.items() if not p.is_killed)
    return deployment.rng.choice(alive) if len(alive) > 1 else None


@FAULTS.register("kill-entry")
async def _kill_entry(deployment: SimulatedDeployment) -> None:
    name = _pick_program(deployment, deployment.entries)
    if name is not None:
        deployment.kill(deployment.entries[name])
        await deployment.clock.sleep(deployment.rng.randint(200, 3000))
        deployment.start_entry(name)


@FAULTS.register("kill-broker")
async def _kill_broker(deployment: SimulatedDeployment) -> None:
    name = _pick_program(deployment, deployment.brokers)
    if name is not None:
        deployment.kill(deployment.brokers[name])
        await deployment.clock.sleep(deployment.rng.randint(200, 3000))
        deployment.start_broker(name)


@FAULTS.register("cut-links")
async def _cut_links(deployment: SimulatedDeployment) -> None:
    programs = deployment.entries | deployment.brokers
    name = _pick_program(deployment, programs)
    if name is None:
        return
    program = programs[name]
    deployment.disconnect(program)
    await deployment.clock.sleep(deployment.rng.randint(200, 3000))
    if not program.is_killed:
        deployment.reconnect(program)


@FAULTS.register("store-down")
async def _take_store_down(deployment: SimulatedDeployment) -> None:
    deployment.store.faults.down = True
    deployment.store.notify_watches()
    await deployment.clock.sleep(deployment.rng.randint(200, 4000))
    deployment.store.faults.down = False


@FAULTS.register("store-loses-answers")
async def _lose_answers(deployment: SimulatedDeployment) -> None:
    deployment.store.faults.lost_responses = deployment.rng.randint(1, 3)


@FAULTS.register("kill-engine")
async def _kill_engine(deployment: SimulatedDeployment) -> None:
    deployment.endpoint_set.kill(deployment.rng.choice(list(ENGINES)))


@FAULTS.register("kill-plain-endpoint")
async def _kill_plain_endpoint(deployment: SimulatedDeployment) -> None:
    deployment.endpoint_set.kill(deployment.rng.choice(list(PLAIN_ENDPOINTS)))


async def run_seed(seed: int) -> Report:
    """Runs a seed and checks its records."""
    async with anyio.create_task_group() as tasks:
        deployment = SimulatedDeployment(seed, tasks)
        await deployment.publish_configuration()
        for i in range(BROKERS):
            deployment.start_broker(f"broker-{i}")
        for i in range(ENTRIES):
            deployment.start_entry(f"entry-{i}")
        await deployment.clock.advance(2000)
        injector = Injector(deployment)
        deployment.endpoint_set.fault_rate = ENDPOINT_FAULT_RATE
        tasks.start_soon(injector.run)
        last_attempts: list[Attempt] = []
        await _call_all(deployment, tasks, last_attempts)
        injector.is_active = False
        deployment.endpoint_set.fault_rate = 0.0
        await _advance(deployment, RECOVERY_MS)
        violations = await _probe(deployment, tasks)
        violations += find_violations(deployment.records)
        settled = sum(a.end is End.ANSWERED for a in last_attempts)
        for program in [
            *deployment.entries.values(),
            *deployment.brokers.values(),
        ]:
            program.kill()
        tasks.cancel_scope.cancel()
    return Report(
        seed=seed,
        requests=len(last_attempts),
        settled=settled,
        fault_count=len(deployment.records.faults),
        violations=violations,
        faults=deployment.records.faults,
    )


async def _advance(deployment: SimulatedDeployment, ms: int) -> None:
    for _ in range(ms // STEP_MS):
        await deployment.clock.advance(STEP_MS)


async def _call_all(
    deployment: SimulatedDeployment,
    tasks: anyio.abc.TaskGroup,
    last_attempts: list[Attempt],
) -> None:
    """Starts all callers and waits until they have finished."""

    async def call(number: int) -> None:
        kind = deployment.rng.choice(KIND_CHOICES)
        last_attempts.append(await Caller(deployment, number, kind).run())

    for number in range(REQUESTS):
        tasks.start_soon(call, number)
        await _advance(
            deployment, deployment.rng.randint(0, 2 * MEAN_ARRIVAL_MS)
        )
    for _ in range(10):
        if len(last_attempts) < REQUESTS:
            await _advance(deployment, RECOVERY_MS)


async def _probe(
    deployment: SimulatedDeployment, tasks: anyio.abc.TaskGroup
) -> list[str]:
    """Checks that requests after the faults all succeed in RECOVERY_MS."""
    finished: list[Attempt] = []

    async def call(number: int) -> None:
        kind = KIND_CHOICES[number % len(KIND_CHOICES)]
        finished.append(await Caller(deployment, REQUESTS + number, kind).run())

    for number in range(PROBES):
        tasks.start_soon(call, number)
    await _advance(deployment, RECOVERY_MS)
    violations = [
        f"probe {a.request}: {a.kind} ended {a.end} {a.status} "
        f"{a.verdict} {a.body.decode()}"
        for a in finished
        if a.end is not End.ANSWERED and DONE_EVENT not in a.events
    ]
    if len(finished) < PROBES:
        violations.append(f"{PROBES - len(finished)} probes without a response")
        violations += [
            f"  {a.kind} at {a.entry}: {a.end} {a.status} {a.verdict} "
            f"{len(a.events)} events {a.body.decode()}"
            for a in deployment.records.attempts
            if a.request >= REQUESTS
        ]
    return violations
