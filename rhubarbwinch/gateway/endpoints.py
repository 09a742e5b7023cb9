"""Endpoints as they register themselves."""

import enum

import attrs


class EndpointState(enum.StrEnum):
    """What an endpoint says of itself."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class Endpoint:
    """An endpoint's registration.

    Attributes:
        id: New at each start, as a rule.
        service: The service that it runs.
        address: `a.b.c.d:port`.
        data_center: Where it is.
        slots: Requests that it runs at once.
        state: Whether it takes new work.
        warmup_ms: How long it is slow after its start.
        started_ms: Unix time of its start; 0 if it does not say.
    """

    id: str
    service: str
    address: str
    data_center: str
    slots: int
    state: EndpointState
    warmup_ms: int
    started_ms: int

    @property
    def incarnation(self) -> tuple[str, int]:
        """Names one start: an id may come again."""
        return (self.id, self.started_ms)
