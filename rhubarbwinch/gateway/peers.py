"""Tracks the other gateways and their state by heartbeats."""

from collections.abc import Callable, Iterable

import anyio
import attrs

from rhubarbwinch.gateway.directory import ServingGateway
from rhubarbwinch.gateway.heartbeatrelay import (
    DIGEST_TIMEOUT_MS,
    FORWARD_MS,
    MAX_DIRECT_PEERS,
    ROLE_CHECK_MS,
    TAKEOVER_MS,
    HeartbeatRelay,
    choose_relays,
)
from rhubarbwinch.gateway.loads import LoadTracker
from rhubarbwinch.gateway.messages import (
    BeatNotice,
    FailureNotice,
    Heartbeat,
    HeartbeatDigest,
    PeerAddress,
    SharedBatch,
    Snapshot,
    SnapshotCall,
)
from rhubarbwinch.gateway.storefeed import MAX_FRESH_AGE_MS
from rhubarbwinch.links.broadcast import Broadcast
from rhubarbwinch.links.linkinterfaces import PeerCaller
from rhubarbwinch.shared import events, rendezvous
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import CodecError, LinkError

# A change of load or state is announced at once by an extra heartbeat.
HEARTBEAT_MS = 700
# Three heartbeat intervals, so that a lost heartbeat makes no peer look dead.
ALIVE_TIMEOUT_MS = 2_200
# A peer that is silent for this time is forgotten. Its registration in the
# store or a new heartbeat adds it again.
FORGET_AFTER_MS = 30_000
# Load changes within this time share a heartbeat.
COALESCE_MS = 3
# Number of gateways that watch the store for the others; one is a spare.
WATCHER_COUNT = 2
SNAPSHOT_TIMEOUT_MS = 1_000
# A gateway that is behind asks this many peers before it tries the store again.
NEWEST_SNAPSHOT_TRIES = 2
# While no relay forwards, peers count as alive for this much longer.
NO_RELAY_SLACK_MS = 1_500
# A gateway that sends its heartbeats to the relays of another data centre gets
# their digests for this time: two heartbeats and a margin.
ORPHAN_TIMEOUT_MS = 1_600
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


class Peers:
    """Sends heartbeats to the other gateways and keeps their last ones.

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
        self._own = own
        self._broadcast = broadcast
        self._links = links
        self._clock = clock
        self._loads = loads
        self._add_state = add_state
        self._sequence = 0
        self._peers: dict[str, Peer] = {}
        self._peers_by_name: dict[str, Peer] = {}
        self._wakeup = anyio.Event()
        self._sent_ms = clock.now()
        self._announced_version = -1
        self._owner_names: tuple[str, ...] = ()
        self._owners: dict[str, str | None] = {}
        self._relay = HeartbeatRelay(own.name, own.data_center)
        self._digest_ms = clock.now()
        self._first_relay_ms = clock.now()
        self._had_lost_relays = False
        self._no_relay_until_ms = 0
        self._last_sent = own
        self._orphans: dict[str, int] = {}
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
        for digest in for_own:
            self._broadcast.send_to(digest, local)

    @property
    def uses_relays(self) -> bool:
        """Whether heartbeats go to relays instead of all peers."""
        return len(self._peers) > MAX_DIRECT_PEERS

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
        links = [
            peer.address.link
            for peer in self._peers.values()
            if peer.address.data_center == data_center
            and self._may_relay(peer, now)
        ]
        if data_center == self._own.data_center:
            links.append(self._own.link)
        return choose_relays(links)

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
        self._broadcast.add(address.broadcast)

    def announce_loads(self) -> None:
        """Schedules a heartbeat if the loads have changed since the last."""
        if self._loads.version != self._announced_version:
            self.announce()

    def announce(self) -> None:
        """Schedules a heartbeat within a few milliseconds."""
        self._wakeup.set()

    def broadcast_changes(self, batch: SharedBatch) -> None:
        """Broadcasts changes of the store to all peers."""
        self._broadcast.send(batch)

    def report_failure(self, endpoint: str) -> FailureNotice:
        """Broadcasts a failed request to all peers; returns the notice."""
        own = self._own
        notice = FailureNotice(own.name, own.data_center, endpoint)
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

        Rendezvous hashing of the names selects the watchers among the live
        gateways that are not leaving.
        """
        return self._own.name in self._watchers()

    def _watchers(self) -> list[str]:
        return rendezvous.ranking("feed", self._staying_names())[:WATCHER_COUNT]

    def _staying_names(self) -> list[str]:
        """Returns the names of the gateways that are not leaving."""
        names = [h.name for h in self._live_heartbeats() if not h.is_leaving]
        return [*names, self._own.name]

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

    async def fetch_newest_snapshot(self) -> Snapshot | None:
        """Requests a snapshot from the live peers that know most changes.

        Returns:
            The first response that is not empty; None if there is none.
        """
        ordered = sorted(
            self._live_heartbeats(), key=lambda h: h.revision, reverse=True
        )
        return await self._fetch_snapshot(
            [h.link for h in ordered[:NEWEST_SNAPSHOT_TRIES]]
        )

    async def fetch_snapshot(self) -> Snapshot | None:
        """Requests a snapshot of the store from one peer after another.

        Each gateway asks in another order, so that the calls of gateways that
        start together are spread.

        Returns:
            The first that is not empty; None if no peer has one.
        """
        return await self._fetch_snapshot(
            rendezvous.ranking(self._own.name, self._peers)
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
            peer.was_alive = is_alive
            if now - max(peer.last_arrival_ms, peer.added_ms) > FORGET_AFTER_MS:
                del self._peers[link]
                if peer.last_heartbeat is not None:
                    name = peer.last_heartbeat.name
                    self._peers_by_name.pop(name, None)
                    self._relay.forget(name)
                self._broadcast.forget(peer.address.broadcast)
                self._links.forget(link)

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
