"""Distributes the accepted configuration between peers, chunk by chunk.

The store is asked last. The scheme follows EdgeDis, sections 3.1 to 3.3: send
once to a few peers, then supply what is missing, as seen from the generation
numbers in heartbeats. docs/design/distribution.md lists the parts of EdgeDis
that are used.
"""

import random
from collections.abc import Callable

import attrs

from rhubarbwinch.links.linkinterfaces import Listener, PeerCaller
from rhubarbwinch.membership.members import Members
from rhubarbwinch.records import acceptedconfig
from rhubarbwinch.records.acceptedconfig import Head
from rhubarbwinch.shared import events
from rhubarbwinch.shared.exceptions import CodecError, LinkError

FETCH_TIMEOUT_MS = 1000
MAX_PEERS_ASKED = 3


@attrs.frozen
class HeadRequest:
    """Asks a peer for its active head."""


@attrs.frozen
class HeadReply:
    """A peer's active head; generation 0 if it has none."""

    head: Head


@attrs.frozen
class ChunkRequest:
    """Asks a peer for a chunk."""

    name: str


@attrs.frozen
class ChunkReply:
    """The requested chunk; empty if the peer does not have it."""

    chunk: bytes


@attrs.frozen
class PeerHead:
    """A head and the address of a peer that has its chunks."""

    head: Head = attrs.field(factory=Head)
    address: str = ""


class Distribution:
    """Fetches heads and chunks from peers and serves them to peers.

    Args:
        links: Calls peers.
        server: Replies to peers.
        members: The peers that can be asked.
        rng: Shuffles the peers, which spreads the calls.
    """

    def __init__(
        self,
        links: PeerCaller,
        server: Listener,
        members: Members,
        rng: random.Random,
    ) -> None:
        self._links = links
        self._members = members
        self._rng = rng
        self._get_head: Callable[[], Head] = Head
        self._get_chunk: Callable[[str], bytes] = lambda _name: b""
        server.on(HeadRequest, self._handle_head_request)
        server.on(ChunkRequest, self._handle_chunk_request)

    def set_source(
        self, get_head: Callable[[], Head], get_chunk: Callable[[str], bytes]
    ) -> None:
        """Sets the functions that return the active head and its chunks."""
        self._get_head = get_head
        self._get_chunk = get_chunk

    async def head(self, address: str) -> Head | None:
        """Returns a peer's active head, or None if it does not reply."""
        try:
            reply = await self._links.call(
                address, HeadRequest(), HeadReply, FETCH_TIMEOUT_MS
            )
        except (LinkError, CodecError) as error:
            events.PEER_SILENT.log(peer=address, error=str(error))
            return None
        return reply.head

    async def newest_head(self, addresses: list[str]) -> PeerHead:
        """Returns the newest head of some peers; generation 0 if none."""
        newest = PeerHead()
        for address in addresses:
            head = await self.head(address)
            if head is not None and head.generation > newest.head.generation:
                newest = PeerHead(head, address)
        return newest

    async def chunk(self, name: str, first_address: str) -> bytes | None:
        """Returns a chunk from a peer, or None if no asked peer has it.

        Args:
            name: The chunk's digest.
            first_address: The address of the peer to ask first, or empty.
        """
        others = self.choose_peers(MAX_PEERS_ASKED)
        for address in [first_address, *others] if first_address else others:
            try:
                reply = await self._links.call(
                    address, ChunkRequest(name), ChunkReply, FETCH_TIMEOUT_MS
                )
            except (LinkError, CodecError) as error:
                events.PEER_SILENT.log(peer=address, error=str(error))
                continue
            if acceptedconfig.chunk_digest(reply.chunk) == name:
                return reply.chunk
        return None

    def choose_peers(self, count: int) -> list[str]:
        """Returns addresses of peers, those in this data centre first."""
        me = self._members.me
        others = [m for m in self._members.all() if m.name != me.name]
        self._rng.shuffle(others)
        others.sort(key=lambda m: m.data_center != me.data_center)
        return [m.link for m in others[:count]]

    async def _handle_head_request(self, _: HeadRequest) -> HeadReply:
        return HeadReply(self._get_head())

    async def _handle_chunk_request(self, request: ChunkRequest) -> ChunkReply:
        return ChunkReply(self._get_chunk(request.name))
