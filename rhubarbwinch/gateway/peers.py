"""Exchanges heartbeats with the other gateways, directly or by relays."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import anyio
import attrs

from rhubarbwinch.gateway.heartbeatrelay import (
    DIGEST_TIMEOUT_MS,
    FORWARD_MS,
    ROLE_CHECK_MS,
    TAKEOVER_MS,
    HeartbeatRelay,
)
from rhubarbwinch.gateway.loads import LoadTracker
from rhubarbwinch.gateway.messages import (
    EndpointLimit,
    FailureNotice,
    FullNotice,
    Heartbeat,
    HeartbeatDigest,
    PeerAddress,
    ReachabilityCall,
    ReachabilityReply,
    SharedBatch,
    Snapshot,
    SnapshotCall,
)
from rhubarbwinch.gateway.peertable import (
    NO_RELAY_SLACK_MS,
    Peer,
    PeerTable,
)
from rhubarbwinch.links.broadcast import Broadcast
from rhubarbwinch.links.linkinterfaces import PeerCaller
from rhubarbwinch.shared import events, rendezvous
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import CodecError, LinkError

T = TypeVar("T")

# A change of load or state is announced at once by an extra heartbeat.
HEARTBEAT_MS = 700
# Load changes within this time share a heartbeat.
COALESCE_MS = 3
SNAPSHOT_TIMEOUT_MS = 1_000
# A gateway that can't connect to an endpoint notices that within 400 ms.
REACHABILITY_TIMEOUT_MS = 700
MAX_ASKED_PEERS = 4
# A gateway that is behind asks this many peers before it tries the store again.
NEWEST_SNAPSHOT_TRIES = 2
# A gateway that sends its heartbeats to the relays of another data centre gets
# their digests for this time: two heartbeats and a margin.
ORPHAN_TIMEOUT_MS = 1_600


class Peers(PeerTable):
    """Sends heartbeats to the other gateways and receives theirs.

    In a small deployment heartbeats go to all peers, in a larger one to relays.

    Args:
        own: A heartbeat with the name and addresses of this gateway, the
            template for all that it sends.
        broadcast: Sends to all peers.
        links: Calls single peers.
        clock: The source of time.
        loads: Provides the loads of this gateway and takes those of peers.
        add_state: Returns a heartbeat with the current state filled in.
    """

    def __init__(
        self,
        own: Heartbeat,
        broadcast: Broadcast,
        links: PeerCaller,
        clock: Clock,
        loads: LoadTracker,
        add_state: Callable[[Heartbeat], Heartbeat],
    ) -> None:
        super().__init__(own, clock, loads)
        self._broadcast = broadcast
        self._links = links
        self._add_state = add_state
        self._sequence = 0
        self._wakeup = anyio.Event()
        self._sent_ms = clock.now()
        self._announced_version = -1
        self._relay = HeartbeatRelay(own.name, own.data_center, own.link_mbps)
        self._digest_ms = clock.now()
        self._first_relay_ms = clock.now()
        self._had_lost_relays = False
        self._last_sent = own
        self._snapshot_calls = 0
        self._orphans: dict[str, int] = {}
        self._handle_limits: Callable[[str, list[EndpointLimit]], None] = (
            lambda gateway, limits: None
        )
        self._handle_brittle: Callable[[list[str]], None] = lambda services: (
            None
        )
        self._handle_suspects: Callable[[str, list[str]], None] = (
            lambda gateway, keys: None
        )
        self._handle_usage: Callable[[str, Heartbeat | None], None] = (
            lambda gateway, heartbeat: None
        )
        broadcast.on(Heartbeat, self.receive)
        broadcast.on(HeartbeatDigest, self.receive_digest)

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._announce_periodically)
            await self._send_announced()

    async def _announce_periodically(self) -> None:
        while True:
            due_ms = self._sent_ms + HEARTBEAT_MS
            if self._clock.now() >= due_ms:
                self.announce()
                due_ms = self._clock.now() + HEARTBEAT_MS
            await self._clock.sleep(due_ms - self._clock.now())

    async def _send_announced(self) -> None:
        while True:
            await self._wakeup.wait()
            await self._clock.sleep(COALESCE_MS)
            self._wakeup = anyio.Event()
            self._sent_ms = self._clock.now()
            has_new_loads = self._announced_version != self._loads.version
            self._announced_version = self._loads.version
            self._sequence += 1
            heartbeat = self._add_state(
                attrs.evolve(
                    self._own,
                    sequence=self._sequence,
                    loads=self._loads.own_loads(),
                )
            )
            self._last_sent = heartbeat
            if self.uses_relays:
                self._relay.collect(heartbeat, self._clock.now())
                self._broadcast.send_to(
                    heartbeat, self._receivers(to_all_near=has_new_loads)
                )
            else:
                self._broadcast.send(heartbeat)
            self._check_liveness()

    async def run_relay(self) -> None:
        """Forwards the heartbeats of others while this gateway is a relay."""
        while True:
            if self._is_relay:
                self._forward_due()
                await self._clock.sleep(FORWARD_MS)
            else:
                self._relay.drop_collected()
                await self._clock.sleep(ROLE_CHECK_MS)
            if self.uses_relays:
                self._check_relays()

    def _check_relays(self) -> None:
        """Announces this gateway to all when the relays fall silent."""
        if self._has_lost_relays:
            now = self._clock.now()
            self._no_relay_until_ms = now + NO_RELAY_SLACK_MS
        if self._has_lost_relays != self._had_lost_relays:
            self._had_lost_relays = not self._had_lost_relays
            self.announce()

    @property
    def _is_relay(self) -> bool:
        """Whether this gateway is a relay of its data centre."""
        own = self._own
        return self.uses_relays and own.link in self._relays(own.data_center)

    @property
    def _has_lost_relays(self) -> bool:
        """Whether no relay of this data centre forwards heartbeats."""
        return self._clock.now() - self._digest_ms > DIGEST_TIMEOUT_MS

    def _forward_due(self) -> None:
        now = self._clock.now()
        is_first = self._relays(self._own.data_center)[0] == self._own.link
        if not is_first and now - self._first_relay_ms < TAKEOVER_MS:
            return
        if not self._relay.is_due(now):
            return
        self._digest_ms = now
        for_relays, for_own = self._relay.take(now)
        self._orphans = {
            a: end for a, end in self._orphans.items() if end > now
        }
        remote = self._broadcast_addresses(self._remote_relays())
        remote.extend(self._orphans)
        local = [
            peer.address.broadcast
            for peer in self._peers.values()
            if peer.address.data_center == self._own.data_center
        ]
        for digest in for_relays:
            self._broadcast.send_to(digest, remote)
            self._relay.record_sent(digest, len(remote), now)
        for digest in for_own:
            self._broadcast.send_to(digest, local)
            self._relay.record_sent(digest, len(local), now)

    def _receivers(self, to_all_near: bool) -> list[str]:
        """Returns the broadcast addresses to which a heartbeat is sent.

        Args:
            to_all_near: Whether all gateways of this data centre get it without
                the delay of a relay. They prefer the same engines.
        """
        own = self._own
        links = set(self._relays(own.data_center))
        if to_all_near or self._has_lost_relays:
            links.update(
                peer.address.link
                for peer in self._peers.values()
                if peer.address.data_center in ("", own.data_center)
            )
        if self._has_lost_relays:
            links.update(self._remote_relays())
        links.discard(own.link)
        return self._broadcast_addresses(links)

    def announce_loads(self) -> None:
        """Schedules a heartbeat if the loads have changed since the last."""
        if self._loads.version != self._announced_version:
            self.announce()

    def announce(self) -> None:
        """Schedules a heartbeat within a few milliseconds."""
        self._wakeup.set()

    def on_limits(
        self, handle: Callable[[str, list[EndpointLimit]], None]
    ) -> None:
        """Sets the handler of the limits that a peer lists."""
        self._handle_limits = handle

    def on_brittle_services(self, handle: Callable[[list[str]], None]) -> None:
        """Sets the handler of the services that are brittle to a peer."""
        self._handle_brittle = handle

    def on_refused_suspects(
        self, handle: Callable[[str, list[str]], None]
    ) -> None:
        """Sets the handler of the suspects that a peer refuses."""
        self._handle_suspects = handle

    def on_usage(self, handle: Callable[[str, Heartbeat | None], None]) -> None:
        """Sets the handler of what accounts use through a peer.

        It is called with the name of the peer, and with its heartbeat or, when
        the peer has fallen silent, None.
        """
        self._handle_usage = handle

    def send_to(self, names: Iterable[str], message: Any) -> None:
        """Sends a message to the peers with these names without blocking."""
        self._broadcast.send_to(
            message,
            [
                self._peers_by_name[name].address.broadcast
                for name in names
                if name in self._peers_by_name
            ],
        )

    async def call_peer(
        self, name: str, message: Any, reply_type: type[T], timeout_ms: int
    ) -> T | None:
        """Returns a peer's reply to a message; None if there is none."""
        known = self._peers_by_name.get(name)
        if known is None:
            return None
        try:
            return await self._links.call(
                known.address.link, message, reply_type, timeout_ms
            )
        except (LinkError, CodecError) as error:
            events.PEER_CALL_FAILED.log(
                peer=name, message=type(message).__name__, error=str(error)
            )
            return None

    def report_full(self, notice: FullNotice) -> None:
        """Tells all peers that a brittle endpoint has no room."""
        self._broadcast.send(notice)

    async def is_reached_elsewhere(self, address: str) -> bool | None:
        """Returns whether another gateway can connect to an endpoint.

        Gateways of different data centres are asked, as a fault of the network
        may concern one of them.

        Returns:
            None if none replies.
        """
        data_centers = {h.name: h.data_center for h in self._live_heartbeats()}
        names = rendezvous.ranking(
            f"{self._own.name}\0{address}", list(data_centers)
        )
        # The first of each data centre, then the second ones.
        seen: Counter[str] = Counter()
        rounds: dict[str, int] = {}
        for name in names:
            rounds[name] = seen[data_centers[name]]
            seen[data_centers[name]] += 1
        found: list[bool] = []

        async def ask(name: str) -> None:
            reply = await self.call_peer(
                name,
                ReachabilityCall(address),
                ReachabilityReply,
                REACHABILITY_TIMEOUT_MS,
            )
            if reply is not None:
                found.append(reply.is_reachable)
            if any(found):
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for name in sorted(names, key=rounds.__getitem__)[:MAX_ASKED_PEERS]:
                tasks.start_soon(ask, name)
        return any(found) if found else None

    def broadcast_changes(self, batch: SharedBatch) -> None:
        """Broadcasts changes of the store to all peers."""
        self._broadcast.send(batch)

    def report_failure(
        self, endpoint: str, is_unreachable: bool
    ) -> FailureNotice:
        """Broadcasts a failed request to all peers; returns the notice."""
        own = self._own
        notice = FailureNotice(
            own.name, own.data_center, endpoint, is_unreachable
        )
        self._broadcast.send(notice)
        return notice

    def receive(self, heartbeat: Heartbeat) -> None:
        """Handles a heartbeat that its sender has sent to this gateway."""
        if heartbeat.link == self._own.link:
            return
        known = self._peers_by_name.get(heartbeat.name)
        is_new = (
            known is None
            or known.last_heartbeat is None
            or known.last_heartbeat.incarnation != heartbeat.incarnation
        )
        self._apply(heartbeat)
        if not self.uses_relays:
            return
        if is_new and not self._is_relay:
            # The sender knows no relay: it has not read the store, and has this
            # address from its settings.
            relays = self._relays(heartbeat.data_center)
            self._broadcast.send_to(
                heartbeat, self._broadcast_addresses(relays)
            )
        self._relay.collect(heartbeat, self._clock.now())
        is_own = heartbeat.data_center == self._own.data_center
        if not is_own:
            # The relays of its data centre are gone, so it hears this data
            # centre only from here.
            self._orphans[heartbeat.broadcast] = (
                self._clock.now() + ORPHAN_TIMEOUT_MS
            )
        elif is_new and self._is_relay:
            known_heartbeats = [*self._live_heartbeats(), self._last_sent]
            for digest in self._relay.snapshot(known_heartbeats):
                self._broadcast.send_to(digest, [heartbeat.broadcast])

    def receive_digest(self, digest: HeartbeatDigest) -> None:
        """Handles the heartbeats that a relay forwards."""
        now = self._clock.now()
        for heartbeat in digest.heartbeats:
            if heartbeat.link != self._own.link:
                self._apply(heartbeat)
        for notice in digest.notices:
            self._apply_notice(notice)
        if digest.data_center != self._own.data_center:
            self._relay.collect_digest(digest, now)
            return
        self._digest_ms = now
        relays = self._relays(self._own.data_center)
        if self._is_sent_by(digest, relays[0]):
            self._first_relay_ms = now
            self._relay.drop_collected()

    def _on_peer_added(self, address: PeerAddress) -> None:
        self._broadcast.add(address.broadcast)

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._handle_usage(heartbeat.name, heartbeat)
        if heartbeat.limits:
            self._handle_limits(heartbeat.name, heartbeat.limits)
        if heartbeat.brittle_services:
            self._handle_brittle(heartbeat.brittle_services)
        if heartbeat.refused_suspects:
            self._handle_suspects(heartbeat.name, heartbeat.refused_suspects)

    def _on_peer_lost(self, peer: Peer) -> None:
        if peer.last_heartbeat is not None:
            self._handle_usage(peer.last_heartbeat.name, None)

    def _on_peer_forgotten(self, peer: Peer) -> None:
        if peer.last_heartbeat is not None:
            self._relay.forget(peer.last_heartbeat.name)
        self._broadcast.forget(peer.address.broadcast)
        self._links.forget(peer.address.link)

    async def fetch_newest_snapshot(self) -> Snapshot | None:
        """Requests a snapshot from the live peers that know most changes.

        Returns:
            The first response that is not empty; None if there is none.
        """
        newest = self.revision
        links = [
            heartbeat.link
            for heartbeat in self._live_heartbeats()
            if newest and heartbeat.revision == newest
        ]
        # Gateways that start together ask different peers.
        ranked = rendezvous.ranking(self._own.name, links)
        return await self._fetch_snapshot(ranked[:NEWEST_SNAPSHOT_TRIES])

    async def fetch_any_snapshot(self) -> Snapshot | None:
        """Requests a snapshot from one known peer, the next one at each call.

        The peer may be dead, and nothing may be known of it but its address.

        Returns:
            The response; None if it is empty or there is none.
        """
        ranked = rendezvous.ranking(self._own.name, self._peers)
        if not ranked:
            return None
        self._snapshot_calls += 1
        return await self._fetch_snapshot(
            [ranked[self._snapshot_calls % len(ranked)]]
        )

    async def _fetch_snapshot(self, links: list[str]) -> Snapshot | None:
        for link in links:
            try:
                snapshot = await self._links.call(
                    link,
                    SnapshotCall(self._own.name),
                    Snapshot,
                    SNAPSHOT_TIMEOUT_MS,
                )
            except (LinkError, CodecError) as error:
                events.SNAPSHOT_MISSED.log(peer=link, error=str(error))
                continue
            if snapshot.revision:
                return snapshot
        return None
