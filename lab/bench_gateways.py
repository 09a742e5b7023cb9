"""Measures the cost of gateways by their number.

`python -m lab.bench_gateways` prints, for each number of gateways, their
processor time and store calls while idle and while serving the callers of the
soak test without faults.
"""

import argparse
import pathlib
import random
import sys
import tempfile

import anyio
import attrs

from lab.soak.deployment import SoakDeployment
from lab.soak.run import make_callers

# All gateways start together and share the cores, so the wait grows with their
# number. SETTLE_S is added for the start of the last one.
START_S_PER_GATEWAY = 0.3
SETTLE_S = 5.0
ENGINES = 8


@attrs.frozen
class Usage:
    """The resources used in a period.

    Attributes:
        requests: Requests served per second.
        cores: Processor time per gateway, as a share of a core.
        store_calls: Store calls per second of all gateways.
    """

    requests: float
    cores: float
    store_calls: float

    def __str__(self) -> str:
        return (
            f"{self.requests:.0f} requests/s, {100 * self.cores:.1f}% of a "
            f"core each, {self.store_calls:.1f} store calls/s"
        )


async def measure(
    gateways: int, callers: int, duration_s: float, folder: pathlib.Path
) -> list[Usage]:
    """Returns the usage of gateways while idle and while serving callers."""
    deployment = SoakDeployment(folder, random.Random(1), gateways, ENGINES)
    try:
        async with anyio.create_task_group() as tasks:
            await deployment.start(tasks)
            await anyio.sleep(START_S_PER_GATEWAY * gateways + SETTLE_S)
            idle = await _measure_usage(deployment, 0, duration_s)
            busy = await _measure_usage(deployment, callers, duration_s)
            tasks.cancel_scope.cancel()
    finally:
        deployment.stop()
    return [idle, busy]


async def _measure_usage(
    deployment: SoakDeployment, count: int, duration_s: float
) -> Usage:
    cpu, calls = _cpu_s(deployment), len(deployment.store.calls)
    served_before = _served(deployment)
    callers = make_callers(deployment, random.Random(1), count)
    async with anyio.create_task_group() as tasks:
        for caller in callers:
            tasks.start_soon(caller.run)
        await anyio.sleep(duration_s)
        usage = Usage(
            (_served(deployment) - served_before) / duration_s,
            (_cpu_s(deployment) - cpu) / duration_s / len(deployment.gateways),
            (len(deployment.store.calls) - calls) / duration_s,
        )
        for caller in callers:
            caller.is_stopping = True
    return usage


def _cpu_s(deployment: SoakDeployment) -> float:
    return sum(deployment.cpu_s(gateway) for gateway in deployment.gateways)


def _served(deployment: SoakDeployment) -> int:
    return sum(a.status == 200 for a in deployment.records.attempts)


def main() -> None:
    """Measures each number of gateways and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateways", default="4,33,100")
    parser.add_argument("--callers", type=int, default=60)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    for number in map(int, options.gateways.split(",")):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            idle, busy = anyio.run(
                measure, number, options.callers, options.seconds, folder
            )
        sys.stdout.write(f"{number} gateways, idle: {idle}\n")
        sys.stdout.write(f"{number} gateways, busy: {busy}\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
