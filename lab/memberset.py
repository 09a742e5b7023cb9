"""Runs the members of a deployment in one process with a manual clock.

Each member has the components of its program without HTTP, connected as in
`rhubarbwinch.programs.daemon`. Messages pass through in-memory links.
"""

import random

import anyio
import anyio.abc

from rhubarbwinch.configuration.configreplica import ConfigReplica
from rhubarbwinch.configuration.distribution import Distribution
from rhubarbwinch.configuration.publisher import Publisher
from rhubarbwinch.configuration.publisherloop import PublisherLoop
from rhubarbwinch.links.memlinks import MemoryNetwork
from rhubarbwinch.membership.gossip import Gossip
from rhubarbwinch.membership.leavingvms import LeavingVms
from rhubarbwinch.membership.members import Member, Members, Role
from rhubarbwinch.membership.registration import Registration
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.stores.memstore import MemoryStore
from rhubarbwinch.stores.store import Store

LEASE_MS = 5000


class Node:
    """A member with its components.

    Args:
        me: The member.
        store: The platform's store.
        network: The network for messages between members.
        clock: The source of time.
        peers: Link addresses for a start while the store is unavailable.
        all_watch: Whether the member always watches the head in the store. If
            not, only elected watchers watch it and distribute changes to their
            peers.
    """

    def __init__(
        self,
        me: Member,
        store: Store,
        network: MemoryNetwork,
        clock: ManualClock,
        peers: list[str] | None = None,
        all_watch: bool = False,
    ) -> None:
        rng = random.Random(me.incarnation)
        links = network.node(me.link)
        self.links = links
        self.clock = clock
        self.members = Members(me)
        self.registration = Registration(store, self.members, clock, LEASE_MS)
        self.gossip = Gossip(
            links,
            links,
            self.members,
            clock,
            rng,
            peers or [],
            self.registration.holds_lease,
        )
        if all_watch:
            self.config = ConfigReplica(store, clock)
        else:
            distribution = Distribution(links, links, self.members, rng)
            self.config = ConfigReplica(
                store, clock, self.members, distribution, peers
            )
            self.gossip.on_newer_generation(self.config.observe_generation)
            self.config.on_change(
                lambda snapshot: self.gossip.set_generation(snapshot.generation)
            )
        self.leaving = LeavingVms(self.gossip, clock)
        self.config.on_change(self.leaving.configure)
        self.publisher = Publisher(store, self.config)
        self.publisher_loop = PublisherLoop(
            self.publisher, store, self.members, clock
        )
        self._scope: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Runs the components until `stop` is called."""
        with anyio.CancelScope() as self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.registration.run)
                tasks.start_soon(self.gossip.run)
                tasks.start_soon(self.config.run)
                tasks.start_soon(self.leaving.run)
                if self.members.me.role is Role.CONTROL:
                    tasks.start_soon(self.publisher_loop.run)

    def stop(self) -> None:
        """Stops the components without notice to the other members."""
        if self._scope is not None:
            self._scope.cancel()


class MemberSet:
    """Several members, their store and the network between them.

    Args:
        tasks: The task group for the members.
        all_watch: Whether every member watches the store.
    """

    def __init__(
        self, tasks: anyio.abc.TaskGroup, all_watch: bool = False
    ) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.network = MemoryNetwork(self.clock)
        self.nodes: dict[str, Node] = {}
        self._tasks = tasks
        self._all_watch = all_watch

    def add(
        self,
        name: str,
        role: Role = Role.ENTRY,
        data_center: str = "dc-a",
        peers: list[str] | None = None,
        store: Store | None = None,
    ) -> Node:
        """Starts a member whose link address is its name."""
        incarnation = len(self.nodes) + 1
        me = Member(
            name,
            role,
            data_center,
            "region",
            incarnation,
            link=name,
            http=name,
            version=self.clock.wall(),
        )
        node = Node(
            me,
            store or self.store,
            self.network,
            self.clock,
            peers,
            self._all_watch,
        )
        self.nodes[name] = node
        self._tasks.start_soon(node.run)
        return node

    def kill(self, name: str) -> None:
        """Stops a member without notice; calls to it time out."""
        self.network.disconnected.add(name)
        self.nodes.pop(name).stop()

    def active_generations(self) -> list[int]:
        """Returns the active generation of each member, sorted by name."""
        return [
            self.nodes[name].config.head.generation
            for name in sorted(self.nodes)
        ]
