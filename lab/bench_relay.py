"""Compares the relay of an entry with a minimal relay, `lab.bare_relay`.

Processor time is that of the relay's own process, so other load on the machine
has little effect. `--quick` runs two of the loads.
"""

import argparse
import os
import subprocess
import sys
import time

import attrs
import httpx
import orjson

from tests import builders
from tests.fleet import Fleet
from tests.helpers import ROOT, free_address, wait_until

TARGET_PER_CORE = 26_500
WARM_UP = (50, 50, 2)
REQUESTS = 1000
# All engine records point to the one token source. Their number gives
# admission enough capacity for every stream.
ENGINES = 64
WAIT_MS = 10_000
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@attrs.frozen
class Load:
    """A load on the relay.

    Attributes:
        name: The name in the table.
        streams: The number of concurrent streams.
        length: The number of tokens per stream.
        gap_ms: The time between two tokens of a stream; 0 sends unpaced.
    """

    name: str
    streams: int
    length: int
    gap_ms: int


LOADS = [
    Load("100 streams, half load", 100, 400, 8),
    Load("1,000 streams, half load", 1000, 60, 75),
    Load("100 streams, full load", 100, 800, 4),
    Load("1,000 streams, full load", 1000, 120, 38),
    Load("100 streams, unpaced", 100, 800, 0),
    Load("1,000 streams, unpaced", 1000, 80, 0),
]


@attrs.frozen
class Row:
    """The measurements of one relay under one load."""

    relay: str
    load: str
    tokens: int
    errors: int
    us_a_token: float
    tokens_a_core: int
    delay_p50_ms: float
    delay_p95_ms: float
    first_p95_ms: float
    stream_bytes: int


class BenchFleet(Fleet):
    """A deployment with `lab.token_source` as its engine."""

    def start_engine(self, name: str, address: str) -> None:
        """Starts the token source."""
        self.start(name, "lab.token_source", "--listen", address)

    def records(self) -> list[builders.Record]:
        """Returns records with enough capacity for every stream."""
        engines = [
            builders.endpoint(f"engine-{i}", self.engines[0])
            for i in range(ENGINES)
        ]
        return [
            builders.model(),
            builders.pool("vintner", engines, max_running=4096),
            builders.generate_service(wait_ms=WAIT_MS),
            builders.account(
                room={"requests": 10_000, "tokens": 1_000_000_000}
            ),
        ]


def _cpu_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def _resident_bytes(pid: int) -> int:
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def _start_callers(address: str, load: Load) -> subprocess.Popen[bytes]:
    arguments = ["--address", address, "--key", builders.API_KEY]
    arguments += ["--streams", str(load.streams), "--length", str(load.length)]
    arguments += ["--gap-ms", str(load.gap_ms)]
    return subprocess.Popen(
        [sys.executable, "-m", "lab.stream_client", *arguments],
        cwd=ROOT,
        env=dict(os.environ, PYTHONPATH=str(ROOT)),
        stdout=subprocess.PIPE,
    )


def _measure(relay: str, pid: int | None, address: str, load: Load) -> Row:
    """Runs a load against a relay, or without one if `pid` is None."""
    before = _cpu_s(pid) if pid else 0.0
    idle_bytes = _resident_bytes(pid) if pid else 0
    callers = _start_callers(address, load)
    peak_bytes = idle_bytes
    while callers.poll() is None:
        peak_bytes = max(peak_bytes, _resident_bytes(pid) if pid else 0)
        time.sleep(0.1)
    assert callers.stdout is not None
    report = orjson.loads(callers.stdout.read())
    cpu_s = (_cpu_s(pid) if pid else 0.0) - before
    us_per_token = cpu_s * 1e6 / max(1, report["tokens"])
    return Row(
        relay,
        load.name,
        report["tokens"],
        report["errors"],
        round(us_per_token, 1),
        int(1e6 / us_per_token) if us_per_token else 0,
        report["delay_p50_us"] / 1000,
        report["delay_p95_us"] / 1000,
        report["first_p95_us"] / 1000,
        (peak_bytes - idle_bytes) // load.streams,
    )


def _request_us(pid: int, address: str) -> float:
    """Returns the processor time per one-token request in us."""
    before = _cpu_s(pid)
    rounds = 10
    for _ in range(rounds):
        load = Load("requests", REQUESTS // rounds, 1, 0)
        _start_callers(address, load).communicate()
    return (_cpu_s(pid) - before) * 1e6 / REQUESTS


def _print_header() -> None:
    print(
        f"{'load':26} {'relay':7} {'tokens':>7} {'err':>4} {'us/token':>8} "
        f"{'tokens/s':>9} {'p50 ms':>7} {'p95 ms':>7} {'first95':>8} "
        f"{'B/stream':>9}"
    )


def _print_row(row: Row) -> None:
    print(
        f"{row.load:26} {row.relay:7} {row.tokens:7} {row.errors:4} "
        f"{row.us_a_token:8} {row.tokens_a_core:9} {row.delay_p50_ms:7.2f} "
        f"{row.delay_p95_ms:7.2f} {row.first_p95_ms:8.1f} "
        f"{row.stream_bytes:9}",
        flush=True,
    )


def _print_summary(rows: list[Row], request_us: float) -> None:
    by_key = {(row.relay, row.load): row for row in rows}
    for load in LOADS:
        entry = by_key.get(("entry", load.name))
        bare = by_key.get(("bare", load.name))
        direct = by_key.get(("direct", load.name))
        if entry is None or bare is None or direct is None:
            continue
        ratio = bare.us_a_token / entry.us_a_token
        delay = entry.delay_p95_ms - direct.delay_p95_ms
        first = entry.first_p95_ms - direct.first_p95_ms
        print(
            f"{load.name}: {entry.tokens_a_core} tokens/s on a core "
            f"(target {TARGET_PER_CORE}), {ratio:.2f} times the bare relay; "
            f"added at p95: token {delay:.2f} ms, first token {first:.1f} ms"
        )
    print(f"a request of one token: {request_us:.0f} us of processor time")


def main() -> None:
    """Runs the loads and prints the table; fails if a stream was wrong."""
    parser = argparse.ArgumentParser(description="Relay bench")
    parser.add_argument("--quick", action="store_true", help="two loads only")
    parser.add_argument("--no-bare", action="store_true")
    options = parser.parse_args()
    loads = LOADS[:3:2] if options.quick else LOADS
    rows = []
    with BenchFleet() as fleet:
        source = fleet.engines[0]
        bare = free_address()
        arguments = ("--listen", bare, "--target", source)
        fleet.start("bare", "lab.bare_relay", *arguments)
        wait_until(lambda: httpx.post(f"http://{bare}/x").text, "bare relay")
        entry, entry_pid = fleet.entries[0], fleet.pid("entry-0")
        relays = [("entry", entry_pid, entry)]
        if not options.no_bare:
            relays.append(("bare", fleet.pid("bare"), bare))
        for _, pid, address in relays:
            _measure("", pid, address, Load("", *WARM_UP))
        _print_header()
        for load in loads:
            targets: list[tuple[str, int | None, str]] = [*relays]
            if load.gap_ms and not options.no_bare:
                targets.insert(0, ("direct", None, source))
            for name, pid, address in targets:
                rows.append(_measure(name, pid, address, load))
                _print_row(rows[-1])
        request_us = _request_us(entry_pid, entry)
    _print_summary(rows, request_us)
    (ROOT / ".work" / "bench_relay.json").write_bytes(
        orjson.dumps(
            {
                "request_us": request_us,
                "rows": [attrs.asdict(row) for row in rows],
            }
        )
    )
    if any(row.errors for row in rows):
        sys.exit("a stream was incomplete or out of order")


if __name__ == "__main__":
    main()
