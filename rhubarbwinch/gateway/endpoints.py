"""The registration of an endpoint."""

import enum

import attrs


class EndpointState(enum.StrEnum):
    """The state that an endpoint registers."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Endpoint:
    """An endpoint's registration.

    Attributes:
        id: The endpoint's id; usually new at each start.
        service: The service that it runs.
        address: `a.b.c.d:port`.
        data_center: Its data centre.
        slots: The number of requests that it runs at once.
        state: Whether it accepts new requests.
        warmup_ms: How long it is slow after its start.
        started_ms: Unix time of its start; 0 if the registration has none.
        version: The version of its software; empty if the registration has
            none. Versions have no order.
    """

    id: str
    service: str
    address: str
    data_center: str
    slots: int
    state: EndpointState
    warmup_ms: int
    started_ms: int
    version: str = ""

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identifies one start of the endpoint, since an id may be reused."""
        return (self.id, self.started_ms)
