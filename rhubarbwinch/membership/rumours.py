"""Stores recent gossip updates and tracks which peers have each of them."""

import attrs

TTL_MS = 60_000


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
class _Topic:
    """Identifies an update; a newer update of the same topic replaces it."""

    kind: str
    key: str
    origin: int


@attrs.define
class _Held:
    """A received update and its delivery state.

    Attributes:
        rumour: The update.
        until: The time at which the update expires.
        told: The peers that are known to have the update.
        answered: The peers that were sent the update in a reply.
    """

    rumour: Rumour
    until: int
    told: set[str] = attrs.field(factory=set)
    answered: set[str] = attrs.field(factory=set)


class Rumours:
    """The updates that a member has received recently and relays."""

    def __init__(self) -> None:
        self._held: dict[_Topic, _Held] = {}

    def take(self, rumour: Rumour, now: int) -> bool:
        """Adds an update; returns whether it is new."""
        topic = _topic(rumour)
        old = self._held.get(topic)
        if old is not None and old.rumour.version >= rumour.version:
            return False
        self._held[topic] = _Held(rumour, now + TTL_MS)
        return True

    def next_version(self, kind: str, key: str, origin: int, wall: int) -> int:
        """Returns a version above that of the stored update."""
        old = self._held.get(_Topic(kind, key, origin))
        return max(wall, old.rumour.version + 1 if old else 0)

    def pick(self, peer: str, max_bytes: int) -> list[Rumour]:
        """Returns the updates that a peer may not have, oldest first.

        Args:
            peer: The peer's name.
            max_bytes: The greatest total size of the updates.
        """
        waiting = [h for h in self._held.values() if peer not in h.told]
        return [held.rumour for held in _fit(waiting, max_bytes)]

    def pick_answer(self, peer: str, max_bytes: int) -> list[Rumour]:
        """Returns the updates for a reply, each update once for each peer.

        A reply is not acknowledged. If it is lost, the members that have this
        peer as a neighbour still send it the updates.
        """
        waiting = [
            h
            for h in self._held.values()
            if peer not in h.told and peer not in h.answered
        ]
        found = _fit(waiting, max_bytes)
        for held in found:
            held.answered.add(peer)
        return [held.rumour for held in found]

    def mark(self, peer: str, rumours: list[Rumour]) -> None:
        """Records that a peer has these updates."""
        for rumour in rumours:
            held = self._held.get(_topic(rumour))
            if held is not None and held.rumour.version <= rumour.version:
                held.told.add(peer)

    def expire(self, now: int) -> None:
        """Drops the updates whose lifetime has passed."""
        for topic in [k for k, v in self._held.items() if v.until <= now]:
            del self._held[topic]


def _topic(rumour: Rumour) -> _Topic:
    return _Topic(rumour.kind, rumour.key, rumour.origin)


def _fit(waiting: list[_Held], max_bytes: int) -> list[_Held]:
    """Returns the updates that fit into a message.

    Updates about members come last: when there are too many of them, members
    still obtain the rest by comparing views.
    """
    found = []
    waiting.sort(key=lambda held: held.rumour.origin == 0)
    for held in waiting:
        max_bytes -= held.rumour.size
        if max_bytes < 0:
            break
        found.append(held)
    return found
