"""Counts the load of all gateways at each endpoint.

Every gateway announces a placed request to the others at once, so all decide
from nearly the same counts without a query. This handles bursts that reach
several gateways: without shared counts they would choose the same endpoints.
"""

import attrs

from rhubarbwinch.gateway.decisions.enginespeeds import EngineSpeeds
from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.messages import EndpointLoad

# The loads of a gateway that is silent for this time are dropped. It has died,
# or at least announces no further requests.
PEER_SILENCE_MS = 4_000


@attrs.define
class Load:
    """The sum of requests at one endpoint.

    Attributes:
        runs: The number of requests, migrated copies included.
        tokens: The KV cache that requests and copies are expected to need, in
            tokens.
        prefill: Prompt tokens whose prefill is pending.
    """

    runs: int = 0
    tokens: int = 0
    prefill: int = 0

    def add(self, runs: int, tokens: int, prefill: int) -> None:
        """Adds requests, or subtracts them by negative numbers."""
        self.runs += runs
        self.tokens += tokens
        self.prefill += prefill


@attrs.define
class _PeerLoads:
    """The loads that a peer has announced last."""

    sequence: tuple[int, int]
    at_ms: int
    loads: list[EndpointLoad]


class LoadTracker:
    """Counts the requests of this gateway and its peers at each endpoint.

    Attributes:
        version: Increases with each change that peers must receive at once.
        speeds: The speeds of engines, which gateways tell with their loads.
    """

    def __init__(self) -> None:
        self.version = 0
        self.speeds = EngineSpeeds()
        self._own: dict[str, Load] = {}
        self._plain_calls: dict[str, int] = {}
        self._last_by_peer: dict[str, _PeerLoads] = {}
        self._peer_totals: dict[str, Load] = {}

    def add(
        self, endpoint: str, tokens: int, prefill: int = 0, runs: int = 1
    ) -> None:
        """Counts a request that this gateway places.

        Args:
            endpoint: The endpoint's id.
            tokens: The KV cache that the request is expected to need, in
                tokens.
            prefill: Prompt tokens to be prefilled.
            runs: 0 for a standby's replica, which only occupies KV cache.
        """
        self._own.setdefault(endpoint, Load()).add(runs, tokens, prefill)
        self.version += 1

    def add_unannounced(self, endpoint: str, runs: int) -> None:
        """Counts plain calls, or subtracts ended ones.

        Plain calls are not announced to peers, since a plain call ends in
        about the time that an announcement takes to have an effect.
        """
        self._plain_calls[endpoint] = self._plain_calls.get(endpoint, 0) + runs

    def own_plain_calls(self, endpoint: str) -> int:
        """Returns the number of this gateway's plain calls at an endpoint."""
        return self._plain_calls.get(endpoint, 0)

    def end_prefill(self, endpoint: str, prefill: int) -> None:
        """Records that a request's prefill has ended."""
        load = self._own.get(endpoint)
        if load is not None:
            # Peers receive this with the next regular heartbeat: prefill is so
            # short that an extra message would not pay.
            load.prefill -= prefill

    def remove(
        self, endpoint: str, tokens: int, prefill: int = 0, runs: int = 1
    ) -> None:
        """Subtracts a request that `add` has counted."""
        load = self._own.get(endpoint)
        if load is None:
            return
        load.add(-runs, -tokens, -prefill)
        if load.runs <= 0 and load.tokens <= 0:
            del self._own[endpoint]
        self.version += 1

    def own_loads(self) -> list[EndpointLoad]:
        """Returns the loads of this gateway, for its peers."""
        return [
            EndpointLoad(
                name,
                load.runs,
                load.tokens,
                load.prefill,
                self.speeds.reported(name),
            )
            for name, load in self._own.items()
        ]

    def own_runs(self, endpoint: str) -> int:
        """Returns the number of this gateway's requests at an endpoint."""
        load = self._own.get(endpoint)
        return load.runs if load is not None else 0

    def receive(
        self,
        peer: str,
        sequence: tuple[int, int],
        loads: list[EndpointLoad],
        now_ms: int,
    ) -> None:
        """Replaces the loads of a peer; an outdated message is ignored."""
        last = self._last_by_peer.get(peer)
        if last is not None and last.sequence >= sequence:
            return
        self._last_by_peer[peer] = _PeerLoads(sequence, now_ms, loads)
        before = last.loads if last is not None else []
        if before != loads:
            self._add_peer_loads(before, -1)
            self._add_peer_loads(loads, 1)
        for load in loads:
            if load.event_ms:
                self.speeds.receive(peer, load.endpoint, load.event_ms, now_ms)

    def refresh(self, peer: str, now_ms: int) -> None:
        """Records that a peer is alive and that its loads are unchanged."""
        last = self._last_by_peer.get(peer)
        if last is not None:
            last.at_ms = now_ms

    def drop_silent_peers(self, now_ms: int) -> None:
        """Drops the loads of gateways that have become silent."""
        silent = [
            peer
            for peer, last in self._last_by_peer.items()
            if now_ms - last.at_ms > PEER_SILENCE_MS
        ]
        for peer in silent:
            self._add_peer_loads(self._last_by_peer.pop(peer).loads, -1)
            self.speeds.forget_peer(peer)

    def total(self, endpoint: str) -> Load:
        """Returns the load of all gateways at an endpoint."""
        load_sum = Load(self._plain_calls.get(endpoint, 0))
        for load in (self._own.get(endpoint), self._peer_totals.get(endpoint)):
            if load is not None:
                load_sum.add(load.runs, load.tokens, load.prefill)
        return load_sum

    def _add_peer_loads(self, loads: list[EndpointLoad], sign: int) -> None:
        """Adds a peer's loads to the sum of all peers, or subtracts them."""
        for load in loads:
            total_load = self._peer_totals.setdefault(load.endpoint, Load())
            total_load.add(
                sign * load.runs, sign * load.tokens, sign * load.prefill
            )
            if total_load == Load():
                del self._peer_totals[load.endpoint]


@attrs.define(eq=False)
class Reservation:
    """Capacity reserved at an engine, counted by all gateways until released.

    Attributes:
        endpoint: The engine.
        tokens: The KV cache expected to be needed, in tokens.
        prefill: Prompt tokens whose prefill is pending.
        runs: 0 for a standby's replica, which only occupies KV cache.
    """

    endpoint: Endpoint
    tokens: int
    prefill: int
    runs: int
    _loads: LoadTracker
    _is_held: bool = False

    def reserve(self) -> "Reservation":
        """Counts the reservation; returns it."""
        self._loads.add(self.endpoint.id, self.tokens, self.prefill, self.runs)
        self._is_held = True
        return self

    def end_prefill(self) -> None:
        """Records that the prefill has ended."""
        if self._is_held and self.prefill:
            self._loads.end_prefill(self.endpoint.id, self.prefill)
            self.prefill = 0

    def release(self) -> None:
        """Releases the reservation, if it is held."""
        if self._is_held:
            self._is_held = False
            self._loads.remove(
                self.endpoint.id, self.tokens, self.prefill, self.runs
            )
