"""Decides whether a gateway is cut off from the endpoints of a service.

Pure code. It is meant for gateways that callers, the store and the other
gateways reach, while no new connection to any endpoint succeeds: it is refused,
reset or hangs. Connections that are open may live on, so a response over one of
them does not show that the gateway is connected.
"""

from collections.abc import Sequence

import attrs

# Endpoints that have to fail in a row; all, if the service has fewer. Single
# endpoints fail because they are down.
MIN_ENDPOINTS = 3
# A failure counts for this time, unless it is seen again.
FAILURE_RETENTION_MS = 5_000


@attrs.define
class _ServiceState:
    """The failed connections to the endpoints of a service.

    Attributes:
        failures: When the last connection to each endpoint failed.
        is_isolated: Whether this gateway reaches none of the endpoints.
        probes: The number of endpoints probed while it is isolated.
    """

    failures: dict[str, int] = attrs.field(factory=dict)
    is_isolated: bool = False
    probes: int = 0


class Isolation:
    """Judges the new connections of a gateway to endpoints."""

    def __init__(self) -> None:
        self._states: dict[str, _ServiceState] = {}

    @property
    def services(self) -> list[str]:
        """The services from which this gateway is cut off."""
        return sorted(
            name for name, state in self._states.items() if state.is_isolated
        )

    def is_isolated(self, service: str) -> bool:
        """Returns whether this gateway is cut off from a service."""
        state = self._states.get(service)
        return state is not None and state.is_isolated

    def record_failure(self, service: str, endpoint: str, now_ms: int) -> None:
        """Records that no connection to an endpoint could be made."""
        state = self._states.setdefault(service, _ServiceState())
        state.failures[endpoint] = now_ms

    def record_connection(self, service: str) -> bool:
        """Records that a new connection to an endpoint was made.

        Returns:
            Whether the gateway was cut off from the service until now.
        """
        state = self._states.pop(service, None)
        return state is not None and state.is_isolated

    def mark_isolated(self, service: str) -> None:
        """Records that this gateway reaches no endpoint of a service."""
        self._states.setdefault(service, _ServiceState()).is_isolated = True

    def is_suspected(
        self, service: str, endpoints: Sequence[str], now_ms: int
    ) -> bool:
        """Returns whether enough endpoints of a service are out of reach."""
        failed = self._failed(service, endpoints, now_ms)
        return bool(failed) and len(failed) >= min(
            MIN_ENDPOINTS, len(endpoints)
        )

    def next_probes(
        self, service: str, endpoints: Sequence[str], now_ms: int
    ) -> list[str]:
        """Returns the endpoints to which a connection is to be tried."""
        if not endpoints:
            return []
        if self.is_isolated(service):
            # Each time other ones, as some endpoints may be down.
            state = self._states[service]
            first = state.probes
            state.probes += MIN_ENDPOINTS
            return [
                endpoints[i % len(endpoints)]
                for i in range(
                    first, first + min(MIN_ENDPOINTS, len(endpoints))
                )
            ]
        failed = self._failed(service, endpoints, now_ms)
        if not failed:
            return []
        missing = min(MIN_ENDPOINTS, len(endpoints)) - len(failed)
        return [e for e in endpoints if e not in failed][: max(0, missing)]

    def _failed(
        self, service: str, endpoints: Sequence[str], now_ms: int
    ) -> set[str]:
        state = self._states.get(service)
        if state is None:
            return set()
        return {
            endpoint
            for endpoint in endpoints
            if (at_ms := state.failures.get(endpoint)) is not None
            and now_ms - at_ms <= FAILURE_RETENTION_MS
        }
