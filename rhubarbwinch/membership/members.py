"""The cluster view: the known members, merged from updates about them."""

import enum
from collections.abc import Callable

import attrs
import xxhash

from rhubarbwinch.shared import events, rendezvous

DIGEST_BUCKETS = 32


class Role(enum.StrEnum):
    """The program that a process runs."""

    ENTRY = "entry"
    BROKER = "broker"
    CONTROL = "control"


class MemberState(enum.StrEnum):
    """Whether a member takes new work."""

    SERVING = "serving"
    LEAVING = "leaving"


class Health(enum.IntEnum):
    """A member's health as its peers see it.

    Of two updates with the same member version, the worse health counts.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@attrs.frozen
class Member:
    """A process of the system.

    Attributes:
        name: Unique among all members.
        role: The program that the process runs.
        data_center: The data centre that the process runs in.
        region: The region of the data centre.
        incarnation: A random number, new at each start.
        link: The link address at which peers reach the process.
        http: The HTTP address of the process.
        state: Whether the process takes new work.
        version: Raised by the member itself with each change of the above
            and to refute a suspicion; starts at its Unix time in ms.
    """

    name: str
    role: Role
    data_center: str
    region: str
    incarnation: int
    link: str
    http: str
    state: MemberState = MemberState.SERVING
    version: int = 0


@attrs.frozen
class MemberNews:
    """An update about a member: its data and its health."""

    member: Member
    health: Health = Health.ALIVE

    def is_newer_than(self, other: "MemberNews") -> bool:
        """Returns whether this update replaces `other`."""
        mine = (self.member.version, self.health)
        return mine > (other.member.version, other.health)


class Members:
    """This process's view of the members."""

    def __init__(self, me: Member) -> None:
        self._me = me
        self._known: dict[str, MemberNews] = {me.name: MemberNews(me)}
        self._serving: dict[Role, list[Member]] = {}
        self._digests: list[int] = []
        self._listeners: list[Callable[[], None]] = []

    @property
    def me(self) -> Member:
        """This process."""
        return self._me

    @property
    def own_update(self) -> MemberNews:
        """The update that describes this process."""
        return MemberNews(self._me)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change of the view."""
        self._listeners.append(listener)

    def all(self) -> list[Member]:
        """Returns all members that are not dead, by name."""
        return [
            self._known[name].member
            for name in sorted(self._known)
            if self._known[name].health is not Health.DEAD
        ]

    def serving(self, role: Role) -> list[Member]:
        """Returns the members of a role that take new work, by name.

        Suspected members are left out unless there are no others. Leaving
        members are left out unless all members of the role are leaving.
        """
        if role not in self._serving:
            self._serving[role] = self._find_serving(role)
        return self._serving[role]

    def get(self, name: str) -> Member | None:
        """Returns the member called `name`; None if it is unknown or dead."""
        update = self._known.get(name)
        if update is None or update.health is Health.DEAD:
            return None
        return update.member

    def health(self, name: str) -> Health:
        """Returns a member's health; an unknown member counts as dead."""
        update = self._known.get(name)
        return update.health if update else Health.DEAD

    def update_of(self, name: str) -> MemberNews | None:
        """Returns the latest update about a member, also of a dead one."""
        return self._known.get(name)

    def names_in(self, data_center: str) -> list[str]:
        """Returns the names of a data centre's members, sorted."""
        return [m.name for m in self.all() if m.data_center == data_center]

    def elected(self, task: str, data_center: str, count: int) -> list[str]:
        """Returns the members elected for a task of their data centre.

        Rendezvous hashing of `task` over the live members chooses `count` of
        them, so that every member computes the same result.
        """
        alive = [
            name
            for name in self.names_in(data_center)
            if self.health(name) is Health.ALIVE
        ]
        return rendezvous.ranking(task, alive)[:count]

    def set_state(self, state: MemberState) -> None:
        """Changes the state of this process."""
        if state is not self._me.state:
            self._update_self(state=state)

    def leave(self) -> None:
        """Marks this process as leaving."""
        self.set_state(MemberState.LEAVING)

    def merge(self, update: MemberNews) -> MemberNews | None:
        """Applies an update from a peer or from the store.

        Returns:
            The update to broadcast: the given one if it was new, a refutation
            if it said that this process is suspected or dead, else None.
        """
        name = update.member.name
        if name == self._me.name:
            return self._merge_own(update)
        old = self._known.get(name)
        if old is not None and not update.is_newer_than(old):
            return None
        self._known[name] = update
        if old is None or old.health is not update.health:
            events.MEMBER_CHANGED.log(
                member=name,
                health=update.health.name,
                state=update.member.state,
            )
        self._view_changed()
        return update

    def mark_suspect(self, name: str) -> MemberNews | None:
        """Marks a member as suspected; returns the update to broadcast."""
        return self._mark(name, Health.SUSPECT)

    def mark_dead(self, name: str) -> MemberNews | None:
        """Marks a member as dead; returns the update to broadcast."""
        return self._mark(name, Health.DEAD)

    def forget(self, name: str) -> None:
        """Removes a dead member from the view."""
        if self.health(name) is Health.DEAD:
            self._known.pop(name, None)

    def digests(self) -> list[int]:
        """Returns a hash for each bucket of the members that are not dead."""
        if not self._digests:
            hashes = [0] * DIGEST_BUCKETS
            for member in self.all():
                text = f"{member.name}\0{member.version}".encode()
                hashes[_bucket(member.name)] ^= xxhash.xxh3_64_intdigest(text)
            self._digests = hashes
        return self._digests

    def digest(self) -> int:
        """Returns a hash of the whole view; equal views have equal hashes."""
        packed = b"".join(d.to_bytes(8, "big") for d in self.digests())
        return xxhash.xxh3_64_intdigest(packed)

    def updates_in_differing_buckets(
        self, digests: list[int]
    ) -> list[MemberNews]:
        """Returns the members in the buckets that differ from `digests`."""
        mine = self.digests()
        differing_buckets = {
            i
            for i in range(DIGEST_BUCKETS)
            if i >= len(digests) or digests[i] != mine[i]
        }
        return [
            update
            for name, update in self._known.items()
            if _bucket(name) in differing_buckets
        ]

    def _mark(self, name: str, health: Health) -> MemberNews | None:
        known = self._known.get(name)
        if known is None or name == self._me.name:
            return None
        return self.merge(MemberNews(known.member, health))

    def _merge_own(self, update: MemberNews) -> MemberNews | None:
        """Refutes an update about this process that it did not publish."""
        is_own = update.member.incarnation == self._me.incarnation
        if is_own and update.health is Health.ALIVE:
            return None
        if update.member.version < self._me.version:
            return None
        return self._update_self(version=update.member.version)

    def _update_self(
        self, version: int | None = None, state: MemberState | None = None
    ) -> MemberNews:
        self._me = attrs.evolve(
            self._me,
            version=max(version or 0, self._me.version) + 1,
            state=state or self._me.state,
        )
        self._known[self._me.name] = MemberNews(self._me)
        self._view_changed()
        return self.own_update

    def _find_serving(self, role: Role) -> list[Member]:
        of_role = [m for m in self.all() if m.role is role]
        available = [m for m in of_role if m.state is MemberState.SERVING]
        healthy = [m for m in available if self.health(m.name) is Health.ALIVE]
        return healthy or available or of_role

    def _view_changed(self) -> None:
        self._serving.clear()
        self._digests = []
        for listener in self._listeners:
            listener()


def _bucket(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % DIGEST_BUCKETS
