"""Membership: who is there, from the store's leases."""

import enum

import anyio
import attrs

from rhubarbwinch import codec, events, keys
from rhubarbwinch.clock import Clock
from rhubarbwinch.exceptions import CodecError, StoreError
from rhubarbwinch.store import Store


class Role(enum.StrEnum):
    """What a process does."""

    ENTRY = "entry"
    BROKER = "broker"
    CONTROL = "control"


class MemberState(enum.StrEnum):
    """Whether a member takes new work."""

    SERVING = "serving"
    LEAVING = "leaving"


@attrs.frozen
class Member:
    """A process of the system.

    Attributes:
        name: Unique among all members.
        role: What it does.
        data_center: Where it runs.
        region: The region of the data centre.
        incarnation: A random number, new at each start.
        link: Its address for peers.
        http: Its HTTP address.
        state: Whether it takes new work.
    """

    name: str
    role: Role
    data_center: str
    region: str
    incarnation: int
    link: str
    http: str
    state: MemberState = MemberState.SERVING


class Members:
    """The members as this process knows them."""

    def __init__(self, me: Member) -> None:
        self._me = me
        self._known: dict[str, Member] = {me.name: me}

    @property
    def me(self) -> Member:
        """This process."""
        return self._me

    def all(self) -> list[Member]:
        """Returns all members, by name."""
        return [self._known[name] for name in sorted(self._known)]

    def serving(self, role: Role) -> list[Member]:
        """Returns the members of a role that take new work, by name."""
        return [
            m
            for m in self.all()
            if m.role is role and m.state is MemberState.SERVING
        ]

    def get(self, name: str) -> Member | None:
        """Returns the member called `name`."""
        return self._known.get(name)

    def leave(self) -> None:
        """Marks this process as leaving."""
        self._me = attrs.evolve(self._me, state=MemberState.LEAVING)
        self._known[self._me.name] = self._me

    def replace(self, found: list[Member]) -> None:
        """Takes the list in the store as the new view of the others."""
        known = {m.name: m for m in found} | {self._me.name: self._me}
        for name in known.keys() ^ self._known.keys():
            events.MEMBER_CHANGED.log(member=name, known=name in known)
        self._known = known


class Registration:
    """Keeps this process's registration and reads the others'.

    Args:
        store: The platform's store.
        members: The view to keep.
        clock: The source of time.
        lease_ms: The life of the registration without renewal.
    """

    def __init__(
        self, store: Store, members: Members, clock: Clock, lease_ms: int
    ) -> None:
        self._store = store
        self._members = members
        self._clock = clock
        self._lease_ms = lease_ms
        self._lease = 0
        self._written: Member | None = None
        self._store_ok = True
        self._wake = anyio.Event()

    async def run(self) -> None:
        """Renews the registration and reads the others until cancelled."""
        while True:
            await self.step()
            with anyio.move_on_after(self._lease_ms / 5000):
                await self._wake.wait()
            self._wake = anyio.Event()

    def hurry(self) -> None:
        """Makes a change of state known at once."""
        self._wake.set()

    async def step(self) -> None:
        """Renews once; an outage of the store leaves the view as it is."""
        try:
            await self._register()
            listing = await self._store.scan(keys.MEMBERS)
        except StoreError as error:
            if self._store_ok:
                events.STORE_DOWN.log(error=str(error))
            self._store_ok = False
            return
        if not self._store_ok:
            events.STORE_UP.log()
        self._store_ok = True
        found = []
        for entry in listing.entries:
            try:
                found.append(codec.decode(entry.value, Member))
            except CodecError as error:
                events.PEER_REFUSED.log(error=str(error))
        self._members.replace(found)

    async def close(self) -> None:
        """Ends the registration."""
        if self._lease:
            await self._store.revoke_lease(self._lease)

    async def _register(self) -> None:
        if not self._lease or not await self._store.keep_lease(self._lease):
            self._lease = await self._store.grant_lease(self._lease_ms)
            self._written = None
        me = self._members.me
        if self._written == me:
            return
        key = keys.member(me.name)
        current = await self._store.get(key)
        expected = current.revision if current else 0
        await self._store.swap(key, expected, codec.encode(me), self._lease)
        self._written = me
