"""Rumours: small pieces of news that reach every member once."""

import attrs

TTL_MS = 60_000


@attrs.frozen
class Rumour:
    """A piece of news.

    Attributes:
        kind: Who handles it.
        key: What it is about.
        origin: The incarnation of the member that shared it; 0 for news about
            members, which anyone may start.
        version: Of two with the same kind, key and origin the higher counts.
        data: For the handler.
    """

    kind: str
    key: str
    origin: int
    version: int
    data: bytes

    @property
    def size(self) -> int:
        """About how many bytes it takes in a message."""
        return len(self.kind) + len(self.key) + len(self.data) + 64


@attrs.frozen
class _Topic:
    """What a newer rumour replaces an older one by."""

    kind: str
    key: str
    origin: int


@attrs.define
class _Held:
    """A rumour that has been heard.

    Attributes:
        rumour: The rumour.
        until: When it is dropped.
        told: The peers that have it for certain.
        answered: The peers that were sent it in an answer.
    """

    rumour: Rumour
    until: int
    told: set[str] = attrs.field(factory=set)
    answered: set[str] = attrs.field(factory=set)


class Rumours:
    """The rumours that a member has heard lately and passes on."""

    def __init__(self) -> None:
        self._held: dict[_Topic, _Held] = {}

    def take(self, rumour: Rumour, now: int) -> bool:
        """Takes a rumour in; returns whether it is new."""
        topic = _topic(rumour)
        old = self._held.get(topic)
        if old is not None and old.rumour.version >= rumour.version:
            return False
        self._held[topic] = _Held(rumour, now + TTL_MS)
        return True

    def next_version(self, kind: str, key: str, origin: int, wall: int) -> int:
        """Returns a version above the one that is held."""
        old = self._held.get(_Topic(kind, key, origin))
        return max(wall, old.rumour.version + 1 if old else 0)

    def pick(self, peer: str, max_bytes: int) -> list[Rumour]:
        """Returns what a peer is not known to have, oldest first.

        Args:
            peer: The peer's name.
            max_bytes: The room in the message.
        """
        waiting = [h for h in self._held.values() if peer not in h.told]
        return [held.rumour for held in _fit(waiting, max_bytes)]

    def pick_answer(self, peer: str, max_bytes: int) -> list[Rumour]:
        """Returns what goes into an answer, each rumour once for each peer.

        Nobody tells whether the answer arrived; the neighbours whose task it
        is to tell the peer make up for a lost one.
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
        """Notes that a peer has these rumours."""
        for rumour in rumours:
            held = self._held.get(_topic(rumour))
            if held is not None and held.rumour.version <= rumour.version:
                held.told.add(peer)

    def expire(self, now: int) -> None:
        """Drops what was heard long ago."""
        for topic in [k for k, v in self._held.items() if v.until <= now]:
            del self._held[topic]


def _topic(rumour: Rumour) -> _Topic:
    return _Topic(rumour.kind, rumour.key, rumour.origin)


def _fit(waiting: list[_Held], max_bytes: int) -> list[_Held]:
    """Returns those that fit into a message.

    News about members comes last: in a storm of it there is another way to
    learn it, the comparison of views.
    """
    found = []
    waiting.sort(key=lambda held: held.rumour.origin == 0)
    for held in waiting:
        max_bytes -= held.rumour.size
        if max_bytes < 0:
            break
        found.append(held)
    return found
