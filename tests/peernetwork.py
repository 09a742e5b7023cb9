"""Runs the peers of many gateways on a network without sockets."""

import anyio
import attrs

from rhubarbwinch.gateway.loads import LoadTracker
from rhubarbwinch.gateway.messages import Heartbeat, PeerAddress
from rhubarbwinch.gateway.peers import Peers
from rhubarbwinch.shared import codec


class NetworkBroadcast:
    """A broadcast that delivers to other gateways of the network at once."""

    def __init__(self, network, address):
        self._network = network
        self._address = address
        self._handlers = {}
        self._peers = set()

    def on(self, kind, handle):
        """Sets the handler of a message class."""
        self._handlers[kind] = handle

    def add(self, address):
        """Adds a receiver."""
        self._peers.add(address)

    def forget(self, address):
        """Removes a receiver."""
        self._peers.discard(address)

    def send(self, message):
        """Sends a message to all receivers."""
        self.send_to(message, self._peers)

    def send_to(self, message, addresses):
        """Sends a message to some receivers."""
        for address in sorted(addresses):
            self._network.deliver(self._address, address, message)

    def receive(self, message):
        """Handles a message."""
        self._handlers[type(message)](message)


class NoLinks:
    """Links that are not used."""

    def forget(self, link):
        """Does nothing."""


@attrs.define
class Node:
    """One gateway of the network."""

    name: str
    peers: Peers
    loads: LoadTracker
    broadcast: NetworkBroadcast
    address: PeerAddress
    scope: anyio.CancelScope | None = None
    received: int = 0
    sent_bytes: int = 0
    largest: int = 0


class PeerNetwork:
    """Gateways in some data centres, registered with each other.

    Args:
        clock: The clock of all gateways.
        count: The number of gateways.
        data_centers: The number of data centres.
        links_mbps: The capacity of the link of each gateway; by default it is
            not known.
    """

    def __init__(self, clock, count, data_centers, links_mbps=None):
        self.clock = clock
        self.nodes = {}
        self._links_mbps = links_mbps or {}
        for number in range(count):
            node = self._make(f"g{number}", f"dc-{number % data_centers}", 1)
            self.nodes[node.address.broadcast] = node
        for node in self.nodes.values():
            self._register(node)

    def _register(self, node):
        for other in self.nodes.values():
            node.peers.add(other.address)

    def _make(self, name, data_center, incarnation):
        link_mbps = self._links_mbps.get(name, 0)
        address = PeerAddress(f"{name}:1", f"{name}:2", data_center, link_mbps)
        broadcast = NetworkBroadcast(self, address.broadcast)
        loads = LoadTracker()
        own = Heartbeat(
            name,
            incarnation,
            0,
            address.link,
            address.broadcast,
            f"{name}:3",
            data_center,
            is_serving=True,
            link_mbps=link_mbps,
        )
        peers = Peers(
            own, broadcast, NoLinks(), self.clock, loads, lambda beat: beat
        )
        return Node(name, peers, loads, broadcast, address)

    def deliver(self, sender, receiver, message):
        """Delivers a message if both gateways run."""
        source, target = self.nodes[sender], self.nodes[receiver]
        if source.scope is None or target.scope is None:
            return
        size = len(codec.encode(message))
        source.sent_bytes += size
        target.received += 1
        target.largest = max(target.largest, size)
        target.broadcast.receive(message)

    def start(self, tasks):
        """Starts all gateways."""
        for node in self.nodes.values():
            self._start(tasks, node)

    def restart(self, tasks, node):
        """Replaces a gateway by one that has just started; returns it."""
        new = self._make(node.name, node.address.data_center, 2)
        self.nodes[new.address.broadcast] = new
        self._register(new)
        self._start(tasks, new)
        return new

    def add(self, tasks, name, data_center, seed):
        """Starts a gateway that is not registered; returns it.

        Args:
            tasks: Runs the gateway.
            name: Its name.
            data_center: Its data centre.
            seed: The only gateway that it knows, by its address alone.
        """
        new = self._make(name, data_center, 1)
        self.nodes[new.address.broadcast] = new
        new.peers.add(attrs.evolve(seed.address, data_center=""))
        self._start(tasks, new)
        return new

    def _start(self, tasks, node):
        node.scope = anyio.CancelScope()
        tasks.start_soon(self._run, node, node.scope)

    async def _run(self, node, scope):
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(node.peers.run)
                tasks.start_soon(node.peers.run_relay)

    def stop(self, node):
        """Stops a gateway without notice."""
        node.scope.cancel()
        node.scope = None

    @property
    def running(self):
        """The gateways that run."""
        return [n for n in self.nodes.values() if n.scope is not None]

    def relays(self, data_center):
        """Returns the relays of a data centre, as its gateways see them."""
        node = next(
            n for n in self.running if n.address.data_center == data_center
        )
        by_link = {n.address.link: n for n in self.nodes.values()}
        return [by_link[link] for link in node.peers._relays(data_center)]
