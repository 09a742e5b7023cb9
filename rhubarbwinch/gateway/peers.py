"""Tracks the other gateways and their state by heartbeats."""

from collections.abc import Callable

import anyio
import attrs

from rhubarbwinch.gateway.loads import LoadTracker
from rhubarbwinch.gateway.messages import (
    FailureNotice,
    Heartbeat,
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

# Every gateway receives the heartbeats of all others, so the number of messages
# grows with the square of the number of gateways. A change of load or state is
# announced at once by an extra heartbeat.
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
# Longer than the lifetime of any process.
NEVER_MS = 1 << 40


@attrs.define
class Peer:
    """Another gateway.

    Attributes:
        address: The addresses of its links and broadcasts.
        added_ms: When its address became known.
        last_heartbeat: Its last heartbeat, or None.
        last_arrival_ms: When the last heartbeat arrived.
        was_alive: Whether it was alive at the last check.
    """

    address: PeerAddress
    added_ms: int
    last_heartbeat: Heartbeat | None = None
    last_arrival_ms: int = 0
    was_alive: bool = False


class Peers:
    """Sends heartbeats to all other gateways and keeps their last ones.

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
        self._wakeup = anyio.Event()
        self._announced_version = -1
        self._owner_names: tuple[str, ...] = ()
        self._owners: dict[str, str | None] = {}
        broadcast.on(Heartbeat, self.receive)

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            with anyio.move_on_after(HEARTBEAT_MS / 1000):
                await self._wakeup.wait()
            await self._clock.sleep(COALESCE_MS)
            self._wakeup = anyio.Event()
            self._announced_version = self._loads.version
            self._sequence += 1
            self._broadcast.send(
                self._add_state(
                    attrs.evolve(
                        self._own,
                        sequence=self._sequence,
                        loads=self._loads.own_loads(),
                    )
                )
            )
            self._check_liveness()

    def add(self, address: PeerAddress) -> None:
        """Adds a peer by its address."""
        if address == self._own.address or address.link in self._peers:
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
        """Handles a peer's heartbeat."""
        if heartbeat.link == self._own.link:
            return
        self.add(heartbeat.address)
        peer = self._peers[heartbeat.link]
        now = self._clock.now()
        previous = peer.last_heartbeat if _is_alive(peer, now) else None
        position = (heartbeat.incarnation, heartbeat.sequence)
        if (
            peer.last_heartbeat is not None
            and peer.last_heartbeat.incarnation == position[0]
        ):
            if peer.last_heartbeat.sequence >= heartbeat.sequence:
                return
        peer.last_heartbeat = heartbeat
        peer.last_arrival_ms = now
        self._loads.receive(heartbeat.name, position, heartbeat.loads, now)
        if previous is None or previous.is_serving != heartbeat.is_serving:
            peer.was_alive = True
            events.GATEWAY_CHANGED.log(
                peer=heartbeat.name,
                serving=heartbeat.is_serving,
                leaving=heartbeat.is_leaving,
            )

    def front_addresses(self) -> list[str]:
        """Returns the caller-facing addresses of the serving peers."""
        return sorted(
            heartbeat.front
            for heartbeat in self._live_heartbeats()
            if heartbeat.is_serving
        )

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
                now - peer.last_arrival_ms + peer.last_heartbeat.confirmed_ms
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
            if peer.last_heartbeat is not None and _is_alive(peer, now)
        ]

    def _check_liveness(self) -> None:
        """Logs peers that fell silent and forgets those silent for long."""
        now = self._clock.now()
        self._loads.drop_silent_peers(now)
        for link, peer in list(self._peers.items()):
            is_alive = _is_alive(peer, now)
            if peer.was_alive and not is_alive:
                events.GATEWAY_LOST.log(
                    peer=link, silent_ms=now - peer.last_arrival_ms
                )
            peer.was_alive = is_alive
            if now - max(peer.last_arrival_ms, peer.added_ms) > FORGET_AFTER_MS:
                del self._peers[link]
                self._broadcast.forget(peer.address.broadcast)
                self._links.forget(link)


def _is_alive(peer: Peer, now_ms: int) -> bool:
    """Returns whether a peer's last heartbeat is recent."""
    if peer.last_heartbeat is None:
        return False
    return now_ms - peer.last_arrival_ms <= ALIVE_TIMEOUT_MS
