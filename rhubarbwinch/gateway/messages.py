"""Messages between gateways."""

import attrs


@attrs.frozen
class EndpointLoad:
    """What one gateway has running at one endpoint.

    Attributes:
        endpoint: The endpoint's id.
        runs: Requests, copies of their memory included.
        tokens: Memory that they are expected to need, in tokens.
        prefill: Prompt tokens that are still to be read.
    """

    endpoint: str
    runs: int
    tokens: int
    prefill: int = 0


@attrs.frozen
class PeerAddress:
    """Where a gateway is reached by others.

    Attributes:
        link: Where it answers calls.
        broadcast: Where its broadcasts are heard.
    """

    link: str
    broadcast: str


@attrs.frozen
class Heartbeat:
    """Sent to every peer a few times a second and after each change.

    Attributes:
        name: The sender's name.
        incarnation: The sender's number, new at each start.
        sequence: Counts the sender's heartbeats; a lower one is older.
        link: Where the sender answers calls.
        broadcast: Where the sender's broadcasts are heard.
        front: Where callers connect to the sender.
        data_center: Where the sender is.
        is_serving: Whether it takes new work.
        is_leaving: Whether it was told to stop.
        revision: Up to here it knows the store's changes.
        confirmed_ms: How long ago the store confirmed that to it.
        is_store_failing: Whether its last call to the store failed.
        loads: What it has running.
    """

    name: str
    incarnation: int
    sequence: int
    link: str
    broadcast: str
    front: str
    data_center: str
    is_serving: bool = False
    is_leaving: bool = False
    revision: int = 0
    confirmed_ms: int = 1 << 40
    is_store_failing: bool = False
    loads: list[EndpointLoad] = attrs.field(factory=list)

    @property
    def address(self) -> PeerAddress:
        """Where the sender is reached."""
        return PeerAddress(self.link, self.broadcast)


@attrs.frozen
class SharedChange:
    """A change of the store; neither value nor size means a deletion.

    Attributes:
        key: The key.
        revision: The revision of the change.
        value: The value, if it fits the message.
        bytes_left_out: The size of a value that does not fit.
    """

    key: str
    revision: int
    value: bytes | None = None
    bytes_left_out: int = 0


@attrs.frozen
class SharedBatch:
    """Changes of the store that one gateway tells all others.

    Attributes:
        sender: The sender's link address.
        after: The revision before the first change.
        revision: Up to here the changes are complete.
        changes: In the order of their revisions.
        after_outage: Whether the sender had lost the store shortly before, so
            that deletions may be of leases that could not be renewed.
    """

    sender: str
    after: int
    revision: int
    changes: list[SharedChange] = attrs.field(factory=list)
    after_outage: bool = False


@attrs.frozen
class ValueCall:
    """Asks for the newest value of a key."""

    key: str


@attrs.frozen
class SnapshotCall:
    """Asks for everything that a gateway knows of the store."""

    sender: str


@attrs.frozen
class CrashNotice:
    """Tells that an endpoint crashed under a request.

    Attributes:
        request: The fingerprint of the request.
        endpoint: The endpoint's id.
    """

    request: str
    endpoint: str


@attrs.frozen
class FailureNotice:
    """Tells that an endpoint failed a request.

    Attributes:
        gateway: The sender's name.
        data_center: Where the sender is.
        endpoint: The endpoint's id.
    """

    gateway: str
    data_center: str
    endpoint: str


@attrs.frozen
class LeavingNotice:
    """Tells that an engine has said by itself that it leaves.

    Attributes:
        endpoint: The engine's id.
        started_ms: Unix time of the start that is meant.
    """

    endpoint: str
    started_ms: int


@attrs.frozen
class Snapshot:
    """Everything that a gateway knows of the store.

    Attributes:
        revision: Up to here the changes are complete.
        changes: The newest change of each key.
        leaving: Engines that leave, also those of which the store does not
            know it.
    """

    revision: int
    changes: list[SharedChange] = attrs.field(factory=list)
    leaving: list[LeavingNotice] = attrs.field(factory=list)
