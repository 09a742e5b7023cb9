"""Shares the rate limits that endpoints declare among the gateways.

Pure code. It handles an endpoint in need, which accepts only some requests a
second from all gateways together and says so in its responses.

One gateway coordinates each endpoint: it lists the endpoint's limit in its
heartbeats, and gateways whose responses say otherwise notify it. Some gateways
may send to the endpoint, each at an equal share of the limit; one request from
each of hundreds of gateways would already exceed it. All gateways select the
coordinator and the senders by rendezvous hashing, without a message.
"""

from collections.abc import Callable, Iterable

import attrs

from rhubarbwinch.gateway.decisions.shares import MemberRankings
from rhubarbwinch.gateway.messages import EndpointLimit, RateLimitNotice
from rhubarbwinch.gateway.platforminterface import DeclaredState

# Gateways that may send to a limited endpoint: this many, and more for a higher
# limit. Each may send one request without a pause before it, so their number
# bounds the burst.
MIN_SENDERS = 2
SENDERS_PER_RATE = 1.5
# A sender may be this far ahead of its pace.
BURST_MS = 200
# Only a request shows that a limit has ended, so a limit of 0 is treated as
# this rate in requests a second.
MIN_RATE = 0.1
# A gateway believes its own response rather than a listing that has not changed
# since for this time, in which a notice reaches the coordinator.
OWN_RESPONSE_TRUST_MS = 3_000
# The end of a limit is listed for this time, for gateways that miss heartbeats.
# A limit may be heard of this long before its endpoint's registration.
RETENTION_MS = 10_000
NOTICE_INTERVAL_MS = 500


@attrs.define
class _Limit:
    """What is known of an endpoint's limit.

    Attributes:
        rate: The requests a second that the endpoint accepts from all gateways;
            None if the limit has ended.
        changed_ms: When that became known.
        responded_ms: When a response to this gateway said so last; None if
            only other gateways did.
        next_ms: When this gateway's next request is due at its pace.
        listed: The coordinator's last entry; None if it has listed none.
        notified_ms: When the coordinator was notified last; None if never.
    """

    rate: float | None
    changed_ms: int
    responded_ms: int | None = None
    next_ms: float = 0.0
    listed: EndpointLimit | None = None
    notified_ms: int | None = None


@attrs.frozen
class LimitChange:
    """A change of what is known of an endpoint's limit.

    Attributes:
        endpoint: The endpoint's id.
        rate: Its limit in requests a second, or None.
        before: The limit that was known before, or None.
    """

    endpoint: str
    rate: float | None
    before: float | None


class RateLimits:
    """The limits of endpoints, and when this gateway may send to them.

    Args:
        name: The name of this gateway.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._rankings = MemberRankings("limit", name)
        self._limits: dict[str, _Limit] = {}

    def __len__(self) -> int:
        return sum(limit.rate is not None for limit in self._limits.values())

    def set_gateways(self, names: Iterable[str]) -> None:
        """Sets the names of the gateways that share the limits."""
        self._rankings.set_members(names)

    def rate(self, endpoint: str) -> float | None:
        """Returns an endpoint's limit in requests a second, or None."""
        limit = self._limits.get(endpoint)
        return limit.rate if limit is not None else None

    def delay_ms(self, endpoint: str, now_ms: int) -> int | None:
        """Returns after how long this gateway may send to an endpoint.

        Returns:
            0 if it may send now; None if other gateways share the limit.
        """
        limit = self._limits.get(endpoint)
        if limit is None or limit.rate is None:
            return 0
        if self._interval_ms(endpoint, limit.rate) is None:
            return None
        return max(0, int(limit.next_ms - BURST_MS - now_ms))

    def acquire(self, endpoint: str, now_ms: int) -> None:
        """Counts a request that is sent at the end of the delay."""
        limit = self._limits.get(endpoint)
        if limit is None or limit.rate is None:
            return
        interval_ms = self._interval_ms(endpoint, limit.rate)
        if interval_ms is not None:
            limit.next_ms = max(limit.next_ms, now_ms) + interval_ms

    def record_response(
        self, endpoint: str, declared: DeclaredState, now_ms: int
    ) -> LimitChange | None:
        """Records a response to this gateway; returns what it changes."""
        if declared.rate_limit is None and endpoint not in self._limits:
            return None
        change = self._adopt(endpoint, declared.rate_limit, now_ms)
        self._limits[endpoint].responded_ms = now_ms
        return change

    def receive_notice(
        self, notice: RateLimitNotice, now_ms: int
    ) -> LimitChange | None:
        """Handles what another gateway's response said of an endpoint."""
        if not self._coordinates(notice.limit.endpoint):
            return None
        return self._adopt(notice.limit.endpoint, notice.limit.rate, now_ms)

    def receive_listing(
        self, gateway: str, limits: Iterable[EndpointLimit], now_ms: int
    ) -> list[LimitChange]:
        """Handles the limits that a gateway lists; returns the changes."""
        changes = []
        for listed in limits:
            if self._rankings.ranking(listed.endpoint)[:1] != [gateway]:
                continue
            known = self._limits.get(listed.endpoint)
            if known is None and listed.rate is None:
                continue
            change = None
            if (
                known is None
                or known.listed != listed
                or not self._trusts_own_response(known, now_ms)
            ):
                change = self._adopt(listed.endpoint, listed.rate, now_ms)
            self._limits[listed.endpoint].listed = listed
            if change is not None:
                changes.append(change)
        return changes

    def listing(self) -> list[EndpointLimit]:
        """Returns the limits that this gateway lists as their coordinator."""
        return [
            EndpointLimit(endpoint, limit.rate)
            for endpoint, limit in self._limits.items()
            if self._coordinates(endpoint)
        ]

    def pop_notices(self, now_ms: int) -> list[tuple[str, RateLimitNotice]]:
        """Returns the notices that are due, each with its coordinator."""
        notices = []
        for endpoint, limit in self._limits.items():
            ranking = self._rankings.ranking(endpoint)
            known = EndpointLimit(endpoint, limit.rate)
            if not ranking or ranking[0] == self._name or limit.listed == known:
                continue
            if limit.rate is None and limit.listed is None:
                continue
            if (
                limit.notified_ms is not None
                and now_ms - limit.notified_ms < NOTICE_INTERVAL_MS
            ):
                continue
            limit.notified_ms = now_ms
            notices.append((ranking[0], RateLimitNotice(self._name, known)))
        return notices

    def drop_outdated(
        self, is_known: Callable[[str], bool], now_ms: int
    ) -> None:
        """Drops limits that ended, or whose endpoints went, some time ago.

        Args:
            is_known: Returns whether this gateway knows an endpoint.
            now_ms: The current time.
        """
        outdated = [
            endpoint
            for endpoint, limit in self._limits.items()
            if now_ms - limit.changed_ms > RETENTION_MS
            and (limit.rate is None or not is_known(endpoint))
        ]
        for endpoint in outdated:
            self.forget(endpoint)

    def forget(self, endpoint: str) -> None:
        """Drops what is known of an endpoint that is gone."""
        self._limits.pop(endpoint, None)
        self._rankings.forget(endpoint)

    def _adopt(
        self, endpoint: str, rate: float | None, now_ms: int
    ) -> LimitChange | None:
        limit = self._limits.get(endpoint)
        before = limit.rate if limit is not None else None
        if limit is None:
            limit = self._limits[endpoint] = _Limit(rate, now_ms)
        if rate == before:
            return None
        limit.rate, limit.changed_ms = rate, now_ms
        if rate is not None:
            interval_ms = self._interval_ms(endpoint, rate) or 0
            next_ms = now_ms + interval_ms + BURST_MS
            # Without a limit this gateway may just have sent many requests.
            limit.next_ms = (
                next_ms if before is None else min(limit.next_ms, next_ms)
            )
        return LimitChange(endpoint, rate, before)

    def senders(self, endpoint: str) -> list[str]:
        """Returns the gateways that share an endpoint's limit."""
        limit = self._limits.get(endpoint)
        if limit is None or limit.rate is None:
            return list(self._rankings.members)
        return self._senders(endpoint, limit.rate)

    def _senders(self, endpoint: str, rate: float) -> list[str]:
        count = MIN_SENDERS + int(SENDERS_PER_RATE * rate)
        return self._rankings.ranking(endpoint)[:count]

    def _interval_ms(self, endpoint: str, rate: float) -> float | None:
        """Returns the time between requests; None if others share the limit."""
        senders = self._senders(endpoint, rate)
        if self._name not in senders:
            return None
        return 1_000 * len(senders) / max(MIN_RATE, rate)

    def _trusts_own_response(self, limit: _Limit, now_ms: int) -> bool:
        if limit.responded_ms is None:
            return False
        return now_ms - limit.responded_ms < OWN_RESPONSE_TRUST_MS

    def _coordinates(self, endpoint: str) -> bool:
        return self._rankings.ranking(endpoint)[:1] == [self._name]
