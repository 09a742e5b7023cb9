"""The messages between gateways, as attrs classes."""

import attrs


@attrs.frozen
class EndpointLoad:
    """One gateway's load at one endpoint.

    Attributes:
        endpoint: The endpoint's id.
        runs: The number of requests, migrated copies included.
        tokens: The KV cache that requests and copies are expected to need, in
            tokens.
        prefill: Prompt tokens whose prefill is pending.
        event_ms: The time between events of the gateway's runs there; 0 if it
            is not known.
    """

    endpoint: str
    runs: int
    tokens: int
    prefill: int = 0
    event_ms: int = 0


@attrs.frozen
class AccountUsage:
    """What a client account uses at a service through one gateway.

    Attributes:
        service: The name of the service.
        account: The name of the client account.
        tokens: The KV cache of its runs, in tokens.
    """

    service: str
    account: str
    tokens: int


@attrs.frozen
class EndpointLimit:
    """The rate limit that an endpoint has declared.

    Attributes:
        endpoint: The endpoint's id.
        rate: The requests a second that it accepts from all gateways together;
            None if its limit has ended.
    """

    endpoint: str
    rate: float | None = None


@attrs.frozen
class RateLimitNotice:
    """Tells an endpoint's coordinator what a gateway's response declared.

    Attributes:
        gateway: The name of the gateway.
        limit: The limit that the response declared, or its end.
    """

    gateway: str
    limit: EndpointLimit


@attrs.frozen
class StreamOrigin:
    """Where a stream began.

    Attributes:
        stream: The id of the caller's attempt that received its first event.
        service: The service of its first engine.
        version: The software version of its first engine.
    """

    stream: str
    service: str
    version: str


@attrs.frozen
class OriginBatch:
    """Origins of streams, for gateways that keep them."""

    origins: list[StreamOrigin]


@attrs.frozen
class OriginCall:
    """Asks for the origin of a stream, by the id of its first attempt."""

    stream: str


@attrs.frozen
class OriginReply:
    """The reply to an `OriginCall`; None if the gateway does not know it."""

    origin: StreamOrigin | None = None


@attrs.frozen
class PeerAddress:
    """The addresses at which other gateways reach a gateway.

    Attributes:
        link: The address for calls.
        broadcast: The address for broadcast datagrams.
        data_center: The gateway's data centre; empty if it is not known.
        link_mbps: The capacity of its VM's network link in Mbit/s; 0 if it is
            not known.
    """

    link: str
    broadcast: str
    data_center: str = ""
    link_mbps: int = 0


@attrs.frozen
class Heartbeat:
    """A gateway's state, broadcast periodically and after each change.

    Attributes:
        name: The sender's name.
        incarnation: The sender's number, new at each start.
        sequence: Counts the sender's heartbeats; a lower one is older.
        link: The sender's address for calls.
        broadcast: The sender's address for broadcast datagrams.
        front: The sender's address for callers.
        data_center: The sender's data centre.
        is_serving: Whether the sender accepts new requests.
        is_leaving: Whether the sender is shutting down.
        revision: The store revision up to which the sender knows all changes.
        confirmed_ms: Milliseconds since the store confirmed that revision to
            the sender.
        is_store_failing: Whether the sender's last call to the store failed.
        store_available_ms: Milliseconds for which the store has answered the
            sender without an outage; 0 if the sender does not call it.
        loads: The sender's loads at endpoints.
        limits: The limits of the endpoints that the sender coordinates.
        brittle_services: The services whose responses to the sender say that
            their endpoints are brittle.
        forward: The sender's address for requests that other gateways pass on;
            empty if it takes none.
        isolated_from: The services whose endpoints the sender does not reach.
        refused_suspects: The keys of requests and parts of prompts that the
            sender refuses, as endpoints crash under them.
        link_mbps: The capacity of the network link of the sender's VM in
            Mbit/s; 0 if it is not known.
        config_version: The version of the configuration in force at the sender;
            0 if there is none.
        accounts: What client accounts use through the sender.
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
    store_available_ms: int = 0
    loads: list[EndpointLoad] = attrs.field(factory=list)
    limits: list[EndpointLimit] = attrs.field(factory=list)
    brittle_services: list[str] = attrs.field(factory=list)
    forward: str = ""
    isolated_from: list[str] = attrs.field(factory=list)
    refused_suspects: list[str] = attrs.field(factory=list)
    link_mbps: int = 0
    config_version: int = 0
    accounts: list[AccountUsage] = attrs.field(factory=list)

    @property
    def address(self) -> PeerAddress:
        """The sender's addresses for calls and broadcasts."""
        return PeerAddress(
            self.link, self.broadcast, self.data_center, self.link_mbps
        )


@attrs.frozen
class BeatNotice:
    """A heartbeat whose state is the same as that of an earlier one.

    Attributes:
        name: The name of the gateway.
        incarnation: The number of the gateway's start.
        sequence: The number of the heartbeat.
    """

    name: str
    incarnation: int
    sequence: int


@attrs.frozen
class HeartbeatDigest:
    """Heartbeats that a relay forwards, the newest of each gateway.

    Attributes:
        sender: The name of the relay.
        data_center: The data centre of the relay.
        is_urgent: Whether it has changes, which are forwarded without delay.
        heartbeats: Heartbeats with the whole state of their senders.
        notices: Heartbeats without a change.
    """

    sender: str
    data_center: str
    is_urgent: bool = False
    heartbeats: list[Heartbeat] = attrs.field(factory=list)
    notices: list[BeatNotice] = attrs.field(factory=list)


@attrs.frozen
class SharedChange:
    """A change of the store; neither value nor size means a deletion.

    Attributes:
        key: The key.
        revision: The revision of the change.
        value: The value, if it fits into the message.
        bytes_left_out: The size of a value that does not fit.
    """

    key: str
    revision: int
    value: bytes | None = None
    bytes_left_out: int = 0


@attrs.frozen
class SharedBatch:
    """Changes of the store that one gateway broadcasts to all others.

    Attributes:
        sender: The sender's link address.
        after: The revision before the first change.
        revision: The revision up to which the changes are complete.
        changes: The changes in the order of their revisions.
        after_outage: Whether the store was unavailable to the sender until
            recently, so that deletions may come from leases that could not be
            renewed.
    """

    sender: str
    after: int
    revision: int
    changes: list[SharedChange] = attrs.field(factory=list)
    after_outage: bool = False


@attrs.frozen
class ValueCall:
    """Requests the newest value of a key."""

    key: str


@attrs.frozen
class SnapshotCall:
    """Requests a gateway's whole replica of the store."""

    sender: str


@attrs.frozen
class CrashNotice:
    """Reports that an endpoint crashed while serving a request.

    Attributes:
        request: The key of the request.
        endpoint: The endpoint's id.
        started_ms: Unix time of the endpoint's start.
        parts: The keys of the shared parts of the request's prompt, if the
            endpoint had just begun to answer.
        sent_ago_ms: Milliseconds since the request was sent to the endpoint.
        ago_ms: Milliseconds since the endpoint broke off the response.
    """

    request: str
    endpoint: str
    started_ms: int = 0
    parts: list[str] = attrs.field(factory=list)
    sent_ago_ms: int = 0
    ago_ms: int = 0


@attrs.frozen
class ReachabilityCall:
    """Asks a gateway whether it can connect to an endpoint.

    Attributes:
        address: The endpoint's address.
    """

    address: str


@attrs.frozen
class ReachabilityReply:
    """The reply to a `ReachabilityCall`."""

    is_reachable: bool


@attrs.frozen
class HarmlessNotice:
    """Reports that requests with these suspects did not crash their endpoints.

    Attributes:
        keys: The keys of requests and parts of prompts.
        ago_ms: Milliseconds since that was seen last.
    """

    keys: list[str]
    ago_ms: int = 0


@attrs.frozen
class FailureNotice:
    """Reports that an endpoint failed a request.

    Attributes:
        gateway: The sender's name.
        data_center: The sender's data centre.
        endpoint: The endpoint's id.
        is_unreachable: Whether it accepted no connection.
    """

    gateway: str
    data_center: str
    endpoint: str
    is_unreachable: bool = False


@attrs.frozen
class FullNotice:
    """Reports that a brittle endpoint has refused a request for want of room.

    Attributes:
        endpoint: The endpoint's id.
        pause_ms: For how long no gateway is to send it requests.
    """

    endpoint: str
    pause_ms: int


@attrs.frozen
class LeavingNotice:
    """Reports that an endpoint has announced that it will shut down.

    Attributes:
        endpoint: The engine's id.
        started_ms: Unix time of the engine's start; distinguishes this
            start from others under the same id.
        is_declared: Whether a response of the engine said so, which a renewed
            registration does not undo.
    """

    endpoint: str
    started_ms: int
    is_declared: bool = False


@attrs.frozen
class GoneNotice:
    """Reports that the start of an endpoint is gone from its address.

    Attributes:
        endpoint: The endpoint's id.
        started_ms: Unix time of the start that is gone.
        position: The position in the store's history that the sender knew of
            before the response that shows it. Later registrations are valid.
    """

    endpoint: str
    started_ms: int
    position: int


@attrs.frozen
class Snapshot:
    """A gateway's whole replica of the store.

    Attributes:
        revision: The revision up to which the changes are complete.
        changes: The newest change of each key.
        leaving: The leaving engines, including those whose notice has not
            reached the store.
    """

    revision: int
    changes: list[SharedChange] = attrs.field(factory=list)
    leaving: list[LeavingNotice] = attrs.field(factory=list)
