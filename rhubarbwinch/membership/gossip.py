"""Exchanges heartbeats with neighbours and spreads updates to all members.

Each round contacts only a few neighbours, so the traffic of a member does not
grow with the fleet. New updates are relayed at once; the regular rounds
repeat updates whose messages were lost.
"""

import random
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from rhubarbwinch.links.linktypes import Caller, Listener
from rhubarbwinch.membership import overlay
from rhubarbwinch.membership.heartbeat import Heartbeat, ViewReply, ViewRequest
from rhubarbwinch.membership.members import Health, Member, MemberNews, Members
from rhubarbwinch.membership.rumours import Rumour, Rumours
from rhubarbwinch.shared import codec, events
from rhubarbwinch.shared.bytebudget import ByteBudget
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import CodecError, LinkError

# Receives an update's key and data.
RumourHandler = Callable[[str, bytes], Awaitable[None]]
# Receives a generation and the link address of a member that has it.
NewerHandler = Callable[[int, str], None]

ROUND_MS = 500
PEERS_PER_ROUND = 2
STRANGER_ROUNDS = 20
PUSH_DELAY_MS = 5
HEARTBEAT_TIMEOUT_MS = 1000
MISSED_TO_SUSPECT = 2
SUSPECT_MS = 3000
SYNC_MS = 5000
DEAD_KEPT_MS = 600_000
JOIN_MS = 1000
MAX_RUMOUR_BYTES = 512
MAX_NEWS_BYTES = 1200
# Updates beyond this rate are delayed, which bounds the gossip traffic when
# many members change at once.
NEWS_BYTES_PER_S = 2000
NEWS_BURST_BYTES = 64_000

_MEMBER = "member"


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
        links: Caller,
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
        self._handlers: dict[str, RumourHandler] = {}
        self._rumours = Rumours()
        self._budget = ByteBudget(clock, NEWS_BYTES_PER_S, NEWS_BURST_BYTES)
        self._generation = 0
        self._ended = False
        self._on_newer: NewerHandler = lambda _generation, _address: None
        self._fresh = anyio.Event()
        self._turn = 0
        self._missed: dict[str, int] = {}
        self._judging: set[str] = set()
        self._synced_at = -SYNC_MS
        self._buried_at: dict[str, int] = {}
        self._neighbours: list[str] | None = None
        server.on(Heartbeat, self._answer)
        server.on(ViewRequest, self._show_view)
        members.on_change(self._forget_neighbours)

    @property
    def neighbours(self) -> list[Member]:
        """The members that this one sends heartbeats to."""
        if self._neighbours is None:
            names = [m.name for m in self._members.all()]
            self._neighbours = overlay.neighbours(self._members.me.name, names)
        found = [self._members.get(name) for name in self._neighbours]
        return [member for member in found if member is not None]

    def on(self, kind: str, handler: RumourHandler) -> None:
        """Sets the function that handles updates of one kind.

        The handler is called once for each update from another member, in any
        order. If two updates have the same key and origin, the handler may
        receive only the newer one. After a member was paused for a long time,
        an update may be delivered twice.
        """
        self._handlers[kind] = handler

    def share(self, kind: str, key: str, data: bytes) -> None:
        """Broadcasts an update; it reaches most members within tens of ms.

        An update is kept for about a minute. Members that start later or are
        disconnected for longer must read the information from the store.

        Raises:
            ValueError: The data is longer than `MAX_RUMOUR_BYTES`.
        """
        if len(data) > MAX_RUMOUR_BYTES:
            raise ValueError(f"gossip update is too long: {len(data)} bytes")
        origin = self._members.me.incarnation
        wall = self._clock.wall()
        version = self._rumours.next_version(kind, key, origin, wall)
        self._pass_on(Rumour(kind, key, origin, version, data))

    def announce(self) -> None:
        """Broadcasts this process's current member data."""
        self._queue_news(self._members.my_news)

    def on_newer(self, handler: NewerHandler) -> None:
        """Sets the function called when a peer has a newer configuration."""
        self._on_newer = handler

    def set_generation(self, generation: int) -> None:
        """Sets the active generation and sends it to the neighbours at once."""
        self._generation = generation
        self._fresh.set()

    async def run(self) -> None:
        """Exchanges heartbeats until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._join)
            tasks.start_soon(self._push, tasks)
            while True:
                self._round(tasks)
                await self._clock.sleep(ROUND_MS)

    async def announce_end(self) -> None:
        """Announces to the neighbours that this process shuts down now."""
        self._ended = True
        self._queue_news(MemberNews(self._members.me, Health.DEAD))
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
                        await self._ask_view(address, [])
                self.announce()
            await self._clock.sleep(JOIN_MS)

    async def _push(self, tasks: anyio.abc.TaskGroup) -> None:
        """Sends new updates to all neighbours without waiting for the round."""
        while True:
            await self._fresh.wait()
            # The delay batches updates that arrive together into one message.
            await self._clock.sleep(PUSH_DELAY_MS)
            self._fresh = anyio.Event()
            for peer in self.neighbours:
                tasks.start_soon(self._exchange, peer)

    def _round(self, tasks: anyio.abc.TaskGroup) -> None:
        now = self._clock.now()
        self._rumours.expire(now)
        self._expire_dead(now)
        peers = self.neighbours
        for _ in range(min(PEERS_PER_ROUND, len(peers))):
            self._turn += 1
            peer = peers[self._turn % len(peers)]
            tasks.start_soon(self._watch_over, peer)
        if self._rng.randrange(STRANGER_ROUNDS) == 0:
            tasks.start_soon(self._greet_stranger)

    async def _greet_stranger(self) -> None:
        """Exchanges heartbeats with a random member that is no neighbour.

        This reconnects groups of members that have lost sight of each other.
        """
        near = {peer.name for peer in self.neighbours}
        others = [m for m in self._members.all() if m.name not in near]
        stranger = self._rng.choice(others)
        if stranger.name != self._members.me.name:
            await self._exchange(stranger)
            self._links.forget(stranger.link)

    async def _watch_over(self, peer: Member) -> None:
        """Exchanges heartbeats with a neighbour; suspects it if silent."""
        if await self._exchange(peer):
            self._missed.pop(peer.name, None)
            return
        self._missed[peer.name] = self._missed.get(peer.name, 0) + 1
        if self._missed[peer.name] < MISSED_TO_SUSPECT:
            return
        news = self._members.suspect(peer.name)
        if news is not None:
            events.MEMBER_SUSPECTED.log(member=peer.name)
            self._queue_news(news)
        await self._check_health(peer.name)

    async def _check_health(self, name: str) -> None:
        """Marks a suspect as dead unless it replies or holds its lease.

        Only the neighbours that found the member silent ask the store, so a
        failed member costs a few store calls whatever the size of the fleet.
        """
        if name in self._judging:
            return
        self._judging.add(name)
        try:
            await self._clock.sleep(SUSPECT_MS)
            if self._members.health(name) is not Health.SUSPECT:
                return
            if name not in self._missed or await self._holds_lease(name):
                return
            news = self._members.mark_dead(name)
            if news is not None:
                self._queue_news(news)
        finally:
            self._judging.discard(name)

    async def _exchange(self, peer: Member) -> bool:
        """Sends a heartbeat; returns whether the peer replied."""
        sent = self._rumours.pick(peer.name, self._room())
        try:
            answer = await self._links.call(
                peer.link,
                self._make(peer.name, sent),
                Heartbeat,
                HEARTBEAT_TIMEOUT_MS,
            )
        except (LinkError, CodecError):
            return False
        if answer.sender != peer.name:
            # Another process now listens at this address.
            return False
        self._rumours.mark(peer.name, sent)
        await self._take(answer)
        quiet = self._clock.now() - self._synced_at >= SYNC_MS
        if answer.digest != self._members.digest() and quiet:
            self._synced_at = self._clock.now()
            await self._ask_view(peer.link, self._members.digests())
        return True

    async def _ask_view(self, address: str, digests: list[int]) -> None:
        try:
            reply = await self._links.call(
                address, ViewRequest(digests), ViewReply, HEARTBEAT_TIMEOUT_MS
            )
        except (LinkError, CodecError) as error:
            events.PEER_SILENT.log(peer=address, error=str(error))
            return
        for news in reply.news:
            self._merge(news)

    def _room(self) -> int:
        """Returns how many bytes of updates the next message may hold."""
        return min(MAX_NEWS_BYTES, self._budget.left)

    def _make(self, peer: str, rumours: list[Rumour]) -> Heartbeat:
        verdict = self._members.news_of(peer)
        if verdict is not None and verdict.health is not Health.ALIVE:
            # The peer is reachable, so it is sent the update that says it is
            # suspected or dead, which it then refutes.
            rumours = [*rumours, _member_rumour(verdict)]
        self._budget.spend(sum(rumour.size for rumour in rumours))
        return Heartbeat(
            self._members.me.name,
            self._generation,
            self._members.digest(),
            rumours,
        )

    async def _answer(self, heartbeat: Heartbeat) -> Heartbeat:
        await self._take(heartbeat)
        peer = heartbeat.sender
        rumours = self._rumours.pick_answer(peer, self._room())
        return self._make(peer, rumours)

    async def _show_view(self, request: ViewRequest) -> ViewReply:
        return ViewReply(self._members.differing(request.digests))

    async def _take(self, heartbeat: Heartbeat) -> None:
        for rumour in heartbeat.rumours:
            await self._take_rumour(rumour)
        self._rumours.mark(heartbeat.sender, heartbeat.rumours)
        sender = self._members.get(heartbeat.sender)
        # A sender marked as dead here learns of that when the views are
        # compared.
        if sender is not None and heartbeat.generation > self._generation:
            self._on_newer(heartbeat.generation, sender.link)

    async def _take_rumour(self, rumour: Rumour) -> None:
        if rumour.kind == _MEMBER:
            try:
                news = codec.decode(rumour.data, MemberNews)
            except CodecError as error:
                events.PEER_REFUSED.log(error=str(error))
                return
            self._merge(news)
            return
        if not self._rumours.take(rumour, self._clock.now()):
            return
        self._fresh.set()
        handler = self._handlers.get(rumour.kind)
        if handler is not None:
            await handler(rumour.key, rumour.data)

    def _merge(self, news: MemberNews) -> None:
        if self._ended and news.member.name == self._members.me.name:
            return
        told = self._members.merge(news)
        if told is not None:
            self._queue_news(told)

    def _queue_news(self, news: MemberNews) -> None:
        name = news.member.name
        if news.health is Health.DEAD:
            self._buried_at.setdefault(name, self._clock.now())
            self._missed.pop(name, None)
        self._pass_on(_member_rumour(news))

    def _pass_on(self, rumour: Rumour) -> None:
        if self._rumours.take(rumour, self._clock.now()):
            self._fresh.set()

    def _expire_dead(self, now: int) -> None:
        for name, at in list(self._buried_at.items()):
            if now - at >= DEAD_KEPT_MS:
                del self._buried_at[name]
                self._members.forget(name)

    def _forget_neighbours(self) -> None:
        self._neighbours = None


def _member_rumour(news: MemberNews) -> Rumour:
    # For equal member versions, the update with the worse health is newer.
    version = news.member.version * len(Health) + news.health
    return Rumour(_MEMBER, news.member.name, 0, version, codec.encode(news))
