"""Measures the cost to a broker of polling the load of an engine.

Starts the engine stand-in, polls its load and prints a JSON line with the
processor time of the broker's client and the bytes per poll.
"""

import argparse
import sys
import time

import anyio
import attrs
import httpx
import orjson

from lab.processes import Processes, free_address, wait_until
from rhubarbwinch.endpoints.endpointclient import EndpointClient

SILENCE_MS = 1000
READERS = 8


@attrs.frozen
class Cost:
    """The cost of a poll.

    Attributes:
        reads: The number of polls.
        cpu_us: Processor time of the client per poll.
        answer_bytes: The size of the response with its headers.
    """

    reads: int
    cpu_us: float
    answer_bytes: int


async def measure(address: str, count: int) -> Cost:
    """Returns the cost of polling the load of the engine at `address`."""
    url = f"http://{address}/load"
    client = EndpointClient(SILENCE_MS)
    await client.read_json(url)

    async def poll_many() -> None:
        for _ in range(count // READERS):
            await client.read_json(url)

    began = time.process_time()
    async with anyio.create_task_group() as tasks:
        for _ in range(READERS):
            tasks.start_soon(poll_many)
    cpu_s = time.process_time() - began
    await client.close()
    return Cost(count, round(cpu_s / count * 1e6, 1), _response_bytes(url))


def _response_bytes(url: str) -> int:
    response = httpx.get(url)
    head = sum(len(k) + len(v) + 4 for k, v in response.headers.raw)
    return head + len(response.content)


def main() -> None:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--reads", type=int, default=4000)
    count = parser.parse_args().reads
    address = free_address()
    with Processes() as processes:
        processes.start("engine", "lab.standins.engine", "--listen", address)
        wait_until(lambda: httpx.get(f"http://{address}/load"), "engine")
        cost = anyio.run(measure, address, count)
    sys.stdout.write(orjson.dumps(attrs.asdict(cost)).decode() + "\n")


if __name__ == "__main__":
    main()
