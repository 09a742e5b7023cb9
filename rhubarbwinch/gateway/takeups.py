"""Finds where a stream began that a caller takes up again."""

from collections.abc import Iterator

import anyio

from rhubarbwinch.gateway.decisions.serviceversions import ServiceVersions
from rhubarbwinch.gateway.fleet import Fleet
from rhubarbwinch.gateway.messages import (
    OriginBatch,
    OriginCall,
    OriginReply,
    StreamOrigin,
)
from rhubarbwinch.gateway.peers import Peers
from rhubarbwinch.gateway.routes import Route
from rhubarbwinch.gateway.streamorigins import StreamOrigins
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.verdict import Failure, Reason, not_run

# A live peer replies within some milliseconds.
ORIGIN_TIMEOUT_MS = 250
# A batch of this many origins fits into a datagram.
BATCH_SIZE = 12
RETRY_AFTER_MS = 300


class TakeUps:
    """Records the origins of streams, and finds them with the other gateways.

    Args:
        origins: The origins that this gateway knows.
        peers: The other gateways.
        fleet: The known endpoints.
        versions: The versions that may have begun streams.
        clock: The source of time.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        peers: Peers,
        fleet: Fleet,
        versions: ServiceVersions,
        clock: Clock,
    ) -> None:
        self._origins = origins
        self._peers = peers
        self._fleet = fleet
        self._versions = versions
        self._clock = clock

    def record(self, origin: StreamOrigin) -> None:
        """Records a stream whose first event goes to its caller."""
        self._origins.record(origin, self._clock.now())
        self._send(self._origins.keepers(origin.stream), [origin])

    def receive(self, batch: OriginBatch) -> None:
        """Handles origins that another gateway has recorded."""
        for origin in batch.origins:
            self._origins.record(origin, self._clock.now())

    async def handle_call(self, call: OriginCall) -> OriginReply:
        """Replies to a gateway that looks for the origin of a stream."""
        return OriginReply(self._origins.find(call.stream))

    def update(self, gateways: list[str]) -> None:
        """Hands origins on after a change of the gateways.

        Args:
            gateways: The names of the gateways that are not leaving.
        """
        for keeper, origins in self._origins.set_gateways(gateways).items():
            for start in range(0, len(origins), BATCH_SIZE):
                self._send([keeper], origins[start : start + BATCH_SIZE])

    async def resolve(
        self, request_id: str, stream: str | None, route: Route
    ) -> StreamOrigin | Failure:
        """Returns the origin of a stream that a caller takes up again.

        Args:
            request_id: The id of the request that takes it up.
            stream: The id of the attempt that received its first event; None
                if the caller does not name it.
            route: The route of the request.

        Returns:
            The origin, or the failure of the request if the stream can't go on.
        """
        source, origin = "own", self._origins.find(stream) if stream else None
        if origin is None and stream:
            source, origin = "peer", await self._ask(stream)
        if origin is None:
            source, origin = "only version", self._only_origin(stream, route)
        is_routed = origin is not None and origin.service in _services(route)
        events.STREAM_ORIGIN.log(
            request=request_id,
            stream=stream,
            source=source if origin is not None else "unknown",
            service=origin.service if origin is not None else "",
            version=origin.version if origin is not None else "",
            routed=is_routed,
        )
        if origin is not None and is_routed:
            return origin
        detail = (
            "it is not known where the stream began"
            if origin is None
            else "the route no longer leads to where the stream began"
        )
        return not_run(Reason.NO_ENDPOINT, detail, RETRY_AFTER_MS)

    def _only_origin(
        self, stream: str | None, route: Route
    ) -> StreamOrigin | None:
        """Returns the origin if the stream can have begun in one place only."""
        places = {
            (service, version)
            for service in _services(route)
            for version in self._fleet.versions(service)
            | self._versions.of_service(service)
        }
        if len(places) != 1:
            return None
        ((service, version),) = places
        return StreamOrigin(stream or "", service, version)

    async def _ask(self, stream: str) -> StreamOrigin | None:
        """Asks other gateways for an origin; returns the first one found."""
        found: list[StreamOrigin] = []

        async def ask(name: str) -> None:
            reply = await self._peers.call_peer(
                name, OriginCall(stream), OriginReply, ORIGIN_TIMEOUT_MS
            )
            if reply is not None and reply.origin is not None:
                found.append(reply.origin)
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for name in self._origins.asked(stream):
                tasks.start_soon(ask, name)
        return found[0] if found else None

    def _send(self, names: list[str], origins: list[StreamOrigin]) -> None:
        self._peers.send_to(names, OriginBatch(origins))


def _services(route: Route) -> Iterator[str]:
    """Yields the services to which a route leads."""
    for target in route.targets:
        if target.weight > 0:
            yield target.service
