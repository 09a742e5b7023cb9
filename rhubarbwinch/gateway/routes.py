"""The routing table: one version's routes, services and accounts."""

import enum

import attrs


class CallKind(enum.StrEnum):
    """What may be retried after an endpoint failed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@attrs.frozen
class EngineSpec:
    """The capacity and features of a service's engines.

    Attributes:
        slots: The number of requests that an engine runs at once.
        kv_tokens: The KV cache of an engine in tokens.
        supports_migration: Whether a run's KV cache can be copied to another
            engine.
        supports_standby: Whether a run's KV cache can be replicated to a
            standby engine while the run continues.
        copy_expiry_ms: How long an engine keeps an unused copy.
    """

    slots: int
    kv_tokens: int
    supports_migration: bool
    supports_standby: bool
    copy_expiry_ms: int = 0


@attrs.frozen
class ServiceSpec:
    """A service.

    Attributes:
        name: The service's name.
        max_connections: The number of connections that an endpoint accepts from
            all callers.
        engine: The properties of its engines; None for a plain service.
        cold_start_ms: How long an endpoint is cold after its start.
        cold_per_s: The requests a second that a cold endpoint accepts from all
            gateways together; 0 for no limit.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None
    cold_start_ms: int = 0
    cold_per_s: float = 0.0


@attrs.frozen
class WeightedService:
    """A service that gets a share of a route's requests.

    Attributes:
        service: The service's name.
        weight: Its share in relation to the weights of the other services.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """A route.

    Attributes:
        name: The route's name.
        host: The host of its requests, in lower case.
        prefix: The prefix of its request paths; it ends with a slash.
        kind: What may be retried.
        timeout_ms: The time limit of a request.
        objective_ms: The latency objective of a response; of a stream, for its
            first event.
        max_event_gap_ms: The longest pause between events that meets the
            objective; 0 for no such bound.
        max_attempts: The number of endpoints to which a request may be sent.
        priority: The priority of its requests, 0 first.
        is_public: Whether requests need no API key.
        is_generation: Whether requests state the sizes of a generation.
        is_resumable: Whether a stream can be resumed after an event.
        targets: The services with their weights, at least one.
        home_regions: The only regions that may serve its requests; empty if all
            may.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout_ms: int
    objective_ms: int
    max_event_gap_ms: int
    max_attempts: int
    priority: int
    is_public: bool
    is_generation: bool
    is_resumable: bool
    targets: tuple[WeightedService, ...]
    home_regions: frozenset[str] = frozenset()

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be retried although it may have run."""
        return self.kind is CallKind.IDEMPOTENT or self.is_resumable


@attrs.frozen
class HttpLimits:
    """Limits on callers' requests.

    Attributes:
        max_head_bytes: The maximum size of a request head.
        max_body_bytes: The maximum size of a request body.
        head_timeout_ms: The time limit for a head, and between parts of a body.
        idle_timeout_ms: How long a connection may stay idle.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    head_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@attrs.frozen
class Account:
    """A client account.

    Attributes:
        name: The account's name.
        priority: The priority of its requests, which overrides the route's;
            or None.
        home_regions: The only regions that may serve its requests; empty if all
            may.
    """

    name: str
    priority: int | None
    home_regions: frozenset[str] = frozenset()


@attrs.frozen
class RoutingTable:
    """One version of the configuration.

    Attributes:
        version: The version number; a higher one is newer.
        routes: The routes by host, then by prefix.
        services: The services by name.
        accounts: The accounts by API key.
        requires_key: Whether requests need an API key, except on public routes.
        limits: Limits on callers' requests.
    """

    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, ServiceSpec]
    accounts: dict[str, Account]
    requires_key: bool
    limits: HttpLimits

    def home_regions_of(self, host: str) -> frozenset[str]:
        """Returns where a host's requests with home regions may be served.

        The regions that all its routes with home regions share, or those of any
        of them if there is none; empty without such routes.
        """
        restrictions = [
            route.home_regions
            for route in self.routes.get(host, {}).values()
            if route.home_regions
        ]
        if not restrictions:
            return frozenset()
        shared = frozenset.intersection(*restrictions)
        return shared or frozenset.union(*restrictions)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path`, or None."""
        by_prefix = self.routes.get(host, {})
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
