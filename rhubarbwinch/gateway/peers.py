"""The other gateways: who they are, who serves, and what each has running."""

from collections.abc import Callable

import anyio
import anyio.abc
import attrs

from rhubarbwinch import events, rendezvous
from rhubarbwinch.clock import Clock
from rhubarbwinch.exceptions import CodecError, LinkError
from rhubarbwinch.gateway.feed import FRESH_MS
from rhubarbwinch.gateway.loads import LoadBook
from rhubarbwinch.gateway.messages import (
    Heartbeat,
    SharedBatch,
    Snapshot,
    SnapshotCall,
)
from rhubarbwinch.linktypes import RunningCaller

HEARTBEAT_MS = 250
# Four heartbeats: a stall of the sender for less than a second is common.
ALIVE_MS = 1_100
# A peer that is silent for so long is no longer called; its registration in
# the store or a heartbeat of it brings it back.
FORGET_MS = 30_000
# Changes of load that come together share a heartbeat.
COALESCE_MS = 2
# Gateways that watch the store for the others; one more than is needed.
WATCHERS = 2
SNAPSHOT_TIMEOUT_MS = 1_000


@attrs.define
class Peer:
    """Another gateway.

    Attributes:
        link: Its link address.
        last: Its last heartbeat, or None.
        heard_ms: When that came; 0 for never.
        added_ms: When its address became known.
    """

    link: str
    added_ms: int
    last: Heartbeat | None = None
    heard_ms: int = 0
    wakeup: anyio.Event = attrs.field(factory=anyio.Event)
    outbox: list[SharedBatch] = attrs.field(factory=list)


class Peers:
    """Sends heartbeats to all other gateways and keeps what they tell.

    Args:
        me: The first heartbeat of this gateway; later ones repeat its names.
        links: Calls peers.
        clock: The source of time.
        loads: Takes what peers have running.
        describe: Completes a heartbeat by what changes.
    """

    def __init__(
        self,
        me: Heartbeat,
        links: RunningCaller,
        clock: Clock,
        loads: LoadBook,
        describe: Callable[[Heartbeat], Heartbeat],
    ) -> None:
        self._me = me
        self._links = links
        self._clock = clock
        self._loads = loads
        self._describe = describe
        self._sequence = 0
        self._peers: dict[str, Peer] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._told_version = -1

    async def run(self) -> None:
        """Keeps one task for each peer until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for peer in self._peers.values():
                tasks.start_soon(self._keep, peer)
            while True:
                await self._clock.sleep(HEARTBEAT_MS)
                self._loads.forget_silent(self._clock.now())
                self._forget()

    def add(self, link: str) -> None:
        """Adds a peer by its link address."""
        if link == self._me.link or link in self._peers:
            return
        peer = Peer(link, self._clock.now())
        self._peers[link] = peer
        if self._tasks is not None:
            self._tasks.start_soon(self._keep, peer)

    def tell_loads(self) -> None:
        """Sends a heartbeat soon, if what runs here has changed."""
        if self._loads.version != self._told_version:
            self._told_version = self._loads.version
            self.tell()

    def tell(self) -> None:
        """Sends a heartbeat soon."""
        for peer in self._peers.values():
            peer.wakeup.set()

    def share(self, batch: SharedBatch) -> None:
        """Tells all peers of changes in the store."""
        for peer in self._peers.values():
            if self._is_alive(peer):
                peer.outbox.append(batch)
                peer.wakeup.set()

    async def take(self, heartbeat: Heartbeat) -> None:
        """Takes a peer's heartbeat."""
        if heartbeat.link == self._me.link:
            return
        self.add(heartbeat.link)
        peer = self._peers[heartbeat.link]
        was = peer.last if self._is_alive(peer) else None
        order = (heartbeat.incarnation, heartbeat.sequence)
        if peer.last is not None and peer.last.incarnation == order[0]:
            if peer.last.sequence >= heartbeat.sequence:
                return
        peer.last = heartbeat
        peer.heard_ms = self._clock.now()
        self._loads.take(
            heartbeat.name, order, heartbeat.loads, self._clock.now()
        )
        if was is None or was.is_serving != heartbeat.is_serving:
            events.GATEWAY_CHANGED.log(
                peer=heartbeat.name,
                serving=heartbeat.is_serving,
                leaving=heartbeat.is_leaving,
            )

    def fronts(self) -> list[str]:
        """Returns the addresses of the other gateways that take callers."""
        return sorted(
            peer.last.front
            for peer in self._peers.values()
            if peer.last is not None
            and self._is_alive(peer)
            and peer.last.is_serving
        )

    @property
    def count(self) -> int:
        """How many other gateways there are, leaving ones included."""
        return sum(self._is_alive(peer) for peer in self._peers.values())

    def should_watch(self) -> bool:
        """Tells whether this gateway watches the store itself.

        The first of the gateways by a hash of their names do, and each whose
        peers have no fresh answer of the store.
        """
        alive = [
            p.last
            for p in self._peers.values()
            if p.last is not None and self._is_alive(p)
        ]
        names = [h.name for h in alive if not h.is_leaving]
        first = rendezvous.ranking("feed", [*names, self._me.name])[:WATCHERS]
        if self._me.name in first:
            return True
        now = self._clock.now()
        ages = [
            now - p.heard_ms + p.last.confirmed_ms
            for p in self._peers.values()
            if p.last is not None and p.last.name in first
        ]
        return not ages or min(ages) > FRESH_MS

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

    def _is_alive(self, peer: Peer) -> bool:
        if peer.last is None:
            return False
        return self._clock.now() - peer.heard_ms <= ALIVE_MS

    def _forget(self) -> None:
        """Drops peers that have been silent for long."""
        now = self._clock.now()
        for link, peer in list(self._peers.items()):
            if now - max(peer.heard_ms, peer.added_ms) > FORGET_MS:
                del self._peers[link]
                peer.wakeup.set()
                self._links.forget(link)

    async def _keep(self, peer: Peer) -> None:
        """Sends to one peer until it is forgotten."""
        was_reached = True
        while self._peers.get(peer.link) is peer:
            with anyio.move_on_after(HEARTBEAT_MS / 1000):
                await peer.wakeup.wait()
                await self._clock.sleep(COALESCE_MS)
            peer.wakeup = anyio.Event()
            batches, peer.outbox = peer.outbox, []
            try:
                for batch in batches:
                    await self._links.send(peer.link, batch)
                await self._links.send(peer.link, self._heartbeat())
                was_reached = True
            except LinkError as error:
                if was_reached:
                    events.GATEWAY_LOST.log(peer=peer.link, error=str(error))
                was_reached = False

    def _heartbeat(self) -> Heartbeat:
        self._sequence += 1
        return self._describe(
            attrs.evolve(
                self._me, sequence=self._sequence, loads=self._loads.own()
            )
        )
