"""Stores recent gossip updates and tracks which peers have each of them."""

import attrs

UPDATE_TTL_MS = 60_000


@attrs.frozen
class Rumour:
    """A gossip update: a small message that is relayed to every member.

    Attributes:
        kind: Selects the handler.
        key: The subject of the update, such as a member's name.
        origin: The incarnation of the member that broadcast the update; 0 for
            updates about members, which any member may create.
        version: Of two updates with the same kind, key and origin, the one
            with the higher version is newer.
        data: The content, decoded by the handler.
    """

    kind: str
    key: str
    origin: int
    version: int
    data: bytes

    @property
    def size(self) -> int:
        """The approximate size in a message, in bytes."""
        return len(self.kind) + len(self.key) + len(self.data) + 64


@attrs.frozen
class _UpdateTopic:
    """Identifies an update; a newer update of the same topic replaces it."""

    kind: str
    key: str
    origin: int


@attrs.define
class _StoredUpdate:
    """A received update and its delivery state.

    Attributes:
        update: The update.
        expires_at: The time at which the update expires.
        delivered_to: The peers that are known to have the update.
        replied_to: The peers that were sent the update in a reply.
    """

    update: Rumour
    expires_at: int
    delivered_to: set[str] = attrs.field(factory=set)
    replied_to: set[str] = attrs.field(factory=set)


class UpdateBuffer:
    """The updates that a member has received recently and relays."""

    def __init__(self) -> None:
        self._updates: dict[_UpdateTopic, _StoredUpdate] = {}

    def add(self, update: Rumour, now: int) -> bool:
        """Adds an update; returns whether it is new."""
        topic = _topic_of(update)
        old = self._updates.get(topic)
        if old is not None and old.update.version >= update.version:
            return False
        self._updates[topic] = _StoredUpdate(update, now + UPDATE_TTL_MS)
        return True

    def next_version(self, kind: str, key: str, origin: int, wall: int) -> int:
        """Returns a version above that of the stored update."""
        old = self._updates.get(_UpdateTopic(kind, key, origin))
        return max(wall, old.update.version + 1 if old else 0)

    def pick_for_message(self, peer: str, max_bytes: int) -> list[Rumour]:
        """Returns the updates that a peer may not have, oldest first.

        Args:
            peer: The peer's name.
            max_bytes: The greatest total size of the updates.
        """
        candidates = [
            h for h in self._updates.values() if peer not in h.delivered_to
        ]
        return [
            stored.update for stored in _select_fitting(candidates, max_bytes)
        ]

    def pick_for_reply(self, peer: str, max_bytes: int) -> list[Rumour]:
        """Returns the updates for a reply, each update once for each peer.

        A reply is not acknowledged. If it is lost, the members that have this
        peer as a neighbour still send it the updates.
        """
        candidates = [
            h
            for h in self._updates.values()
            if peer not in h.delivered_to and peer not in h.replied_to
        ]
        fitting = _select_fitting(candidates, max_bytes)
        for stored in fitting:
            stored.replied_to.add(peer)
        return [stored.update for stored in fitting]

    def mark_delivered(self, peer: str, updates: list[Rumour]) -> None:
        """Records that a peer has these updates."""
        for update in updates:
            stored = self._updates.get(_topic_of(update))
            if stored is not None and stored.update.version <= update.version:
                stored.delivered_to.add(peer)

    def expire(self, now: int) -> None:
        """Drops the updates whose lifetime has passed."""
        for topic in [
            k for k, v in self._updates.items() if v.expires_at <= now
        ]:
            del self._updates[topic]


def _topic_of(update: Rumour) -> _UpdateTopic:
    return _UpdateTopic(update.kind, update.key, update.origin)


def _select_fitting(
    candidates: list[_StoredUpdate], max_bytes: int
) -> list[_StoredUpdate]:
    """Returns the updates that fit into a message.

    Updates about members come last: when there are too many of them, members
    still obtain the rest by comparing views.
    """
    fitting = []
    candidates.sort(key=lambda stored: stored.update.origin == 0)
    for stored in candidates:
        max_bytes -= stored.update.size
        if max_bytes < 0:
            break
        fitting.append(stored)
    return fitting
