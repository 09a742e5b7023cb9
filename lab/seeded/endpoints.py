"""In-memory engines and plain services that fail at random."""

import random
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any

import attrs
import httpx
import orjson

from lab.seeded.records import Run, RunRecords
from rhubarbwinch.endpoints.endpointclient import EndpointClient
from rhubarbwinch.endpoints.relay import EventStream
from rhubarbwinch.http.sse import DONE_EVENT, StreamEvent
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import EndpointError, GenerationLostError

TOKEN_INTERVAL_MS = 40
STALL_MS = 1000
DOWNTIME_MS = 3000
CALL_STEP_MS = 20


@attrs.define
class Generation:
    """A generation that an engine holds."""

    name: str
    marker: str
    length: int
    started_ms: int
    cancelled: bool = False

    def event(self, index: int) -> StreamEvent:
        """Returns the event of a token; its text contains the marker."""
        finish = '"stop"' if index + 1 == self.length else "null"
        text = f"{self.marker}.{index} "
        data = (
            f'{{"choices":[{{"index":0,"text":"{text}",'
            f'"finish_reason":{finish}}}]}}'
        )
        raw = f"id: {self.name}:{index}\ndata: {data}\n\n"
        return StreamEvent(raw.encode())


@attrs.define
class Endpoint:
    """The state of an engine or a plain service.

    Attributes:
        name: The name of the endpoint.
        down_until_ms: Until this time it refuses connections.
        generations: The generations by id; lost when it is killed.
        call_count: The number of plain calls that it has run.
    """

    name: str
    down_until_ms: int = 0
    generations: dict[str, Generation] = attrs.field(factory=dict)
    call_count: int = 0


class EndpointSet:
    """All endpoints of a seeded run by address.

    Args:
        clock: The source of time.
        rng: Draws faults and lengths.
        records: Runs are recorded here.
        addresses: The endpoints' names by address.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        records: RunRecords,
        addresses: dict[str, str],
    ) -> None:
        self.fault_rate = 0.0
        self._clock = clock
        self._rng = rng
        self._records = records
        self._endpoints = {
            address: Endpoint(name) for address, name in addresses.items()
        }

    def kill(self, address: str) -> None:
        """Drops an endpoint's generations and takes it down for DOWNTIME_MS."""
        endpoint = self._endpoints[address]
        endpoint.down_until_ms = self._clock.now() + DOWNTIME_MS
        endpoint.generations.clear()

    def draw_fault(self) -> bool:
        """Returns whether a fault happens now."""
        return self._rng.random() < self.fault_rate

    def get_live(self, address: str) -> Endpoint:
        """Returns an endpoint that is up.

        Raises:
            EndpointError: The endpoint is down; nothing was sent.
        """
        endpoint = self._endpoints[address]
        if self._clock.now() < endpoint.down_until_ms:
            raise EndpointError("connection refused", sent=False)
        return endpoint

    async def start(
        self, address: str, body: bytes, name: str
    ) -> "tuple[Endpoint, Generation]":
        """Starts a generation."""
        endpoint = self.get_live(address)
        if self.draw_fault():
            raise EndpointError("status 503", sent=False)
        marker = orjson.loads(body)["prompt"]
        length = self._rng.randint(1, 40)
        generation = Generation(name, marker, length, self._clock.now())
        endpoint.generations[name] = generation
        self._records.runs.append(Run(endpoint.name, marker, "", length, name))
        if self.draw_fault():
            raise EndpointError("the connection broke", sent=True)
        return endpoint, generation

    async def read(
        self, endpoint: Endpoint, generation: Generation, index: int
    ) -> EventStream:
        """Yields the events of a generation as they arrive, with faults."""
        while True:
            await self._clock.sleep(TOKEN_INTERVAL_MS)
            stored = endpoint.generations.get(generation.name)
            if stored is None or generation.cancelled:
                raise EndpointError("the connection broke", sent=True)
            ready = (
                self._clock.now() - generation.started_ms
            ) // TOKEN_INTERVAL_MS
            last = min(ready, generation.length)
            arrived = [generation.event(i) for i in range(index, last)]
            index = max(index, last)
            if index == generation.length:
                arrived.append(StreamEvent(DONE_EVENT))
            if self.draw_fault():
                arrived = await self._apply_fault(arrived, generation)
            if arrived:
                yield arrived
            if index == generation.length:
                return

    async def _apply_fault(
        self, arrived: list[StreamEvent], generation: Generation
    ) -> list[StreamEvent]:
        """Applies a random fault to the arrived events of a stream."""
        choice = self._rng.randrange(5)
        if choice == 0:
            raise EndpointError("the connection broke", sent=True)
        if choice == 1:
            await self._clock.sleep(STALL_MS)
            raise EndpointError("no byte for too long", sent=True)
        if choice == 2:
            return [event for event in arrived for _ in range(2)]
        if choice == 3:
            return arrived[1:]
        foreign = Generation(
            "other~engine", "foreign", 9, generation.started_ms
        )
        return [*arrived, foreign.event(generation.length + 1)]

    async def run_call(
        self, address: str, method: str, body: bytes, key: str
    ) -> httpx.Response:
        """Runs a plain call."""
        endpoint = self.get_live(address)
        if self.draw_fault():
            raise EndpointError("status 503", sent=False)
        await self._clock.sleep(CALL_STEP_MS)
        endpoint.call_count += 1
        marker = orjson.loads(body)["marker"]
        number = endpoint.call_count
        self._records.runs.append(Run(endpoint.name, marker, key, number))
        await self._clock.sleep(CALL_STEP_MS)
        if self.draw_fault():
            raise EndpointError("the connection broke", sent=True)
        response_body = {"number": number, "key": key, "marker": marker}
        return httpx.Response(200, json=response_body)


class SeededEndpoints(EndpointClient):
    """The endpoint client of one program; its calls fail after a kill.

    Args:
        endpoint_set: The endpoints of the run.
    """

    def __init__(self, endpoint_set: EndpointSet) -> None:
        # The base class's HTTP client is not created: there is no network.
        self.is_killed = False
        self._endpoint_set = endpoint_set

    async def close(self) -> None:
        """Does nothing; there are no connections."""

    def start(
        self,
        address: str,
        path: str,
        body: bytes,
        generation: str,
        priority: int,
    ) -> AbstractAsyncContextManager[EventStream]:
        """Starts a generation; the returned context yields its events."""
        del path, priority  # Without effect here.
        return self._start(address, body, generation)

    @asynccontextmanager
    async def _start(
        self, address: str, body: bytes, generation: str
    ) -> AsyncIterator[EventStream]:
        self._check_not_killed()
        endpoint, started = await self._endpoint_set.start(
            address, body, generation
        )
        yield self._endpoint_set.read(endpoint, started, 0)

    @asynccontextmanager
    async def resume(
        self, address: str, generation: str, index: int
    ) -> AsyncIterator[EventStream]:
        """Resumes reading a generation at a token index."""
        self._check_not_killed()
        endpoint = self._endpoint_set.get_live(address)
        stored = endpoint.generations.get(generation)
        if stored is None:
            raise GenerationLostError("status 404")
        yield self._endpoint_set.read(endpoint, stored, index)

    async def cancel(self, address: str, generation: str) -> None:
        """Cancels a generation; does nothing if the endpoint is down."""
        if self.is_killed:
            return
        try:
            endpoint = self._endpoint_set.get_live(address)
        except EndpointError:
            return
        stored = endpoint.generations.pop(generation, None)
        if stored is not None:
            stored.cancelled = True

    async def set_priority(
        self, address: str, generation: str, priority: int
    ) -> None:
        """Does nothing; priorities have no effect here."""

    async def call(
        self, method: str, url: str, body: bytes, headers: dict[str, str]
    ) -> httpx.Response:
        """Calls a plain service."""
        self._check_not_killed()
        address = url.removeprefix("http://").partition("/")[0]
        key = headers.get("idempotency-key", "")
        return await self._endpoint_set.run_call(address, method, body, key)

    async def read_json(self, url: str) -> Any:
        """Returns the load report of an engine."""
        self._check_not_killed()
        address = url.removeprefix("http://").partition("/")[0]
        stored = self._endpoint_set.get_live(address).generations
        return {
            "age_ms": 0,
            "running": len(stored),
            "waiting": 0,
            "used_tokens": 100 * len(stored),
            "capacity_tokens": 100_000,
            "step_ms": TOKEN_INTERVAL_MS,
            "preemptions": 0,
        }

    def _check_not_killed(self) -> None:
        if self.is_killed:
            raise EndpointError("the program was killed", sent=False)
