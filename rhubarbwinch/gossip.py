"""Heartbeats between members, and news that they carry to all of them."""

from collections.abc import Awaitable, Callable

# Takes a rumour's key and data.
RumourHandler = Callable[[str, bytes], Awaitable[None]]

MAX_RUMOUR_BYTES = 512


class Gossip:
    """Exchanges heartbeats with a few peers and spreads news by them."""

    def __init__(self) -> None:
        self._handlers: dict[str, RumourHandler] = {}

    def on(self, kind: str, handler: RumourHandler) -> None:
        """Sets the function that takes rumours of a kind.

        It is called once for each rumour of another member, in any order; of
        two with the same key and origin it may see only the newer.
        """
        self._handlers[kind] = handler

    def share(self, kind: str, key: str, data: bytes) -> None:
        """Tells every member; a few tens of milliseconds for most of them.

        A rumour is kept for about a minute. Members that start later, or are
        cut off for longer, must learn from the store.

        Raises:
            ValueError: The data is longer than `MAX_RUMOUR_BYTES`.
        """
        if len(data) > MAX_RUMOUR_BYTES:
            raise ValueError(f"a rumour of {len(data)} bytes")
