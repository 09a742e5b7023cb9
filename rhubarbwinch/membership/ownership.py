"""Which pools a broker owns, and since when."""

from collections.abc import Iterable

from rhubarbwinch.membership.members import Members, Role
from rhubarbwinch.shared import rendezvous
from rhubarbwinch.shared.clock import Clock

# Entries report their streams to a new owner at once; until then requests
# wait, so that engines that look empty are not filled twice.
REBUILD_MS = 150


class Ownership:
    """Follows the owners of pools as members come and go.

    Args:
        members: Decides who owns a pool.
        clock: The source of time.
    """

    def __init__(self, members: Members, clock: Clock) -> None:
        self._members = members
        self._clock = clock
        self._owners: dict[str, str] = {}
        self._ready_at: dict[str, int] = {}
        members.on_change(self._update)

    def set_pools(self, names: Iterable[str]) -> None:
        """Sets the pools that there are."""
        self._owners = {n: self._owners.get(n, "") for n in names}
        self._update()

    def wait_ms(self, pool: str) -> int:
        """Returns how long decisions on a pool must still wait."""
        return max(0, self._ready_at.get(pool, 0) - self._clock.now())

    def _update(self) -> None:
        me = self._members.me.name
        brokers = [m.name for m in self._members.serving(Role.BROKER)]
        for pool, old in self._owners.items():
            owner = rendezvous.owner(pool, brokers) or ""
            self._owners[pool] = owner
            if owner == me and old not in ("", me):
                self._ready_at[pool] = self._clock.now() + REBUILD_MS
