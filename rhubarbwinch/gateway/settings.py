"""The settings of a gateway, read at its start and on each reload."""

import attrs

from rhubarbwinch.gateway.decisions.eligibility import Regions
from rhubarbwinch.gateway.messages import PeerAddress


@attrs.frozen
class GatewaySettings:
    """The settings of a gateway.

    Attributes:
        name: The process's name, unique in the deployment.
        data_center: The data centre of the VM.
        front: The address for callers, `a.b.c.d:port`.
        ready: The address for the platform's readiness checks.
        directory: The address at which callers look up gateway addresses.
        address: The addresses for other gateways.
        forward: The address for requests that other gateways pass on.
        metrics: The address for reading metrics.
        seeds: Addresses of some peers, which may be gone.
        store: The address of the platform's store.
        grace_ms: The time from SIGTERM to SIGKILL.
        directory_ttl_max_ms: The upper bound on how long callers cache a
            directory response.
        retry_ratio: Retries allowed per request, over all gateways.
        retry_window_ms: The window in which retries are counted.
        retry_extra: Further retries allowed per window, over all gateways.
        max_descriptors: The limit on the process's open file descriptors.
        memory_mb: The limit on the process's memory.
        regions: The regions of the data centres.
        config_apply_ms: The time in which a version of the configuration has to
            be in force everywhere.
        link_mbps: The capacity of the VM's network link in Mbit/s; 0 if it is
            not known.
    """

    name: str
    data_center: str
    front: str
    ready: str
    directory: str
    address: PeerAddress
    forward: str
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
    regions: Regions = attrs.field(factory=Regions)
    config_apply_ms: int = 2_000
    link_mbps: int = 0
