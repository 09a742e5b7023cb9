"""Measures the permits per second that one core decides for one pool.

`python -m lab.bench_broker` runs `Admission` with 64 engines and 1,000 waiting
requests. It prints the time per permit (one submission, a share of the load
reports and one release) and the memory per open stream and per waiting request.
"""

import argparse
import random
import sys
import time
import tracemalloc

from hdrh.histogram import HdrHistogram

from lab.bench_traffic import ACCOUNT_WEIGHTS, ACCOUNTS, account_specs
from rhubarbwinch.admission.admission import Admission, Decision, LoadReport
from rhubarbwinch.links.messages import PermitRelease, PermitRequest, StreamEnd
from rhubarbwinch.records.records import EndpointSpec, PoolSpec
from rhubarbwinch.shared.clock import ManualClock

ENGINES = 64
QUEUED_REQUESTS = 1000
# The simulated rate: one permit every 300 us, the stated target.
PERMITS_PER_SECOND = 3300
LOAD_PERIOD_MS = 250
CAPACITY_TOKENS = 60_000
WARM_UP_PERMITS = 4000
MAX_US = 1_000_000


class BrokerBench:
    """A pool at full capacity where one stream ends for each that starts.

    Args:
        waiting: The number of queued requests to keep.
        seed: The seed of the generated requests.
    """

    def __init__(self, waiting: int, seed: int = 1) -> None:
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._names = [f"engine-{i}" for i in range(ENGINES)]
        spec = PoolSpec(
            "model",
            "dc",
            [EndpointSpec(name, "127.0.0.1:1") for name in self._names],
        )
        self.admission = Admission(
            spec, self._clock, random.Random(seed), account_specs()
        )
        self._running: list[str] = []
        self._number = 0
        self._queue_length = waiting
        self._now_ms = 0.0
        self._report_loads()
        self._fill_queue()

    @property
    def running(self) -> int:
        """The number of held permits."""
        return len(self._running)

    def replace_stream(self) -> None:
        """Advances the clock, ends a random stream and submits a request."""
        last_period = int(self._now_ms / LOAD_PERIOD_MS)
        self._now_ms += 1000 / PERMITS_PER_SECOND
        self._clock.set(int(self._now_ms))
        if int(self._now_ms / LOAD_PERIOD_MS) != last_period:
            self._report_loads()
        index = self._rng.randrange(len(self._running))
        self._running[index], self._running[-1] = (
            self._running[-1],
            self._running[index],
        )
        release = PermitRelease(
            self._running.pop(), "model.dc", StreamEnd.FINISHED, self._length()
        )
        self._record_grants(self.admission.release(release))
        self._record_grants(self.admission.submit(self._request()))
        if self.admission.queue_length < self._queue_length:
            # A queued request was granted; submit another to keep the number.
            self._record_grants(self.admission.submit(self._request()))

    def _fill_queue(self) -> None:
        while self.admission.queue_length < self._queue_length:
            self._record_grants(self.admission.submit(self._request()))

    def _record_grants(self, decisions: list[Decision]) -> None:
        granted = [d.request_id for d in decisions if d.reply.grant]
        self._running += granted

    def _length(self) -> int:
        return min(4000, int(self._rng.lognormvariate(5, 1)) + 1)

    def _request(self) -> PermitRequest:
        self._number += 1
        is_interactive = self._rng.random() < 0.8
        return PermitRequest(
            request_id=f"request-{self._number}",
            entry=f"entry-{self._number % 4}",
            pool="model.dc",
            account=self._rng.choices(ACCOUNTS, ACCOUNT_WEIGHTS)[0],
            service="short" if is_interactive else "long",
            interactive=is_interactive,
            prompt_tokens=self._rng.randrange(50, 800),
            max_tokens=4096,
            wait_ms=100_000_000,
        )

    def _report_loads(self) -> None:
        for name in self._names:
            report = LoadReport(
                name,
                self._clock.now(),
                running=30,
                used_tokens=self._rng.randrange(20_000, 50_000),
                capacity_tokens=CAPACITY_TOKENS,
                step_ms=self._rng.uniform(25, 35),
            )
            self.admission.apply_load_report(report)


def _measure(permits: int) -> None:
    bench = BrokerBench(QUEUED_REQUESTS)
    for _ in range(WARM_UP_PERMITS):
        bench.replace_stream()
    histogram = HdrHistogram(1, MAX_US, 3)
    began = time.process_time()
    for _ in range(permits):
        start = time.perf_counter_ns()
        bench.replace_stream()
        elapsed_us = (time.perf_counter_ns() - start) // 1000
        histogram.record_value(max(1, elapsed_us))
    cpu_s = time.process_time() - began
    p50, p99 = (histogram.get_value_at_percentile(p) for p in (50, 99))
    sys.stdout.write(
        f"{ENGINES} engines, {bench.running} streams, "
        f"{bench.admission.queue_length} waiting: "
        f"{permits / cpu_s:.0f} permits/s, "
        f"{cpu_s / permits * 1e6:.0f} us each, p50 {p50} us, p99 {p99} us\n"
    )


def _measure_memory() -> None:
    tracemalloc.start()
    small_bench = BrokerBench(1)
    base_bytes, streams = (
        tracemalloc.get_traced_memory()[0],
        small_bench.running,
    )
    large_bench = BrokerBench(QUEUED_REQUESTS)
    growth_bytes = tracemalloc.get_traced_memory()[0] - base_bytes
    stream_bytes = base_bytes / streams
    queued = (
        growth_bytes - stream_bytes * large_bench.running
    ) / QUEUED_REQUESTS
    sys.stdout.write(
        f"memory: {stream_bytes:.0f} bytes a stream with its request, "
        f"{queued:.0f} bytes a waiting request "
        f"({streams} and {large_bench.running} streams)\n"
    )


def main() -> None:
    """Measures time and memory and prints both."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--permits", type=int, default=20_000)
    options = parser.parse_args()
    _measure(options.permits)
    _measure_memory()


if __name__ == "__main__":
    main()
