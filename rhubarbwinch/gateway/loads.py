"""What all gateways together have running at each endpoint.

Every gateway tells the others what it has placed as soon as it places it, so
all decide from nearly the same count without asking anyone. It answers bursts
at several gateways: without a common count they choose the same endpoints.
"""

import attrs

from rhubarbwinch.gateway.endpoints import Endpoint
from rhubarbwinch.gateway.messages import EndpointLoad

# Without news of a gateway for so long, its requests are taken as ended: it
# has died, or sends no more than those it has.
PEER_SILENCE_MS = 4_000


@attrs.define
class Load:
    """A sum of requests at one endpoint.

    Attributes:
        runs: Requests, copies of their memory included.
        tokens: Memory that they are expected to need, in tokens.
        prefill: Prompt tokens that are still to be read.
    """

    runs: int = 0
    tokens: int = 0
    prefill: int = 0

    def add(self, runs: int, tokens: int, prefill: int) -> None:
        """Adds requests, or takes them off."""
        self.runs += runs
        self.tokens += tokens
        self.prefill += prefill


@attrs.define
class _Told:
    """What a peer has told last."""

    sequence: tuple[int, int]
    at_ms: int
    loads: list[EndpointLoad]


class LoadBook:
    """Counts what runs where.

    Attributes:
        version: Changes with what this gateway has to tell its peers at once.
    """

    def __init__(self) -> None:
        self.version = 0
        self._own: dict[str, Load] = {}
        self._local: dict[str, int] = {}
        self._told: dict[str, _Told] = {}
        self._peers: dict[str, Load] = {}

    def add(
        self, endpoint: str, tokens: int, prefill: int = 0, runs: int = 1
    ) -> None:
        """Notes a request that this gateway places.

        Args:
            endpoint: The endpoint's id.
            tokens: Memory that the request is expected to need, in tokens.
            prefill: Prompt tokens that are to be read.
            runs: 0 for a copy that occupies memory only.
        """
        self._own.setdefault(endpoint, Load()).add(runs, tokens, prefill)
        self.version += 1

    def add_local(self, endpoint: str, runs: int) -> None:
        """Notes plain calls, or their end; peers are not told of them.

        A plain call ends in about the time in which peers could take it into
        account.
        """
        self._local[endpoint] = self._local.get(endpoint, 0) + runs

    def end_prefill(self, endpoint: str, prefill: int) -> None:
        """Notes that a request's prompt has been read."""
        load = self._own.get(endpoint)
        if load is not None:
            # Peers hear of it with the next heartbeat: a prompt is read in
            # less time than a message for it would save.
            load.prefill -= prefill

    def remove(
        self, endpoint: str, tokens: int, prefill: int = 0, runs: int = 1
    ) -> None:
        """Notes the end of a request that `add` noted."""
        load = self._own.get(endpoint)
        if load is None:
            return
        load.add(-runs, -tokens, -prefill)
        if load.runs <= 0 and load.tokens <= 0:
            del self._own[endpoint]
        self.version += 1

    def own(self) -> list[EndpointLoad]:
        """Returns what this gateway has running, for its peers."""
        return [
            EndpointLoad(name, load.runs, load.tokens, load.prefill)
            for name, load in self._own.items()
        ]

    def own_runs(self, endpoint: str) -> int:
        """Returns how many requests this gateway has at an endpoint."""
        load = self._own.get(endpoint)
        return load.runs if load is not None else 0

    def take(
        self,
        peer: str,
        sequence: tuple[int, int],
        loads: list[EndpointLoad],
        now_ms: int,
    ) -> None:
        """Takes what a peer tells; an older message than before is ignored."""
        told = self._told.get(peer)
        if told is not None and told.sequence >= sequence:
            return
        self._told[peer] = _Told(sequence, now_ms, loads)
        before = told.loads if told is not None else []
        if before != loads:
            self._count_peer(before, -1)
            self._count_peer(loads, 1)

    def forget_silent(self, now_ms: int) -> None:
        """Drops what gateways have told that are silent since."""
        silent = [
            peer
            for peer, told in self._told.items()
            if now_ms - told.at_ms > PEER_SILENCE_MS
        ]
        for peer in silent:
            self._count_peer(self._told.pop(peer).loads, -1)

    def total(self, endpoint: str) -> Load:
        """Returns what all gateways have running at an endpoint."""
        found = Load(self._local.get(endpoint, 0))
        for load in (self._own.get(endpoint), self._peers.get(endpoint)):
            if load is not None:
                found.add(load.runs, load.tokens, load.prefill)
        return found

    def _count_peer(self, loads: list[EndpointLoad], sign: int) -> None:
        """Adds what a peer has told to the sum of all, or takes it off."""
        for load in loads:
            here = self._peers.setdefault(load.endpoint, Load())
            here.add(sign * load.runs, sign * load.tokens, sign * load.prefill)
            if here == Load():
                del self._peers[load.endpoint]


@attrs.define(eq=False)
class Room:
    """Room at an engine, counted for all gateways until it is released.

    Attributes:
        endpoint: The engine.
        tokens: The memory that is expected to be needed, in tokens.
        prefill: Prompt tokens that are still to be read.
        runs: 0 for a copy that occupies memory only.
    """

    endpoint: Endpoint
    tokens: int
    prefill: int
    runs: int
    _loads: LoadBook
    _is_held: bool = False

    def hold(self) -> "Room":
        """Counts the room."""
        self._loads.add(self.endpoint.id, self.tokens, self.prefill, self.runs)
        self._is_held = True
        return self

    def end_prefill(self) -> None:
        """Notes that the prompt has been read."""
        if self._is_held and self.prefill:
            self._loads.end_prefill(self.endpoint.id, self.prefill)
            self.prefill = 0

    def release(self) -> None:
        """Counts the room no more."""
        if self._is_held:
            self._is_held = False
            self._loads.remove(
                self.endpoint.id, self.tokens, self.prefill, self.runs
            )
