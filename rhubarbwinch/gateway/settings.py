"""What a gateway is told at its start, and again when that changes."""

import attrs

from rhubarbwinch.gateway.messages import PeerAddress


@attrs.frozen
class GatewaySettings:
    """The settings of a gateway.

    Attributes:
        name: The process's name, unique in the deployment.
        data_center: Where the VM is.
        front: Where callers connect, `a.b.c.d:port`.
        ready: Where the platform asks whether the process is ready.
        directory: Where callers ask which addresses to use.
        address: Where peers reach it.
        metrics: Where metrics are read.
        seeds: Addresses of some peers; they may be gone.
        store: The platform's store.
        grace_ms: Time from SIGTERM to SIGKILL.
        directory_ttl_max_ms: The longest that callers keep an answer.
        retry_ratio: Sends beyond the first that each request allows, over all
            gateways.
        retry_window_ms: The window in which they are counted.
        retry_extra: Further sends allowed in each window, over all gateways.
        max_descriptors: Descriptors that the process may open.
        memory_mb: Memory that the process may use.
    """

    name: str
    data_center: str
    front: str
    ready: str
    directory: str
    address: PeerAddress
    metrics: str
    seeds: tuple[PeerAddress, ...]
    store: str
    grace_ms: int
    directory_ttl_max_ms: int
    retry_ratio: float
    retry_window_ms: int
    retry_extra: int
    max_descriptors: int
    memory_mb: int
