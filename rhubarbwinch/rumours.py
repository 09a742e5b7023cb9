"""Rumours: small pieces of news that reach every member once."""

import math
import random

import attrs

TTL_MS = 60_000
# Each member passes a rumour on so many times for each doubling of the fleet.
SENDS_PER_DOUBLING = 3


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
    """A rumour that has been heard."""

    rumour: Rumour
    until: int
    sends: int = 0


class Rumours:
    """The rumours that a member has heard lately and passes on.

    Args:
        rng: Breaks ties.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._held: dict[_Topic, _Held] = {}

    def take(self, rumour: Rumour, now: int) -> bool:
        """Takes a rumour in; returns whether it is new."""
        topic = _Topic(rumour.kind, rumour.key, rumour.origin)
        old = self._held.get(topic)
        if old is not None and old.rumour.version >= rumour.version:
            return False
        self._held[topic] = _Held(rumour, now + TTL_MS)
        return True

    def next_version(self, kind: str, key: str, origin: int, wall: int) -> int:
        """Returns a version above the one that is held."""
        old = self._held.get(_Topic(kind, key, origin))
        return max(wall, old.rumour.version + 1 if old else 0)

    def pick(self, members: int, max_bytes: int) -> list[Rumour]:
        """Returns what goes into the next message, least often sent first.

        Args:
            members: The size of the fleet.
            max_bytes: The room in the message.
        """
        limit = SENDS_PER_DOUBLING * (1 + math.ceil(math.log2(members + 1)))
        waiting = [held for held in self._held.values() if held.sends < limit]
        self._rng.shuffle(waiting)
        waiting.sort(key=lambda held: held.sends)
        found = []
        for held in waiting:
            if held.rumour.size > max_bytes:
                break
            max_bytes -= held.rumour.size
            held.sends += 1
            found.append(held.rumour)
        return found

    def expire(self, now: int) -> None:
        """Drops what was heard long ago."""
        for topic in [k for k, v in self._held.items() if v.until <= now]:
            del self._held[topic]
