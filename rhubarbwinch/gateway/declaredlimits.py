"""The rate limits that endpoints have declared in their responses.

Pure code.
"""

import attrs

from rhubarbwinch.gateway.platforminterface import DeclaredState


@attrs.frozen
class DeclaredLimit:
    """A rate limit that an endpoint has declared.

    Attributes:
        rate: The requests a second that it accepts from all gateways together.
        declared_ms: When a response declared it last.
    """

    rate: float
    declared_ms: int


class DeclaredLimits:
    """The rate limits by endpoint, as of the last response of each."""

    def __init__(self) -> None:
        self._limits: dict[str, DeclaredLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def rate(self, endpoint: str) -> float | None:
        """Returns an endpoint's limit in requests a second, or None."""
        limit = self._limits.get(endpoint)
        return limit.rate if limit is not None else None

    def record(
        self, endpoint: str, declared: DeclaredState, now_ms: int
    ) -> bool:
        """Records a response; returns whether the endpoint's limit changed."""
        before = self.rate(endpoint)
        if declared.rate_limit is None:
            self.forget(endpoint)
        else:
            self._limits[endpoint] = DeclaredLimit(declared.rate_limit, now_ms)
        return before != declared.rate_limit

    def forget(self, endpoint: str) -> None:
        """Drops the limit of an endpoint that is gone."""
        self._limits.pop(endpoint, None)
