"""Keeps room at engines for client accounts that use less than their share.

Pure code. It is meant for bursts of one or two large accounts. Runs take
seconds and are not interrupted, so accounts that come when all engines are full
wait until runs of the burst end.

Shares are max-min fair: each account that was served lately is entitled to an
equal part of the KV cache of a service's engines, and what it leaves is lent,
apart from a reserve at some of the engines. Accounts above their share leave
the reserve free, so an account within its share finds room there.
"""

from collections.abc import Iterable

import attrs

from rhubarbwinch.gateway.messages import AccountUsage
from rhubarbwinch.gateway.placement import Candidate
from rhubarbwinch.shared import rendezvous

# One engine in four has a reserve, chosen by a hash of its id. At all engines
# it would have to be as large as a run to be of use, and more would be idle.
RESERVE_EVERY = 4
# Share of its KV cache that such an engine reserves: two runs of usual size.
RESERVED_SHARE = 0.3
# An account counts as active for this time after it had a run.
ACTIVE_MS = 10_000


@attrs.define
class _Usage:
    """An account's KV cache at a service in tokens, and when it changed."""

    tokens: int = 0
    seen_ms: int = 0


class AccountShares:
    """Counts what client accounts use at the engines, over all gateways."""

    def __init__(self) -> None:
        self._own: dict[tuple[str, str], int] = {}
        self._by_peer: dict[str, dict[tuple[str, str], int]] = {}
        self._totals: dict[str, dict[str, _Usage]] = {}

    def add(self, service: str, account: str, tokens: int, now_ms: int) -> None:
        """Counts a run of this gateway; negative tokens end it."""
        key = (service, account)
        self._own[key] = self._own.get(key, 0) + tokens
        if not self._own[key]:
            del self._own[key]
        self._add_total(key, tokens, now_ms)

    def receive(
        self, peer: str, usages: Iterable[AccountUsage], now_ms: int
    ) -> None:
        """Replaces what client accounts use through a peer."""
        reported = {(u.service, u.account): u.tokens for u in usages}
        for key, tokens in self._by_peer.pop(peer, {}).items():
            self._add_total(key, -tokens, now_ms)
        for key, tokens in reported.items():
            self._add_total(key, tokens, now_ms)
        if reported:
            self._by_peer[peer] = reported

    def usages(self) -> list[AccountUsage]:
        """Returns what client accounts use through this gateway."""
        return [
            AccountUsage(service, account, tokens)
            for (service, account), tokens in self._own.items()
        ]

    def is_within_share(
        self,
        service: str,
        account: str,
        tokens: int,
        capacity_tokens: int,
        now_ms: int,
    ) -> bool:
        """Returns whether an account uses at most its share with a new run.

        An account has no share that it could exceed while no other is active.

        Args:
            service: The service.
            account: The client account.
            tokens: The KV cache that the new run needs.
            capacity_tokens: The KV cache of all engines of the service.
            now_ms: The current time.
        """
        usages = self._totals.get(service, {})
        others = sum(
            name != account
            and (usage.tokens > 0 or now_ms - usage.seen_ms <= ACTIVE_MS)
            for name, usage in usages.items()
        )
        used = usages[account].tokens if account in usages else 0
        return not others or used + tokens <= capacity_tokens / (others + 1)

    def _add_total(
        self, key: tuple[str, str], tokens: int, now_ms: int
    ) -> None:
        service, account = key
        usages = self._totals.setdefault(service, {})
        usage = usages.setdefault(account, _Usage())
        usage.tokens += tokens
        usage.seen_ms = now_ms


def without_reserve(candidates: list[Candidate]) -> list[Candidate]:
    """Returns engines as an account above its share may use them."""
    return [
        attrs.evolve(
            candidate,
            capacity_tokens=int(
                (1 - RESERVED_SHARE) * candidate.capacity_tokens
            ),
        )
        if has_reserve(candidate.endpoint.id)
        else candidate
        for candidate in candidates
    ]


def has_reserve(engine: str) -> bool:
    """Returns whether an engine keeps a reserve."""
    return rendezvous.score("reserve", engine) % RESERVE_EVERY == 0
