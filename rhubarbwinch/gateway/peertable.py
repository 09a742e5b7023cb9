"""What a gateway knows of the other gateways, from heartbeats and the store."""

from collections.abc import Iterable

import attrs

from rhubarbwinch.gateway.decisions.rolechoice import rank_for_role
from rhubarbwinch.gateway.directory import ServingGateway
from rhubarbwinch.gateway.heartbeatrelay import MAX_DIRECT_PEERS, choose_relays
from rhubarbwinch.gateway.loads import LoadTracker
from rhubarbwinch.gateway.messages import (
    BeatNotice,
    Heartbeat,
    HeartbeatDigest,
    PeerAddress,
)
from rhubarbwinch.gateway.storefeed import MAX_FRESH_AGE_MS
from rhubarbwinch.shared import events, rendezvous
from rhubarbwinch.shared.clock import Clock

# Three heartbeat intervals, so that a lost heartbeat makes no peer look dead.
ALIVE_TIMEOUT_MS = 2_200
# A peer that is silent for this time is forgotten. Its registration in the
# store or a new heartbeat adds it again.
FORGET_AFTER_MS = 30_000
# While no relay forwards, peers count as alive for this much longer.
NO_RELAY_SLACK_MS = 1_500
# Number of gateways that watch the store for the others; one is a spare.
WATCHER_COUNT = 2
# Longer than the lifetime of any process.
NEVER_MS = 1 << 40


@attrs.define
class Peer:
    """Another gateway.

    Attributes:
        address: The addresses of its links and broadcasts.
        added_ms: When its address became known.
        last_heartbeat: Its last heartbeat with its whole state, or None.
        state_arrival_ms: When that heartbeat arrived.
        last_sequence: The number of its last heartbeat.
        last_arrival_ms: When its last heartbeat arrived.
        was_alive: Whether it was alive at the last check.
    """

    address: PeerAddress
    added_ms: int
    last_heartbeat: Heartbeat | None = None
    state_arrival_ms: int = 0
    last_sequence: int = 0
    last_arrival_ms: int = 0
    was_alive: bool = False


class PeerTable:
    """The other gateways, and what follows from their states.

    Args:
        own: A heartbeat with the name and addresses of this gateway.
        clock: The source of time.
        loads: Takes the loads of peers.
    """

    def __init__(
        self, own: Heartbeat, clock: Clock, loads: LoadTracker
    ) -> None:
        self._own = own
        self._clock = clock
        self._loads = loads
        self._peers: dict[str, Peer] = {}
        self._peers_by_name: dict[str, Peer] = {}
        self._owner_names: tuple[str, ...] = ()
        self._owners: dict[str, str | None] = {}
        self._no_relay_until_ms = 0
        self._registered: set[str] = set()

    def set_registered(self, name: str, is_registered: bool) -> None:
        """Records a gateway's registration in the store, or its end."""
        if is_registered:
            self._registered.add(name)
        else:
            self._registered.discard(name)

    @property
    def known_names(self) -> set[str]:
        """The gateways that are registered or alive, this one included.

        One that this gateway does not hear is still there if only the links
        between them are cut.
        """
        live = {h.name for h in self._live_heartbeats()}
        return self._registered | live | {self._own.name}

    @property
    def uses_relays(self) -> bool:
        """Whether heartbeats go to relays instead of all peers."""
        return len(self._peers) > MAX_DIRECT_PEERS

    def _broadcast_addresses(self, links: Iterable[str]) -> list[str]:
        return [
            self._peers[link].address.broadcast
            for link in links
            if link in self._peers
        ]

    def _remote_relays(self) -> list[str]:
        """Returns the link addresses of the relays of other data centres."""
        data_centers = {p.address.data_center for p in self._peers.values()}
        data_centers -= {"", self._own.data_center}
        return [
            link
            for data_center in sorted(data_centers)
            for link in self._relays(data_center)
        ]

    def _relays(self, data_center: str) -> list[str]:
        """Returns the link addresses of a data centre's relays.

        A peer that was registered just now may be a relay before its first
        heartbeat, so that gateways that start together choose the same ones.
        """
        now = self._clock.now()
        links_mbps = {
            peer.address.link: peer.address.link_mbps
            for peer in self._peers.values()
            if peer.address.data_center == data_center
            and self._may_relay(peer, now)
        }
        if data_center == self._own.data_center:
            links_mbps[self._own.link] = self._own.link_mbps
        return choose_relays(links_mbps)

    def add(self, address: PeerAddress) -> None:
        """Adds a peer by its address."""
        if address.link == self._own.link:
            return
        known = self._peers.get(address.link)
        if known is not None:
            if address.data_center:
                known.address = address
            return
        self._peers[address.link] = Peer(address, self._clock.now())
        self._on_peer_added(address)

    def _is_sent_by(self, digest: HeartbeatDigest, link: str) -> bool:
        peer = self._peers.get(link)
        if peer is None or peer.last_heartbeat is None:
            return False
        return peer.last_heartbeat.name == digest.sender

    def _apply_notice(self, notice: BeatNotice) -> None:
        peer = self._peers_by_name.get(notice.name)
        if peer is None or peer.last_heartbeat is None:
            return
        if peer.last_heartbeat.incarnation != notice.incarnation:
            return
        if peer.last_sequence >= notice.sequence:
            return
        peer.last_sequence = notice.sequence
        peer.last_arrival_ms = self._clock.now()
        self._loads.refresh(notice.name, peer.last_arrival_ms)

    def _apply(self, heartbeat: Heartbeat) -> None:
        self.add(heartbeat.address)
        peer = self._peers[heartbeat.link]
        now = self._clock.now()
        previous = peer.last_heartbeat if self._is_alive(peer, now) else None
        position = (heartbeat.incarnation, heartbeat.sequence)
        if (
            peer.last_heartbeat is not None
            and peer.last_heartbeat.incarnation == position[0]
        ):
            if peer.last_sequence >= heartbeat.sequence:
                return
        peer.last_heartbeat = heartbeat
        peer.last_sequence = heartbeat.sequence
        peer.state_arrival_ms = now
        self._peers_by_name[heartbeat.name] = peer
        peer.last_arrival_ms = now
        self._loads.receive(heartbeat.name, position, heartbeat.loads, now)
        self._on_heartbeat(heartbeat)
        if previous is None or previous.is_serving != heartbeat.is_serving:
            peer.was_alive = True
            events.GATEWAY_CHANGED.log(
                peer=heartbeat.name,
                serving=heartbeat.is_serving,
                leaving=heartbeat.is_leaving,
            )

    def serving_gateways(self) -> list[ServingGateway]:
        """Returns the serving peers, for callers."""
        return [
            ServingGateway(heartbeat.front, heartbeat.data_center)
            for heartbeat in self._live_heartbeats()
            if heartbeat.is_serving
        ]

    def forward_targets(self, service: str) -> list[Heartbeat]:
        """Returns the peers that can send requests to a service."""
        return [
            heartbeat
            for heartbeat in self._live_heartbeats()
            if heartbeat.is_serving
            and heartbeat.forward
            and service not in heartbeat.isolated_from
        ]

    @property
    def live_count(self) -> int:
        """The number of live peers, leaving ones included."""
        return len(self._live_heartbeats())

    @property
    def data_center_count(self) -> int:
        """The number of live peers in this data centre."""
        own_data_center = self._own.data_center
        return sum(
            h.data_center == own_data_center for h in self._live_heartbeats()
        )

    def is_watcher(self) -> bool:
        """Returns whether this gateway watches the store for all others.

        The live gateways that are not leaving select the watchers among
        themselves, those with the largest network links first.
        """
        return self._own.name in self._watchers()

    def _watchers(self) -> list[str]:
        return rank_for_role("feed", self._staying_links())[:WATCHER_COUNT]

    def _staying_links(self) -> dict[str, int]:
        """Returns the links of the gateways that are not leaving, by name.

        In Mbit/s; the last name is that of this gateway.
        """
        links_mbps = {
            h.name: h.link_mbps
            for h in self._live_heartbeats()
            if not h.is_leaving
        }
        links_mbps[self._own.name] = self._own.link_mbps
        return links_mbps

    def _staying_names(self) -> list[str]:
        """Returns the names of the gateways that are not leaving."""
        return list(self._staying_links())

    def sharing_names(self, is_leaving: bool) -> list[str]:
        """Returns the names of the gateways that share duties.

        Args:
            is_leaving: Whether this gateway is leaving. It then has no share,
                unless there is no other gateway.
        """
        names = self._staying_names()
        return names[:-1] if is_leaving and len(names) > 1 else names

    def should_watch(self) -> bool:
        """Returns whether this gateway has to watch the store itself.

        Watchers do, and so does a gateway none of whose peers has a fresh
        response from the store.
        """
        return self.is_watcher() or self.confirmed_ms > MAX_FRESH_AGE_MS

    @property
    def confirmed_ms(self) -> int:
        """Milliseconds since the store last confirmed any peer's replica."""
        now = self._clock.now()
        return min(
            (
                now - peer.state_arrival_ms + peer.last_heartbeat.confirmed_ms
                for peer in self._peers.values()
                if peer.last_heartbeat is not None
            ),
            default=NEVER_MS,
        )

    @property
    def store_available_ms(self) -> int:
        """The longest time for which the store has answered a live peer."""
        return max(
            (h.store_available_ms for h in self._live_heartbeats()), default=0
        )

    @property
    def revision(self) -> int:
        """The highest store revision that a live peer has reached."""
        return max((h.revision for h in self._live_heartbeats()), default=0)

    @property
    def config_version(self) -> int:
        """The newest version of the configuration at a live peer."""
        return max(
            (h.config_version for h in self._live_heartbeats()), default=0
        )

    def names_with_config(self, version: int) -> frozenset[str]:
        """Returns the live peers that have a version in force, or a later."""
        return frozenset(
            h.name
            for h in self._live_heartbeats()
            if h.config_version >= version
        )

    def is_store_failing(self, is_failing_here: bool) -> bool:
        """Returns whether the store fails the calls of all watchers.

        The failure of some watchers is no outage: the store may reject single
        gateways and serve the others.

        Args:
            is_failing_here: Whether the store fails the calls of this gateway.
        """
        failing = {h.name: h.is_store_failing for h in self._live_heartbeats()}
        failing[self._own.name] = is_failing_here
        return all(failing.get(name, False) for name in self._watchers())

    def owns(self, key: str) -> bool:
        """Returns whether this gateway owns a task done once for all.

        Args:
            key: Identifies the task; rendezvous hashing selects its owner.
        """
        names = tuple(self._staying_names())
        if names != self._owner_names:
            self._owner_names = names
            self._owners = {}
        if key not in self._owners:
            self._owners[key] = rendezvous.owner(key, names)
        return self._owners[key] == self._own.name

    def _live_heartbeats(self) -> list[Heartbeat]:
        """Returns the last heartbeats of the live peers."""
        now = self._clock.now()
        return [
            peer.last_heartbeat
            for peer in self._peers.values()
            if peer.last_heartbeat is not None and self._is_alive(peer, now)
        ]

    def _check_liveness(self) -> None:
        """Logs peers that fell silent and forgets those silent for long."""
        now = self._clock.now()
        self._loads.drop_silent_peers(now)
        for link, peer in list(self._peers.items()):
            is_alive = self._is_alive(peer, now)
            if peer.was_alive and not is_alive:
                events.GATEWAY_LOST.log(
                    peer=link, silent_ms=now - peer.last_arrival_ms
                )
                self._on_peer_lost(peer)
            peer.was_alive = is_alive
            if now - max(peer.last_arrival_ms, peer.added_ms) > FORGET_AFTER_MS:
                del self._peers[link]
                if peer.last_heartbeat is not None:
                    self._peers_by_name.pop(peer.last_heartbeat.name, None)
                self._on_peer_forgotten(peer)

    def _is_alive(self, peer: Peer, now_ms: int) -> bool:
        """Returns whether a peer's last heartbeat is recent."""
        if peer.last_heartbeat is None:
            return False
        timeout_ms = ALIVE_TIMEOUT_MS
        if now_ms < self._no_relay_until_ms:
            # Heartbeats of live peers were lost with the relays.
            timeout_ms += NO_RELAY_SLACK_MS
        return now_ms - peer.last_arrival_ms <= timeout_ms

    def _may_relay(self, peer: Peer, now_ms: int) -> bool:
        """Returns whether a peer is or may be alive and is not leaving."""
        if peer.last_heartbeat is None:
            return now_ms - peer.added_ms <= ALIVE_TIMEOUT_MS
        is_leaving = peer.last_heartbeat.is_leaving
        return self._is_alive(peer, now_ms) and not is_leaving

    def _on_peer_added(self, address: PeerAddress) -> None:
        """Called when a peer becomes known."""

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Called with each new heartbeat that has its sender's whole state."""

    def _on_peer_lost(self, peer: Peer) -> None:
        """Called when a peer has fallen silent."""

    def _on_peer_forgotten(self, peer: Peer) -> None:
        """Called when a peer has been silent for long."""
