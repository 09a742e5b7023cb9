"""Reconciles endpoints with their desired state by sending them orders."""

import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext
from typing import Protocol

import anyio
import attrs
import httpx
import orjson

from rhubarbwinch.orders.desiredstate import (
    LoadedState,
    Order,
    OrderKind,
    desired_loads,
    orders_to_reach,
)
from rhubarbwinch.orders.fencing import Fencing, HoldState
from rhubarbwinch.records.acceptedconfig import ConfigSnapshot
from rhubarbwinch.records.records import EndpointSpec
from rhubarbwinch.shared import events, rendezvous
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import EndpointError, StoreError
from rhubarbwinch.shared.registry import Registry


class OrderClient(Protocol):
    """Sends orders to endpoints of one type; every call has a timeout."""

    async def read_state(self, address: str) -> LoadedState:
        """Returns an endpoint's actual state.

        Raises:
            EndpointError: The endpoint did not respond.
        """
        ...

    async def send(self, address: str, order: Order, fence: int) -> None:
        """Sends an order with its fencing number.

        Raises:
            EndpointError: The order was refused, or its outcome is unknown.
        """
        ...

    async def close(self) -> None:
        """Closes the connections."""
        ...


# Creates a context that ends the process if the block takes longer than the
# given number of milliseconds.
PauseGuard = Callable[[int], AbstractContextManager[None]]


@contextmanager
def _no_guard(_: int) -> Iterator[None]:
    yield


# Builds a client from the longest time from sending an order to its effect, in
# milliseconds.
ENGINE_ADAPTERS: Registry[Callable[[int], OrderClient]] = Registry(
    "engine adapter"
)


@ENGINE_ADAPTERS.register("http")
class HttpOrderClient:
    """Sends orders over HTTP: `POST /orders` and `GET /state`.

    Args:
        flight_ms: The longest time from sending an order to its effect.
    """

    def __init__(self, flight_ms: int) -> None:
        # Resetting the connection instead of closing it drops the data that
        # the kernel has not sent yet. So an order that timed out, or whose
        # sender died, is not delivered when a stalled connection recovers.
        reset_on_close = struct.pack("ii", 1, 0)
        options: list[tuple[int, int, int] | tuple[int, int, bytes]] = [
            (socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, flight_ms),
        ]
        transport = httpx.AsyncHTTPTransport(
            socket_options=options,
            limits=httpx.Limits(max_keepalive_connections=0),
        )
        self._flight_s = flight_ms / 1000
        self._client = httpx.AsyncClient(transport=transport)

    async def read_state(self, address: str) -> LoadedState:
        """Returns an endpoint's actual state."""
        response = await self._request("GET", f"http://{address}/state", b"")
        try:
            data = orjson.loads(response.content)
            return LoadedState(frozenset(data["loaded"]), str(data["role"]))
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            raise EndpointError(f"{address}: {error!r}", sent=True) from error

    async def send(self, address: str, order: Order, fence: int) -> None:
        """Sends an order with its fencing number."""
        body = orjson.dumps(attrs.asdict(order) | {"fence": fence})
        await self._request("POST", f"http://{address}/orders", body)

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.aclose()

    async def _request(
        self, method: str, url: str, body: bytes
    ) -> httpx.Response:
        try:
            with anyio.fail_after(self._flight_s):
                response = await self._client.request(method, url, content=body)
        except (httpx.HTTPError, TimeoutError) as error:
            raise EndpointError(f"{url}: {error!r}", sent=True) from error
        if response.status_code != httpx.codes.OK:
            text = f"{url}: status {response.status_code}"
            raise EndpointError(text, sent=True)
        return response


class LoadRateLimiter:
    """Limits the rate of load orders, since each reads from the weight store.

    Args:
        clock: The source of time.
        loads_per_minute: The highest rate for the whole deployment.
    """

    def __init__(self, clock: Clock, loads_per_minute: int) -> None:
        self._clock = clock
        self._loads_per_minute = loads_per_minute
        self._next_at = 0

    def try_acquire(self, control_count: int) -> bool:
        """Returns whether a load order may be sent now, and counts it if so.

        `control_count` processes divide the rate equally.
        """
        now = self._clock.now()
        if now < self._next_at:
            return False
        self._next_at = (
            now + 60_000 * max(1, control_count) // self._loads_per_minute
        )
        return True


class Reconciler:
    """Keeps the endpoints of the held pools in their desired state.

    Args:
        name: This member's name.
        fencing: Holds the pools and issues fencing numbers.
        client: Sends orders to endpoints.
        rate_limiter: Limits the rate of load orders.
        guard: Creates the context around the lease check and the send to an
            endpoint that ignores fencing numbers.
    """

    def __init__(
        self,
        name: str,
        fencing: Fencing,
        client: OrderClient,
        rate_limiter: LoadRateLimiter,
        guard: PauseGuard = _no_guard,
    ) -> None:
        self._name = name
        self._fencing = fencing
        self._client = client
        self._rate_limiter = rate_limiter
        self._guard = guard

    async def renew_and_acquire(
        self, snapshot: ConfigSnapshot, controls: list[str]
    ) -> None:
        """Renews the lease and acquires this member's pools.

        While the store is unavailable no pool is acquired, and the held pools
        are served until the lease expires.

        Args:
            snapshot: The active configuration.
            controls: The names of the controls that take new work.
        """
        try:
            await self._fencing.renew()
            await self._acquire_pools(snapshot, controls)
        except StoreError as error:
            events.STORE_DOWN.log(error=str(error))

    async def reconcile(
        self, snapshot: ConfigSnapshot, control_count: int
    ) -> None:
        """Sends the orders that the held pools need and the limits allow.

        Args:
            snapshot: The active configuration.
            control_count: The number of controls that divide the rate of loads.
        """
        for pool in self._fencing.held:
            spec = snapshot.pools.get(pool)
            if spec is None or self._fencing.state(pool) is not HoldState.HELD:
                continue
            loads = desired_loads(snapshot, spec.target)
            actual_states = await self._read_states(spec.endpoints)
            for endpoint in spec.endpoints:
                if endpoint.name in actual_states:
                    desired = LoadedState(loads, endpoint.role)
                    orders = orders_to_reach(
                        desired, actual_states[endpoint.name]
                    )
                    await self._send_all(pool, endpoint, orders, control_count)

    async def _acquire_pools(
        self, snapshot: ConfigSnapshot, controls: list[str]
    ) -> None:
        """Acquires the pools that rendezvous hashing assigns to this member.

        All other pools are released.
        """
        for pool, spec in sorted(snapshot.pools.items()):
            if spec.target not in snapshot.models:
                continue
            if rendezvous.owner(pool, controls) == self._name:
                await self._fencing.acquire(pool)
            else:
                await self._fencing.release(pool)

    async def _read_states(
        self, endpoints: list[EndpointSpec]
    ) -> dict[str, LoadedState]:
        """Returns the states by endpoint name, without failed endpoints."""
        actual_states: dict[str, LoadedState] = {}

        async def read(endpoint: EndpointSpec) -> None:
            try:
                state = await self._client.read_state(endpoint.address)
                actual_states[endpoint.name] = state
            except EndpointError as error:
                events.ORDER_FAILED.log(
                    endpoint=endpoint.name, error=str(error)
                )

        async with anyio.create_task_group() as tasks:
            for endpoint in endpoints:
                tasks.start_soon(read, endpoint)
        return actual_states

    async def _send_all(
        self,
        pool: str,
        endpoint: EndpointSpec,
        orders: list[Order],
        control_count: int,
    ) -> None:
        try:
            for order in orders:
                if not await self._send(pool, endpoint, order, control_count):
                    return
        except EndpointError as error:
            # The next round reads the state again and sends what is missing.
            events.ORDER_FAILED.log(endpoint=endpoint.name, error=str(error))

    async def _send(
        self,
        pool: str,
        endpoint: EndpointSpec,
        order: Order,
        control_count: int,
    ) -> bool:
        is_load = order.kind is OrderKind.LOAD
        if is_load and not self._rate_limiter.try_acquire(control_count):
            return False
        ms_left = self._fencing.ms_left
        needs_guard = not endpoint.checks_fencing and ms_left
        with self._guard(ms_left) if needs_guard else nullcontext():
            fence = self._fencing.fence_to_send(pool)
            if fence is None:
                return False
            await self._client.send(endpoint.address, order, fence)
            self._fencing.mark_settled(pool)
        events.ORDER_SENT.log(
            endpoint=endpoint.name,
            kind=order.kind,
            subject=order.subject,
            fence=fence,
        )
        return True
