"""Measures the cost of logging in a gateway.

`python -m lab.bench_logging` runs one gateway under the callers of the soak
test without faults, alternately at log levels info and error. It prints
processor time, log lines and log bytes per request.
"""

import argparse
import pathlib
import random
import statistics
import sys
import tempfile

import anyio
import attrs

from lab.soak.deployment import SoakDeployment
from lab.soak.run import make_callers

SETTLE_S = 2.0
CALLERS = 32


@attrs.frozen
class Cost:
    """The measurements of one run.

    Attributes:
        requests: The number of requests served.
        cpu_ms: Processor time per request.
        lines: Log lines per request.
        log_bytes: Log bytes per request.
    """

    requests: int
    cpu_ms: float
    lines: float
    log_bytes: float


async def measure(level: str, duration_s: float, folder: pathlib.Path) -> Cost:
    """Runs a gateway at a log level under the load of the soak test."""
    options = ("--log-level", level)
    deployment = SoakDeployment(folder, random.Random(1), 1, 3, options)
    log = folder / "g1.log"
    try:
        async with anyio.create_task_group() as tasks:
            await deployment.start(tasks)
            await anyio.sleep(SETTLE_S)
            gateway = deployment.gateways[0]
            cpu_before_s, log_size_before = (
                deployment.cpu_s(gateway),
                log.stat().st_size,
            )
            await _run_callers(deployment, duration_s)
            cpu_s = deployment.cpu_s(gateway) - cpu_before_s
            tasks.cancel_scope.cancel()
    finally:
        deployment.stop()
    written = log.read_bytes()[log_size_before:]
    count = sum(a.status == 200 for a in deployment.records.attempts)
    return Cost(
        count,
        1000 * cpu_s / count,
        written.count(b"\n") / count,
        len(written) / count,
    )


async def _run_callers(deployment: SoakDeployment, duration_s: float) -> None:
    callers = make_callers(deployment, random.Random(1), CALLERS)
    async with anyio.create_task_group() as tasks:
        for caller in callers:
            tasks.start_soon(caller.run)
        await anyio.sleep(duration_s)
        for caller in callers:
            caller.is_stopping = True


def main() -> None:
    """Alternates between the log levels and prints the medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    costs_by_level: dict[str, list[Cost]] = {"info": [], "error": []}
    for _ in range(options.rounds):
        for level, costs in costs_by_level.items():
            with tempfile.TemporaryDirectory() as name:
                folder = pathlib.Path(name)
                costs.append(anyio.run(measure, level, options.seconds, folder))
    for level, costs in costs_by_level.items():
        cpu = [cost.cpu_ms for cost in costs]
        sys.stdout.write(
            f"{level}: {statistics.median(cpu):.2f} ms of processor time a "
            f"request ({min(cpu):.2f} to {max(cpu):.2f}), "
            f"{costs[0].lines:.1f} lines and {costs[0].log_bytes:.0f} bytes a "
            f"request, {sum(c.requests for c in costs)} requests\n"
        )


if __name__ == "__main__":
    main()
