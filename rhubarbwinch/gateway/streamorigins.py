"""Remembers which service and software version began each stream.

Pure code. It handles callers that take up a stream again at another gateway,
after the loss of a connection or of gateways. A stream goes on only at the
version that began it, and engines do not check this.

A few gateways keep each entry. Rendezvous hashing selects them, so the cost of
a stream does not grow with the number of gateways. When gateways come or go,
entries are handed to those that become keepers.
"""

from collections.abc import Iterable

from rhubarbwinch.gateway.messages import StreamOrigin
from rhubarbwinch.shared import rendezvous

# Gateways that keep an entry, besides the one that relays the stream.
KEEPERS = 3
# Gateways that are asked for an entry: more than keep it, as the gateways may
# have changed since.
ASKED = 5
# Longer than the time limit of a stream. Each time that a stream is taken up,
# its entry is recorded anew.
RETENTION_MS = 90_000
MAX_ENTRIES = 20_000


class StreamOrigins:
    """The origins of streams that this gateway relays or keeps.

    Args:
        name: The name of this gateway.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._gateways: tuple[str, ...] = (name,)
        # In the order of the times at which they were recorded.
        self._origins: dict[str, tuple[StreamOrigin, int]] = {}

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, origin: StreamOrigin, now_ms: int) -> None:
        """Records the origin of a stream, and drops those past their time."""
        self._origins.pop(origin.stream, None)
        self._origins[origin.stream] = (origin, now_ms)
        while self._origins:
            oldest = next(iter(self._origins))
            is_expired = now_ms - self._origins[oldest][1] > RETENTION_MS
            if not is_expired and len(self._origins) <= MAX_ENTRIES:
                return
            del self._origins[oldest]

    def find(self, stream: str) -> StreamOrigin | None:
        """Returns the origin of a stream, or None if it is not known here."""
        known = self._origins.get(stream)
        return known[0] if known is not None else None

    def keepers(self, stream: str) -> list[str]:
        """Returns the other gateways that keep a stream's origin."""
        return self._others(stream, self._gateways, KEEPERS)

    def asked(self, stream: str) -> list[str]:
        """Returns the other gateways that may know a stream's origin."""
        return self._others(stream, self._gateways, ASKED)

    def set_gateways(
        self, names: Iterable[str]
    ) -> dict[str, list[StreamOrigin]]:
        """Sets the gateways that keep origins.

        Returns:
            The origins to hand to each gateway that has become their keeper.
        """
        gateways = tuple(sorted(names))
        if gateways == self._gateways:
            return {}
        before, self._gateways = self._gateways, gateways
        handed: dict[str, list[StreamOrigin]] = {}
        for stream, (origin, _) in self._origins.items():
            old = self._others(stream, before, KEEPERS)
            for keeper in self.keepers(stream):
                if keeper not in old:
                    handed.setdefault(keeper, []).append(origin)
        return handed

    def _others(
        self, stream: str, gateways: tuple[str, ...], count: int
    ) -> list[str]:
        others = [name for name in gateways if name != self._name]
        return rendezvous.ranking(f"stream\0{stream}", others)[:count]
