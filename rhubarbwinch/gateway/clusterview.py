"""Applies store changes to the configuration, endpoints and gateways."""

from collections.abc import Callable

from rhubarbwinch.gateway import gatewaymetrics
from rhubarbwinch.gateway.context import Context
from rhubarbwinch.gateway.decisions.evacuations import Evacuations
from rhubarbwinch.gateway.decisions.serviceversions import ServiceVersion
from rhubarbwinch.gateway.messages import (
    GoneNotice,
    LeavingNotice,
    PeerAddress,
)
from rhubarbwinch.gateway.routes import RoutingTable
from rhubarbwinch.gateway.state import versionrecords
from rhubarbwinch.gateway.streams import StreamCalls
from rhubarbwinch.http.transport import Transport
from rhubarbwinch.shared import codec, events
from rhubarbwinch.shared.exceptions import CodecError, PlatformFormatError
from rhubarbwinch.stores.store import Change


class ClusterView:
    """A gateway's view of the platform, updated from the store.

    Args:
        context: Holds the configuration and the endpoints.
        streams: Notified of endpoints that leave.
        transport: Its idle connections to leaving endpoints are closed.
        on_table: Called with a configuration that is now active.
    """

    def __init__(
        self,
        context: Context,
        streams: StreamCalls,
        transport: Transport,
        on_table: Callable[[RoutingTable], None],
    ) -> None:
        self._context = context
        self._streams = streams
        self._transport = transport
        self._on_table = on_table
        self._evacuations = Evacuations()
        self._evacuated: frozenset[str] = frozenset()

    def apply_changes(self, changes: list[Change], after_outage: bool) -> None:
        """Applies changes of the store."""
        platform = self._context.platform
        for change in changes:
            if change.key == platform.config_key:
                self._apply_config(change)
            elif change.key.startswith(platform.endpoint_prefix):
                self._apply_endpoint(change, after_outage)
            elif change.key.startswith(platform.member_prefix):
                self._apply_peer_registration(change)
            elif change.key.startswith(platform.evacuation_prefix):
                self._apply_evacuation(change, after_outage)
            elif change.key.startswith(platform.version_prefix):
                self._apply_version_record(change, after_outage)
        self._streams.handle_capacity_change()

    def apply_leaving_notice(self, notice: LeavingNotice) -> None:
        """Applies an engine's own notice that it leaves."""
        if self._context.fleet.mark_leaving(
            notice.endpoint,
            notice.started_ms,
            self._context.clock.now(),
            notice.is_declared,
        ):
            self._log_endpoint_change(
                notice.endpoint, "says it leaves", 0, True
            )
            self._handle_leaving(notice.endpoint)

    def apply_gone_notice(self, notice: GoneNotice) -> bool:
        """Applies a notice that the start of an endpoint is gone.

        Returns:
            Whether this gateway did not know it before.
        """
        if not self._context.fleet.mark_gone(
            notice.endpoint,
            notice.started_ms,
            notice.position,
            self._context.clock.now(),
        ):
            return False
        gatewaymetrics.GONE_ENDPOINTS.inc()
        events.ENDPOINT_GONE.log(
            endpoint=notice.endpoint,
            started_ms=notice.started_ms,
            position=notice.position,
        )
        self._forget_declarations(notice.endpoint)
        known = self._context.fleet.get(notice.endpoint)
        if known is not None:
            self._streams.handle_leaving_engine(known.endpoint)
        return True

    def leaving_notices(self) -> list[LeavingNotice]:
        """Returns the known leaving endpoints, for a gateway that starts."""
        return [
            LeavingNotice(
                known.endpoint.id,
                known.endpoint.started_ms,
                known.has_declared_leaving,
            )
            for known in self._context.fleet.all_leaving()
        ]

    def expire_endpoints(self, reliable_since_ms: int | None) -> None:
        """Treats endpoints whose expired entries weren't renewed as leaving.

        Args:
            reliable_since_ms: Deletions from this time on do not come from
                expired leases; None if any may.
        """
        for known in self._context.fleet.expire_endpoints(
            self._context.clock.now(), reliable_since_ms
        ):
            self._log_endpoint_change(known.endpoint.id, "lapsed", 0, True)
            self._handle_leaving(known.endpoint.id)

    def _apply_peer_registration(self, change: Change) -> None:
        """Applies a gateway's registration."""
        context = self._context
        name = change.key.removeprefix(context.platform.member_prefix)
        context.peers.set_registered(name, change.entry is not None)
        if change.entry is None:
            return
        try:
            address = codec.decode(change.entry.value, PeerAddress)
        except CodecError as error:
            events.PEER_REFUSED.log(key=change.key, error=str(error))
            return
        self._context.peers.add(address)

    def _apply_evacuation(self, change: Change, after_outage: bool) -> None:
        """Applies the start or the end of a data centre's evacuation."""
        context = self._context
        data_center = change.key.removeprefix(
            context.platform.evacuation_prefix
        )
        if change.entry is not None:
            self._evacuations.start(data_center)
        else:
            self._evacuations.end(
                data_center, context.clock.now(), after_outage
            )
        self._update_evacuated(change.revision)

    def expire_evacuations(self) -> None:
        """Ends evacuations whose keys a restored store does not have."""
        if self._evacuations.expire(self._context.clock.now()):
            self._update_evacuated(0)

    def _update_evacuated(self, revision: int) -> None:
        evacuated = self._evacuations.data_centers
        if evacuated == self._evacuated:
            return
        self._evacuated = evacuated
        self._context.fleet.set_evacuated(evacuated)
        gatewaymetrics.EVACUATED_DATA_CENTERS.set(len(evacuated))
        events.EVACUATION_CHANGED.log(
            evacuated=sorted(evacuated), revision=revision
        )
        self._streams.handle_evacuation()

    def _apply_version_record(self, change: Change, after_outage: bool) -> None:
        """Applies a record of a service's software version."""
        context = self._context
        version = versionrecords.parse_record_key(
            context.platform.version_prefix, change.key
        )
        if change.entry is None:
            context.versions.apply_deletion(version, after_outage)
        else:
            context.versions.apply_record(
                version, change.revision, context.clock.now()
            )

    def _apply_config(self, change: Change) -> None:
        if change.entry is None:
            events.TABLE_UNREADABLE.log(
                revision=change.revision, error="the configuration was deleted"
            )
            return
        context = self._context
        try:
            table = context.platform.decode_config(change.entry.value)
        except PlatformFormatError as error:
            events.TABLE_UNREADABLE.log(
                revision=change.revision, error=str(error)
            )
            return
        if context.table is not None and table.version < context.table.version:
            events.TABLE_OLDER.log(
                version=table.version, in_force=context.table.version
            )
            return
        context.table = table
        self._on_table(table)
        gatewaymetrics.CONFIG_VERSION.set(table.version)
        events.TABLE_IN_FORCE.log(
            version=table.version,
            revision=change.revision,
            routes=sum(map(len, table.routes.values())),
            keys=len(table.accounts),
        )

    def _apply_endpoint(self, change: Change, after_outage: bool) -> None:
        context = self._context
        endpoint_id = change.key.removeprefix(context.platform.endpoint_prefix)
        if change.entry is not None:
            self._apply_registration(
                endpoint_id, change.entry.value, change.revision, after_outage
            )
            return
        leaves = context.fleet.remove(
            endpoint_id, context.clock.now(), after_outage
        )
        self._log_endpoint_change(
            endpoint_id, "removed", change.revision, after_outage
        )
        if leaves:
            self._handle_leaving(endpoint_id)

    def _apply_registration(
        self, endpoint_id: str, value: bytes, revision: int, after_outage: bool
    ) -> None:
        context = self._context
        try:
            endpoint = context.platform.decode_endpoint(endpoint_id, value)
        except PlatformFormatError as error:
            events.ENDPOINT_UNREADABLE.log(
                endpoint=endpoint_id, revision=revision, error=str(error)
            )
            context.fleet.mark_unreadable(endpoint_id)
            return
        context.versions.see(
            [ServiceVersion(endpoint.service, endpoint.version)],
            context.clock.now(),
        )
        known = context.fleet.get(endpoint_id)
        before = known.endpoint if known is not None else None
        superseded_before = context.fleet.superseded(endpoint.address)
        leaves = context.fleet.apply_registration(
            endpoint, context.clock.now(), revision
        )
        known = context.fleet.get(endpoint_id)
        if before is not None and known is not None:
            if known.endpoint.incarnation != before.incarnation:
                # What it has declared ended with its earlier incarnation.
                context.permits.forget(endpoint_id)
        for name in sorted(
            context.fleet.superseded(endpoint.address) - superseded_before
        ):
            events.ENDPOINT_SUPERSEDED.log(
                endpoint=name, address=endpoint.address, revision=revision
            )
        if (
            before is None
            or before.state is not endpoint.state
            or before.version != endpoint.version
        ):
            self._log_endpoint_change(
                endpoint_id, endpoint.state, revision, after_outage
            )
        if leaves:
            self._handle_leaving(endpoint_id)

    def _log_endpoint_change(
        self, endpoint_id: str, state: str, revision: int, after_outage: bool
    ) -> None:
        known = self._context.fleet.get(endpoint_id)
        events.ENDPOINT_CHANGED.log(
            endpoint=endpoint_id,
            state=state,
            version=known.endpoint.version if known is not None else "",
            revision=revision,
            after_outage=after_outage,
        )

    def _handle_leaving(self, endpoint_id: str) -> None:
        known = self._context.fleet.get(endpoint_id)
        if known is None:
            return
        self._transport.close_idle(known.endpoint.address)
        self._forget_declarations(endpoint_id)
        self._streams.handle_leaving_engine(known.endpoint)

    def _forget_declarations(self, endpoint_id: str) -> None:
        """Forgets what an endpoint has declared and how it failed."""
        self._context.suspicion.forget(endpoint_id)
        self._context.reports.forget(endpoint_id)
        self._context.slots.shares.forget(endpoint_id)
        self._context.permits.forget(endpoint_id)
        self._context.loads.speeds.forget(endpoint_id)
