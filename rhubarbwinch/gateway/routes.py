"""The routes, services and accounts of one version of the configuration."""

import enum

import attrs


class CallKind(enum.StrEnum):
    """What may be repeated when an endpoint fails."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@attrs.frozen
class EngineSpec:
    """What the engines of a service can do.

    Attributes:
        slots: Requests that an engine runs at once.
        kv_tokens: Tokens that fit an engine's memory.
        can_move: Whether a run's memory can be copied to another engine.
        can_back_up: Whether a second engine can follow a run.
        copy_expiry_ms: How long an engine keeps a copy that is not used.
    """

    slots: int
    kv_tokens: int
    can_move: bool
    can_back_up: bool
    copy_expiry_ms: int = 0


@attrs.frozen
class ServiceSpec:
    """A service.

    Attributes:
        name: The service's name.
        max_connections: Connections that an endpoint accepts from all callers.
        engine: What its engines can do; None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None


@attrs.frozen
class Target:
    """A service that gets a share of a route's requests.

    Attributes:
        service: The service's name.
        weight: Its share, against the weights of the others.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """A route.

    Attributes:
        name: The route's name.
        host: The host of its requests, in lower case.
        prefix: How the paths of its requests begin; it ends with a slash.
        kind: What may be repeated.
        timeout_ms: The longest that a request is kept.
        objective_ms: The time in which an answer is on time; of a stream, to
            its first event.
        gap_ms: The longest pause between events that is on time; 0 for none.
        max_attempts: Endpoints to which one request may be sent.
        priority: The rank of its requests, 0 first.
        is_public: Whether requests need no API key.
        is_generation: Whether requests tell the sizes of a generation.
        is_resumable: Whether a stream may go on after an event.
        targets: The services, at least one.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout_ms: int
    objective_ms: int
    gap_ms: int
    max_attempts: int
    priority: int
    is_public: bool
    is_generation: bool
    is_resumable: bool
    targets: tuple[Target, ...]

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run again when it may have run."""
        return self.kind is CallKind.IDEMPOTENT or self.is_resumable


@attrs.frozen
class HttpLimits:
    """Bounds on what a caller sends.

    Attributes:
        head_bytes: The longest head of a request.
        body_bytes: The longest body.
        head_ms: The longest time for a head, or between parts of a body.
        idle_ms: How long a connection may stay idle.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4 << 20
    head_ms: int = 3_000
    idle_ms: int = 15_000


@attrs.frozen
class Account:
    """A client account.

    Attributes:
        name: The account's name.
        priority: The rank of its requests, before the route's; or None.
    """

    name: str
    priority: int | None


@attrs.frozen
class RoutingTable:
    """One version of the configuration.

    Attributes:
        version: Its number; a higher one is newer.
        routes: By host, then by prefix.
        services: By name.
        accounts: By API key.
        needs_key: Whether requests need a key, but for public routes.
        limits: Bounds on what a caller sends.
    """

    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, ServiceSpec]
    accounts: dict[str, Account]
    needs_key: bool
    limits: HttpLimits

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path`, or None."""
        by_prefix = self.routes.get(host, {})
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
