"""Tracks which pools a broker owns and when it may decide on their requests."""

from collections.abc import Iterable

from rhubarbwinch.membership.members import Members, Role
from rhubarbwinch.shared import rendezvous
from rhubarbwinch.shared.clock import Clock

# Entries report their open streams to a new owner at once. Requests wait for
# these reports: without them the engines look idle and would be overfilled.
NEW_OWNER_WAIT_MS = 150


class PoolOwnership:
    """Recomputes the owners of pools when the members change.

    Args:
        members: The brokers among which rendezvous hashing chooses the owner.
        clock: The source of time.
    """

    def __init__(self, members: Members, clock: Clock) -> None:
        self._members = members
        self._clock = clock
        self._owners: dict[str, str] = {}
        self._decisions_allowed_at: dict[str, int] = {}
        members.on_change(self._update_owners)

    def set_pools(self, names: Iterable[str]) -> None:
        """Sets the names of all pools."""
        self._owners = {n: self._owners.get(n, "") for n in names}
        self._update_owners()

    def ms_until_ready(self, pool: str) -> int:
        """Returns how long decisions on a pool must still wait, in ms."""
        return max(
            0, self._decisions_allowed_at.get(pool, 0) - self._clock.now()
        )

    def _update_owners(self) -> None:
        me = self._members.me.name
        brokers = [m.name for m in self._members.serving(Role.BROKER)]
        for pool, old_owner in self._owners.items():
            owner = rendezvous.owner(pool, brokers) or ""
            self._owners[pool] = owner
            if owner == me and old_owner not in ("", me):
                self._decisions_allowed_at[pool] = (
                    self._clock.now() + NEW_OWNER_WAIT_MS
                )
