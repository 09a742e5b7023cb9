"""Serves a gateway's directory, readiness check and metrics."""

from collections.abc import Callable

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.decisions.eligibility import Regions
from rhubarbwinch.gateway.directory import (
    DirectoryLookup,
    ServingGateway,
    admissible_gateways,
    choose_gateways,
)
from rhubarbwinch.gateway.edge import EdgeRequest, EdgeResponder
from rhubarbwinch.gateway.peers import Peers
from rhubarbwinch.gateway.platforminterface import Platform
from rhubarbwinch.gateway.settings import GatewaySettings

# How long callers cache a directory response. A shorter time costs lookups, a
# longer one leaves callers at VMs that are gone.
DIRECTORY_TTL_MS = 2_000


class StatusApi:
    """Handles requests to the gateway itself.

    Args:
        platform: Parses and formats the platform's requests and responses.
        peers: The other gateways.
        settings: The gateway's settings.
        is_ready: Returns whether the gateway accepts new callers.
        home_regions_of: Returns the regions to which the requests of a host are
            bound; empty if they are not.
        regions: Returns the regions of the data centres.
    """

    def __init__(
        self,
        platform: Platform,
        peers: Peers,
        settings: GatewaySettings,
        is_ready: Callable[[], bool],
        home_regions_of: Callable[[str], frozenset[str]],
        regions: Callable[[], Regions],
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._settings = settings
        self._is_ready = is_ready
        self._home_regions_of = home_regions_of
        self._regions = regions

    async def handle(
        self, request: EdgeRequest, responder: EdgeResponder
    ) -> None:
        """Handles a directory, readiness or metrics request."""
        platform = self._platform
        if platform.is_readiness_probe(request.target):
            await responder.send(200 if self._is_ready() else 503, [], b"")
            return
        lookup = platform.decode_directory_lookup(request.target)
        if lookup is not None:
            await self._send_directory(lookup, responder)
            return
        if request.target.startswith(b"/metrics"):
            content_type = (b"Content-Type", b"text/plain; version=0.0.4")
            await responder.send(200, [content_type], gatewaymetrics.render())
            return
        await responder.send(404, [], b"")

    async def _send_directory(
        self, lookup: DirectoryLookup, responder: EdgeResponder
    ) -> None:
        settings = self._settings
        serving = self._peers.serving_gateways()
        if self._is_ready():
            serving.append(ServingGateway(settings.front, settings.data_center))
        if not serving:
            await responder.send(503, [], b"no gateway serves")
            return
        serving = admissible_gateways(
            serving,
            lookup,
            self._home_regions_of(lookup.host.lower()),
            self._regions(),
        )
        addresses = choose_gateways(
            serving, lookup, self._platform.max_directory_addresses
        )
        ttl = min(DIRECTORY_TTL_MS, self._settings.directory_ttl_max_ms)
        body = self._platform.encode_directory_response(addresses, ttl)
        content_type = (b"Content-Type", b"application/json")
        await responder.send(200, [content_type], body)
