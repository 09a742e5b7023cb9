"""The other gateways: who they are, who serves, and what each has running."""

from collections.abc import Callable

import anyio
import attrs

from rhubarbwinch.gateway.feed import FRESH_MS
from rhubarbwinch.gateway.loads import LoadBook
from rhubarbwinch.gateway.messages import (
    FailureNotice,
    Heartbeat,
    PeerAddress,
    SharedBatch,
    Snapshot,
    SnapshotCall,
)
from rhubarbwinch.links.broadcast import Broadcast
from rhubarbwinch.links.linktypes import Caller
from rhubarbwinch.shared import events, rendezvous
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import CodecError, LinkError

# All gateways hear all heartbeats, so their number grows with the square of
# the fleet. A change of load or of state is told at once, by a heartbeat.
HEARTBEAT_MS = 700
# Three heartbeats, of which one may be lost.
ALIVE_MS = 2_200
# A peer that is silent for so long is no longer called; its registration in
# the store or a heartbeat of it brings it back.
FORGET_MS = 30_000
# Changes of load that come together share a heartbeat.
COALESCE_MS = 3
# Gateways that watch the store for the others; one more than is needed.
WATCHERS = 2
SNAPSHOT_TIMEOUT_MS = 1_000
# Longer than any process lives, in milliseconds.
NEVER_MS = 1 << 40


@attrs.define
class Peer:
    """Another gateway.

    Attributes:
        address: Where it is reached.
        added_ms: When its address became known.
        last: Its last heartbeat, or None.
        heard_ms: When that came.
        was_alive: Whether it was alive at the last check.
    """

    address: PeerAddress
    added_ms: int
    last: Heartbeat | None = None
    heard_ms: int = 0
    was_alive: bool = False


class Peers:
    """Sends heartbeats to all other gateways and keeps what they tell.

    Args:
        me: The first heartbeat of this gateway; later ones repeat its names.
        broadcast: Sends to all peers.
        links: Calls single peers.
        clock: The source of time.
        loads: Takes what peers have running.
        describe: Completes a heartbeat by what changes.
    """

    def __init__(
        self,
        me: Heartbeat,
        broadcast: Broadcast,
        links: Caller,
        clock: Clock,
        loads: LoadBook,
        describe: Callable[[Heartbeat], Heartbeat],
    ) -> None:
        self._me = me
        self._broadcast = broadcast
        self._links = links
        self._clock = clock
        self._loads = loads
        self._describe = describe
        self._sequence = 0
        self._peers: dict[str, Peer] = {}
        self._wakeup = anyio.Event()
        self._told_version = -1
        broadcast.on(Heartbeat, self.take)

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            with anyio.move_on_after(HEARTBEAT_MS / 1000):
                await self._wakeup.wait()
            await self._clock.sleep(COALESCE_MS)
            self._wakeup = anyio.Event()
            self._told_version = self._loads.version
            self._sequence += 1
            self._broadcast.send(
                self._describe(
                    attrs.evolve(
                        self._me,
                        sequence=self._sequence,
                        loads=self._loads.own(),
                    )
                )
            )
            self._check()

    def add(self, address: PeerAddress) -> None:
        """Adds a peer by its address."""
        if address == self._me.address or address.link in self._peers:
            return
        self._peers[address.link] = Peer(address, self._clock.now())
        self._broadcast.add(address.broadcast)

    def tell_loads(self) -> None:
        """Sends a heartbeat soon, if what runs here has changed."""
        if self._loads.version != self._told_version:
            self.tell()

    def tell(self) -> None:
        """Sends a heartbeat soon."""
        self._wakeup.set()

    def share(self, batch: SharedBatch) -> None:
        """Tells all peers of changes in the store."""
        self._broadcast.send(batch)

    def report_failure(self, endpoint: str) -> FailureNotice:
        """Tells all peers of a failed request; returns what it tells."""
        me = self._me
        notice = FailureNotice(me.name, me.data_center, endpoint)
        self._broadcast.send(notice)
        return notice

    def take(self, heartbeat: Heartbeat) -> None:
        """Takes a peer's heartbeat."""
        if heartbeat.link == self._me.link:
            return
        self.add(heartbeat.address)
        peer = self._peers[heartbeat.link]
        was = peer.last if self._is_alive(peer) else None
        order = (heartbeat.incarnation, heartbeat.sequence)
        if peer.last is not None and peer.last.incarnation == order[0]:
            if peer.last.sequence >= heartbeat.sequence:
                return
        now = self._clock.now()
        peer.last = heartbeat
        peer.heard_ms = now
        self._loads.take(heartbeat.name, order, heartbeat.loads, now)
        if was is None or was.is_serving != heartbeat.is_serving:
            peer.was_alive = True
            events.GATEWAY_CHANGED.log(
                peer=heartbeat.name,
                serving=heartbeat.is_serving,
                leaving=heartbeat.is_leaving,
            )

    def fronts(self) -> list[str]:
        """Returns the addresses of the other gateways that take callers."""
        return sorted(
            heartbeat.front
            for heartbeat in self._alive()
            if heartbeat.is_serving
        )

    @property
    def count(self) -> int:
        """How many other gateways there are, leaving ones included."""
        return len(self._alive())

    @property
    def near_count(self) -> int:
        """How many other gateways there are in this data centre."""
        here = self._me.data_center
        return sum(h.data_center == here for h in self._alive())

    def is_watcher(self) -> bool:
        """Tells whether this gateway watches the store for all.

        The first of the gateways by a hash of their names do.
        """
        return self._me.name in self._watchers()

    def _watchers(self) -> list[str]:
        names = [h.name for h in self._alive() if not h.is_leaving]
        return rendezvous.ranking("feed", [*names, self._me.name])[:WATCHERS]

    def should_watch(self) -> bool:
        """Tells whether this gateway watches the store itself.

        Watchers do, and each whose peers have no fresh answer of the store.
        """
        return self.is_watcher() or self.confirmed_ms > FRESH_MS

    @property
    def confirmed_ms(self) -> int:
        """How long ago the store confirmed what any peer knows of it."""
        now = self._clock.now()
        return min(
            (
                now - peer.heard_ms + peer.last.confirmed_ms
                for peer in self._peers.values()
                if peer.last is not None
            ),
            default=NEVER_MS,
        )

    @property
    def revision(self) -> int:
        """The highest revision of the store that a living peer knows."""
        return max((h.revision for h in self._alive()), default=0)

    def is_store_failing(self, fails_here: bool) -> bool:
        """Tells whether the store fails the calls of all watchers.

        It may turn single gateways away and serve the others.

        Args:
            fails_here: Whether it fails the calls of this gateway.
        """
        failing = {h.name: h.is_store_failing for h in self._alive()}
        failing[self._me.name] = fails_here
        return all(failing.get(name, False) for name in self._watchers())

    def owns(self, key: str) -> bool:
        """Tells whether a task that one gateway does for all falls to this."""
        names = [h.name for h in self._alive() if not h.is_leaving]
        return rendezvous.owner(key, [*names, self._me.name]) == self._me.name

    async def fetch_snapshot(self) -> Snapshot | None:
        """Asks each peer in turn for all that it knows of the store."""
        for link in list(self._peers):
            try:
                found = await self._links.call(
                    link,
                    SnapshotCall(self._me.name),
                    Snapshot,
                    SNAPSHOT_TIMEOUT_MS,
                )
            except (LinkError, CodecError) as error:
                events.SNAPSHOT_MISSED.log(peer=link, error=str(error))
                continue
            if found.revision:
                return found
        return None

    def _alive(self) -> list[Heartbeat]:
        """Returns the last heartbeats of the peers that live."""
        return [
            peer.last
            for peer in self._peers.values()
            if peer.last is not None and self._is_alive(peer)
        ]

    def _is_alive(self, peer: Peer) -> bool:
        if peer.last is None:
            return False
        return self._clock.now() - peer.heard_ms <= ALIVE_MS

    def _check(self) -> None:
        """Notes peers that fell silent, and drops those silent for long."""
        now = self._clock.now()
        self._loads.forget_silent(now)
        for link, peer in list(self._peers.items()):
            is_alive = self._is_alive(peer)
            if peer.was_alive and not is_alive:
                events.GATEWAY_LOST.log(
                    peer=link, silent_ms=now - peer.heard_ms
                )
            peer.was_alive = is_alive
            if now - max(peer.heard_ms, peer.added_ms) > FORGET_MS:
                del self._peers[link]
                self._broadcast.forget(peer.address.broadcast)
                self._links.forget(link)
