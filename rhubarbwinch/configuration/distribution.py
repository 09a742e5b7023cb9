"""Peers give each other the accepted configuration, chunk by chunk.

The store is asked last. The idea of sending once to a few and supplying what
is missing by the numbers in heartbeats is that of EdgeDis, sections 3.1 to
3.3; docs/design/distribution.md says what was kept of it.
"""

import random
from collections.abc import Callable

import attrs

from rhubarbwinch.links.linktypes import Caller, Listener
from rhubarbwinch.membership.members import Members
from rhubarbwinch.records import accepted
from rhubarbwinch.records.accepted import Head
from rhubarbwinch.shared import events
from rhubarbwinch.shared.exceptions import CodecError, LinkError

FETCH_TIMEOUT_MS = 1000
MAX_PEERS_ASKED = 3


@attrs.frozen
class HeadRequest:
    """Asks a peer for the head in force there."""


@attrs.frozen
class HeadReply:
    """The head in force at a peer; its generation is 0 without one."""

    head: Head


@attrs.frozen
class ChunkRequest:
    """Asks a peer for a chunk."""

    name: str


@attrs.frozen
class ChunkReply:
    """A chunk; empty if the peer does not have it."""

    chunk: bytes


@attrs.frozen
class HeldHead:
    """A head and the address of a peer that has its chunks."""

    head: Head = attrs.field(factory=Head)
    address: str = ""


class Distribution:
    """Fetches heads and chunks from peers and serves them.

    Args:
        links: Calls peers.
        server: Answers peers.
        members: Whom to ask.
        rng: Spreads the calls.
    """

    def __init__(
        self,
        links: Caller,
        server: Listener,
        members: Members,
        rng: random.Random,
    ) -> None:
        self._links = links
        self._members = members
        self._rng = rng
        self._head: Callable[[], Head] = Head
        self._chunk: Callable[[str], bytes] = lambda _name: b""
        server.on(HeadRequest, self._show_head)
        server.on(ChunkRequest, self._show_chunk)

    def serve(
        self, head: Callable[[], Head], chunk: Callable[[str], bytes]
    ) -> None:
        """Sets where the head and the chunks in force are found."""
        self._head = head
        self._chunk = chunk

    async def head(self, address: str) -> Head | None:
        """Returns the head in force at a peer, or None without an answer."""
        try:
            reply = await self._links.call(
                address, HeadRequest(), HeadReply, FETCH_TIMEOUT_MS
            )
        except (LinkError, CodecError) as error:
            events.PEER_SILENT.log(peer=address, error=str(error))
            return None
        return reply.head

    async def newest_head(self, addresses: list[str]) -> HeldHead:
        """Returns the newest head of some peers; generation 0 without one."""
        best = HeldHead()
        for address in addresses:
            head = await self.head(address)
            if head is not None and head.generation > best.head.generation:
                best = HeldHead(head, address)
        return best

    async def chunk(self, name: str, holder: str) -> bytes | None:
        """Returns a chunk from a peer, or None if those asked lack it.

        Args:
            name: The chunk's digest.
            holder: The peer that is asked first, or empty.
        """
        others = self.some_peers(MAX_PEERS_ASKED)
        for address in [holder, *others] if holder else others:
            try:
                reply = await self._links.call(
                    address, ChunkRequest(name), ChunkReply, FETCH_TIMEOUT_MS
                )
            except (LinkError, CodecError) as error:
                events.PEER_SILENT.log(peer=address, error=str(error))
                continue
            if accepted.digest(reply.chunk) == name:
                return reply.chunk
        return None

    def some_peers(self, count: int) -> list[str]:
        """Returns the addresses of peers, those of the data centre first."""
        me = self._members.me
        others = [m for m in self._members.all() if m.name != me.name]
        self._rng.shuffle(others)
        others.sort(key=lambda m: m.data_center != me.data_center)
        return [m.link for m in others[:count]]

    async def _show_head(self, _: HeadRequest) -> HeadReply:
        return HeadReply(self._head())

    async def _show_chunk(self, request: ChunkRequest) -> ChunkReply:
        return ChunkReply(self._chunk(request.name))
