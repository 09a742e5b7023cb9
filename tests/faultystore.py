"""An in-memory store with faults in reading and writing the config head."""

from rhubarbwinch.shared.exceptions import StoreUncertain
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.memstore import MemoryStore


class FaultyStore(MemoryStore):
    """Loses writes or replies of the head's swap and returns old heads.

    Attributes:
        lost: `after` loses the next reply after the head was written,
            `before` loses the next request, None loses nothing.
        stale: The entry that is returned as the head, or None.
        heads: Every value that was written to the head.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.lost = None
        self.stale = None
        self.heads = []

    async def get(self, key):
        entry = await super().get(key)
        if key == keys.ACCEPTED_HEAD and self.stale is not None:
            return self.stale
        return entry

    async def swap(self, key, expected, value, lease=0):
        if key != keys.ACCEPTED_HEAD:
            return await super().swap(key, expected, value, lease)
        lost, self.lost = self.lost, None
        if lost == "before":
            raise StoreUncertain("the request was lost")
        swap = await super().swap(key, expected, value, lease)
        if swap.succeeded:
            self.heads.append(value)
        if lost == "after":
            raise StoreUncertain("the answer was lost")
        return swap
