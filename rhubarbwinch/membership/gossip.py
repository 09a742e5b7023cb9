"""Exchanges heartbeats with neighbours and spreads updates to all members.

Each round contacts only a few neighbours, so the traffic of a member does not
grow with the fleet. New updates are relayed at once; the regular rounds
repeat updates whose messages were lost.
"""

import random
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from rhubarbwinch.links.linkinterfaces import Listener, PeerCaller
from rhubarbwinch.membership import overlay
from rhubarbwinch.membership.heartbeat import Heartbeat, ViewReply, ViewRequest
from rhubarbwinch.membership.members import Health, Member, MemberNews, Members
from rhubarbwinch.membership.updatebuffer import Rumour, UpdateBuffer
from rhubarbwinch.shared import codec, events
from rhubarbwinch.shared.bytebucket import ByteTokenBucket
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import CodecError, LinkError

# Receives an update's key and data.
UpdateHandler = Callable[[str, bytes], Awaitable[None]]
# Receives a generation and the link address of a member that has it.
NewerGenerationHandler = Callable[[int, str], None]

ROUND_INTERVAL_MS = 500
PEERS_PER_ROUND = 2
ROUNDS_PER_RANDOM_PEER = 20
PUSH_BATCH_DELAY_MS = 5
HEARTBEAT_TIMEOUT_MS = 1000
MISSED_BEFORE_SUSPECT = 2
SUSPECT_TO_DEAD_MS = 3000
VIEW_SYNC_INTERVAL_MS = 5000
DEAD_RETENTION_MS = 600_000
JOIN_INTERVAL_MS = 1000
MAX_UPDATE_BYTES = 512
MAX_MESSAGE_UPDATE_BYTES = 1200
# Updates beyond this rate are delayed, which bounds the gossip traffic when
# many members change at once.
UPDATE_BYTES_PER_S = 2000
UPDATE_BURST_BYTES = 64_000

_MEMBER_KIND = "member"


async def _no_lease(_: str) -> bool:
    return False


class Gossip:
    """Exchanges heartbeats with a few peers and attaches updates to them.

    Args:
        links: Calls peers.
        server: Replies to peers.
        members: The cluster view that is kept up to date.
        clock: The source of time.
        rng: Chooses peers.
        peers: Link addresses to ask for the members when none are known.
        holds_lease: Returns whether a member's registration in the store is
            under a valid lease.
    """

    def __init__(
        self,
        links: PeerCaller,
        server: Listener,
        members: Members,
        clock: Clock,
        rng: random.Random,
        peers: list[str],
        holds_lease: Callable[[str], Awaitable[bool]] = _no_lease,
    ) -> None:
        self._links = links
        self._members = members
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._holds_lease = holds_lease
        self._handlers: dict[str, UpdateHandler] = {}
        self._updates = UpdateBuffer()
        self._budget = ByteTokenBucket(
            clock, UPDATE_BYTES_PER_S, UPDATE_BURST_BYTES
        )
        self._generation = 0
        self._is_shutting_down = False
        self._on_newer_generation: NewerGenerationHandler = (
            lambda _generation, _address: None
        )
        self._push_needed = anyio.Event()
        self._round_robin_index = 0
        self._missed_heartbeats: dict[str, int] = {}
        self._checked_suspects: set[str] = set()
        self._view_synced_at = -VIEW_SYNC_INTERVAL_MS
        self._marked_dead_at: dict[str, int] = {}
        self._neighbours: list[str] | None = None
        server.on(Heartbeat, self._handle_heartbeat)
        server.on(ViewRequest, self._handle_view_request)
        members.on_change(self._clear_neighbours)

    @property
    def neighbours(self) -> list[Member]:
        """The members that this one sends heartbeats to."""
        if self._neighbours is None:
            names = [m.name for m in self._members.all()]
            self._neighbours = overlay.neighbours(self._members.me.name, names)
        found = [self._members.get(name) for name in self._neighbours]
        return [member for member in found if member is not None]

    def on_update(self, kind: str, handler: UpdateHandler) -> None:
        """Sets the function that handles updates of one kind.

        The handler is called once for each update from another member, in any
        order. If two updates have the same key and origin, the handler may
        receive only the newer one. After a member was paused for a long time,
        an update may be delivered twice.
        """
        self._handlers[kind] = handler

    def broadcast(self, kind: str, key: str, data: bytes) -> None:
        """Broadcasts an update; it reaches most members within tens of ms.

        An update is kept for about a minute. Members that start later or are
        disconnected for longer must read the information from the store.

        Raises:
            ValueError: The data is longer than `MAX_UPDATE_BYTES`.
        """
        if len(data) > MAX_UPDATE_BYTES:
            raise ValueError(f"gossip update is too long: {len(data)} bytes")
        origin = self._members.me.incarnation
        wall = self._clock.wall()
        version = self._updates.next_version(kind, key, origin, wall)
        self._queue_update(Rumour(kind, key, origin, version, data))

    def announce(self) -> None:
        """Broadcasts this process's current member data."""
        self._queue_member_update(self._members.own_update)

    def on_newer_generation(self, handler: NewerGenerationHandler) -> None:
        """Sets the function called when a peer has a newer configuration."""
        self._on_newer_generation = handler

    def set_generation(self, generation: int) -> None:
        """Sets the active generation and sends it to the neighbours at once."""
        self._generation = generation
        self._push_needed.set()

    async def run(self) -> None:
        """Exchanges heartbeats until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._join)
            tasks.start_soon(self._push_updates, tasks)
            while True:
                self._start_round(tasks)
                await self._clock.sleep(ROUND_INTERVAL_MS)

    async def announce_shutdown(self) -> None:
        """Announces to the neighbours that this process shuts down now."""
        self._is_shutting_down = True
        self._queue_member_update(MemberNews(self._members.me, Health.DEAD))
        async with anyio.create_task_group() as tasks:
            for peer in self.neighbours:
                tasks.start_soon(self._exchange, peer)

    async def _join(self) -> None:
        """Announces this process; asks configured peers while none is known."""
        self.announce()
        while True:
            if len(self._members.all()) == 1:
                for address in self._peers:
                    if address != self._members.me.link:
                        await self._request_view(address, [])
                self.announce()
            await self._clock.sleep(JOIN_INTERVAL_MS)

    async def _push_updates(self, tasks: anyio.abc.TaskGroup) -> None:
        """Sends new updates to all neighbours without waiting for the round."""
        while True:
            await self._push_needed.wait()
            # The delay batches updates that arrive together into one message.
            await self._clock.sleep(PUSH_BATCH_DELAY_MS)
            self._push_needed = anyio.Event()
            for peer in self.neighbours:
                tasks.start_soon(self._exchange, peer)

    def _start_round(self, tasks: anyio.abc.TaskGroup) -> None:
        now = self._clock.now()
        self._updates.expire(now)
        self._expire_dead(now)
        peers = self.neighbours
        for _ in range(min(PEERS_PER_ROUND, len(peers))):
            self._round_robin_index += 1
            peer = peers[self._round_robin_index % len(peers)]
            tasks.start_soon(self._check_neighbour, peer)
        if self._rng.randrange(ROUNDS_PER_RANDOM_PEER) == 0:
            tasks.start_soon(self._contact_random_member)

    async def _contact_random_member(self) -> None:
        """Exchanges heartbeats with a random member that is no neighbour.

        This reconnects groups of members that have lost sight of each other.
        """
        neighbour_names = {peer.name for peer in self.neighbours}
        others = [
            m for m in self._members.all() if m.name not in neighbour_names
        ]
        member = self._rng.choice(others)
        if member.name != self._members.me.name:
            await self._exchange(member)
            self._links.forget(member.link)

    async def _check_neighbour(self, peer: Member) -> None:
        """Exchanges heartbeats with a neighbour; suspects it if silent."""
        if await self._exchange(peer):
            self._missed_heartbeats.pop(peer.name, None)
            return
        self._missed_heartbeats[peer.name] = (
            self._missed_heartbeats.get(peer.name, 0) + 1
        )
        if self._missed_heartbeats[peer.name] < MISSED_BEFORE_SUSPECT:
            return
        member_update = self._members.mark_suspect(peer.name)
        if member_update is not None:
            events.MEMBER_SUSPECTED.log(member=peer.name)
            self._queue_member_update(member_update)
        await self._check_suspect(peer.name)

    async def _check_suspect(self, name: str) -> None:
        """Marks a suspect as dead unless it replies or holds its lease.

        Only the neighbours that found the member silent ask the store, so a
        failed member costs a few store calls whatever the size of the fleet.
        """
        if name in self._checked_suspects:
            return
        self._checked_suspects.add(name)
        try:
            await self._clock.sleep(SUSPECT_TO_DEAD_MS)
            if self._members.health(name) is not Health.SUSPECT:
                return
            if name not in self._missed_heartbeats or await self._holds_lease(
                name
            ):
                return
            member_update = self._members.mark_dead(name)
            if member_update is not None:
                self._queue_member_update(member_update)
        finally:
            self._checked_suspects.discard(name)

    async def _exchange(self, peer: Member) -> bool:
        """Sends a heartbeat; returns whether the peer replied."""
        sent = self._updates.pick_for_message(
            peer.name, self._update_bytes_left()
        )
        try:
            reply = await self._links.call(
                peer.link,
                self._make_heartbeat(peer.name, sent),
                Heartbeat,
                HEARTBEAT_TIMEOUT_MS,
            )
        except (LinkError, CodecError):
            return False
        if reply.sender != peer.name:
            # Another process now listens at this address.
            return False
        self._updates.mark_delivered(peer.name, sent)
        await self._apply_heartbeat(reply)
        is_sync_due = (
            self._clock.now() - self._view_synced_at >= VIEW_SYNC_INTERVAL_MS
        )
        if reply.digest != self._members.digest() and is_sync_due:
            self._view_synced_at = self._clock.now()
            await self._request_view(peer.link, self._members.digests())
        return True

    async def _request_view(self, address: str, digests: list[int]) -> None:
        try:
            reply = await self._links.call(
                address, ViewRequest(digests), ViewReply, HEARTBEAT_TIMEOUT_MS
            )
        except (LinkError, CodecError) as error:
            events.PEER_SILENT.log(peer=address, error=str(error))
            return
        for news in reply.news:
            self._merge(news)

    def _update_bytes_left(self) -> int:
        """Returns how many bytes of updates the next message may hold."""
        return min(MAX_MESSAGE_UPDATE_BYTES, self._budget.available)

    def _make_heartbeat(self, peer: str, updates: list[Rumour]) -> Heartbeat:
        member_update = self._members.update_of(peer)
        if (
            member_update is not None
            and member_update.health is not Health.ALIVE
        ):
            # The peer is reachable, so it is sent the update that says it is
            # suspected or dead, which it then refutes.
            updates = [*updates, _make_member_update(member_update)]
        self._budget.consume(sum(update.size for update in updates))
        return Heartbeat(
            self._members.me.name,
            self._generation,
            self._members.digest(),
            updates,
        )

    async def _handle_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        await self._apply_heartbeat(heartbeat)
        peer = heartbeat.sender
        updates = self._updates.pick_for_reply(peer, self._update_bytes_left())
        return self._make_heartbeat(peer, updates)

    async def _handle_view_request(self, request: ViewRequest) -> ViewReply:
        return ViewReply(
            self._members.updates_in_differing_buckets(request.digests)
        )

    async def _apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        for update in heartbeat.rumours:
            await self._apply_update(update)
        self._updates.mark_delivered(heartbeat.sender, heartbeat.rumours)
        sender = self._members.get(heartbeat.sender)
        # A sender marked as dead here learns of that when the views are
        # compared.
        if sender is not None and heartbeat.generation > self._generation:
            self._on_newer_generation(heartbeat.generation, sender.link)

    async def _apply_update(self, update: Rumour) -> None:
        if update.kind == _MEMBER_KIND:
            try:
                member_update = codec.decode(update.data, MemberNews)
            except CodecError as error:
                events.PEER_REFUSED.log(error=str(error))
                return
            self._merge(member_update)
            return
        if not self._updates.add(update, self._clock.now()):
            return
        self._push_needed.set()
        handler = self._handlers.get(update.kind)
        if handler is not None:
            await handler(update.key, update.data)

    def _merge(self, member_update: MemberNews) -> None:
        if (
            self._is_shutting_down
            and member_update.member.name == self._members.me.name
        ):
            return
        to_relay = self._members.merge(member_update)
        if to_relay is not None:
            self._queue_member_update(to_relay)

    def _queue_member_update(self, member_update: MemberNews) -> None:
        name = member_update.member.name
        if member_update.health is Health.DEAD:
            self._marked_dead_at.setdefault(name, self._clock.now())
            self._missed_heartbeats.pop(name, None)
        self._queue_update(_make_member_update(member_update))

    def _queue_update(self, update: Rumour) -> None:
        if self._updates.add(update, self._clock.now()):
            self._push_needed.set()

    def _expire_dead(self, now: int) -> None:
        for name, at in list(self._marked_dead_at.items()):
            if now - at >= DEAD_RETENTION_MS:
                del self._marked_dead_at[name]
                self._members.forget(name)

    def _clear_neighbours(self) -> None:
        self._neighbours = None


def _make_member_update(member_update: MemberNews) -> Rumour:
    # For equal member versions, the update with the worse health is newer.
    version = member_update.member.version * len(Health) + member_update.health
    return Rumour(
        _MEMBER_KIND,
        member_update.member.name,
        0,
        version,
        codec.encode(member_update),
    )
