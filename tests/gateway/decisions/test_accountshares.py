"""Client accounts that compete for engines.

Guards against a burst of one large account that fills all engines, so that
requests of the other accounts wait until its runs end.
"""

import random
import unittest
from collections import Counter

import attrs

from rhubarbwinch.gateway import placement
from rhubarbwinch.gateway.decisions.accountshares import (
    AccountShares,
    without_reserve,
)
from rhubarbwinch.gateway.loads import Load
from rhubarbwinch.gateway.messages import AccountUsage
from tests import gatewaybuilders as build

ENGINES = 8
CAPACITY = 34_000
TOKENS = 3_500
RUN_MS = 6_000
WAIT_MS = 500
STEP_MS = 40
SMALL = [f"small-{i}" for i in range(10)]


@attrs.define
class Waiting:
    """A request that waits for an engine."""

    account: str
    since_ms: int
    is_within: bool


class Replay:
    """Requests of small accounts beside bursts of large ones."""

    def __init__(self, has_shares):
        self.has_shares = has_shares
        self.rng = random.Random(1)
        self.shares = AccountShares()
        self.runs = []
        self.queue = []
        self.asked = Counter()
        self.placed = Counter()

    def play(self, ms, large, burst_per_s):
        """Lets requests arrive; each small account asks once in two seconds."""
        for now in range(0, ms, STEP_MS):
            for end, engine, account in list(self.runs):
                if end <= now:
                    self.runs.remove((end, engine, account))
                    self.shares.add("svc", account, -TOKENS, now)
            for account in SMALL:
                if self.rng.random() < 0.5 * STEP_MS / 1_000:
                    self._arrive(account, now)
            for account in large:
                if self.rng.random() < burst_per_s * STEP_MS / 1_000:
                    self._arrive(account, now)
            self._serve_queue(now)

    def _arrive(self, account, now):
        self.asked[account] += 1
        is_within = self.shares.is_within_share(
            "svc", account, TOKENS, ENGINES * CAPACITY, now
        )
        self.queue.append(Waiting(account, now, is_within))

    def _serve_queue(self, now):
        self.queue.sort(
            key=lambda w: (self.has_shares and not w.is_within, w.since_ms)
        )
        for waiting in list(self.queue):
            has_given_up = now - waiting.since_ms > WAIT_MS
            if has_given_up or self._place(waiting, now):
                self.queue.remove(waiting)

    def _place(self, waiting, now):
        runs = Counter(engine for _, engine, _ in self.runs)
        candidates = [
            attrs.evolve(
                build.candidate(name),
                load=Load(runs[name], TOKENS * runs[name]),
            )
            for name in (f"e{i}" for i in range(ENGINES))
        ]
        if self.has_shares and not waiting.is_within:
            candidates = without_reserve(candidates)
        chosen = placement.choose_engine(candidates, TOKENS, "dc-a", self.rng)
        if chosen is None:
            return False
        self.runs.append((now + RUN_MS, chosen.endpoint.id, waiting.account))
        self.shares.add("svc", waiting.account, TOKENS, now)
        self.placed[waiting.account] += 1
        return True

    def served(self, accounts):
        """Returns the share of the requests of some accounts that started."""
        asked = sum(self.asked[account] for account in accounts)
        return sum(self.placed[account] for account in accounts) / asked


class AccountSharesTest(unittest.TestCase):
    """Bursts of one account, of two, and of all."""

    def _served(self, has_shares, large, burst_per_s):
        replay = Replay(has_shares)
        replay.play(30_000, large, burst_per_s)
        return replay.served(SMALL), replay.served(large)

    def test_small_accounts_are_served_beside_bursts(self):
        for large in (["large-1"], ["large-1", "large-2"]):
            with self.subTest(bursts=len(large)):
                without, _ = self._served(False, large, 30)
                small, _ = self._served(True, large, 30)
                self.assertGreater(small, 0.8)
                self.assertGreater(small, without + 0.3)

    def test_what_small_accounts_leave_is_lent_but_for_the_reserve(self):
        replay = Replay(True)
        replay.play(30_000, ["large-1"], 30)
        busy = len(replay.runs) / (ENGINES * (CAPACITY // TOKENS))
        self.assertGreater(busy, 0.9)

    def test_a_lone_account_may_use_all_engines(self):
        shares = AccountShares()
        shares.add("svc", "acme", 20_000, 1_000)
        self.assertTrue(
            shares.is_within_share("svc", "acme", 34_000, 34_000, 1_000)
        )

    def test_what_peers_tell_counts_until_they_are_gone(self):
        shares = AccountShares()
        usage = AccountUsage("svc", "acme", 20_000)
        shares.receive("g2", [usage], 1_000)
        # Another account that had a run lately is entitled to half.
        self.assertFalse(
            shares.is_within_share("svc", "zeta", 11_000, 20_000, 1_000)
        )
        shares.receive("g2", [], 2_000)
        # Acme was active within ten seconds, and then no more.
        self.assertFalse(
            shares.is_within_share("svc", "zeta", 11_000, 20_000, 11_000)
        )
        self.assertTrue(
            shares.is_within_share("svc", "zeta", 11_000, 20_000, 13_000)
        )
