"""Which endpoints are avoided, for several kinds of faults."""

import random
import unittest

from rhubarbwinch.gateway.suspicion import (
    INITIAL_PAUSE_MS,
    MAX_PAUSE_MS,
    AttemptOutcome,
    Suspicion,
)

NAMES = ["e1", "e2", "e3"]


class SuspicionTest(unittest.TestCase):
    """Which endpoints are usable after a series of outcomes."""

    def _play(self, suspicion, calls, shares, seed=1):
        """Spreads calls over the usable endpoints; returns counts by name."""
        rng = random.Random(seed)
        counts = dict.fromkeys(NAMES, 0)
        for i in range(calls):
            now = i * 20
            name = rng.choice(suspicion.usable(NAMES, now))
            counts[name] += 1
            bad = rng.random() < shares[name]
            outcome = AttemptOutcome.BROKEN if bad else AttemptOutcome.GOOD
            suspicion.record_outcome("svc", name, outcome, now)
        return counts

    def test_an_endpoint_that_fails_half_of_its_calls_gets_few(self):
        for seed in range(5):
            counts = self._play(
                Suspicion(), 600, {"e1": 0.5, "e2": 0.0, "e3": 0.0}, seed
            )
            self.assertLess(counts["e1"], 60)

    def test_errors_of_all_endpoints_make_none_avoided(self):
        counts = self._play(Suspicion(), 600, dict.fromkeys(NAMES, 0.14))
        self.assertGreater(min(counts.values()), 100)

    def test_less_than_half_of_a_service_is_avoided(self):
        suspicion = Suspicion()
        for name in NAMES:
            for _ in range(5):
                suspicion.record_outcome(
                    "svc", name, AttemptOutcome.UNREACHABLE, 0
                )
        self.assertEqual(len(suspicion.usable(NAMES, 1)), 2)

    def test_after_its_pause_one_good_call_clears_an_endpoint(self):
        suspicion = Suspicion()
        suspicion.record_outcome("svc", "e1", AttemptOutcome.UNREACHABLE, 0)
        self.assertTrue(suspicion.is_avoided("e1", INITIAL_PAUSE_MS - 1))
        later = INITIAL_PAUSE_MS + 1
        self.assertFalse(suspicion.is_avoided("e1", later))
        suspicion.record_outcome("svc", "e1", AttemptOutcome.GOOD, later)
        suspicion.record_outcome("svc", "e1", AttemptOutcome.BROKEN, later)
        self.assertFalse(suspicion.is_avoided("e1", later))

    def test_a_trial_that_fails_doubles_the_pause_up_to_a_bound(self):
        suspicion = Suspicion()
        now = 0
        pauses = []
        for _ in range(6):
            suspicion.record_outcome(
                "svc", "e1", AttemptOutcome.UNREACHABLE, now
            )
            start = now
            while suspicion.is_avoided("e1", now):
                now += 100
            pauses.append(now - start)
        self.assertEqual(pauses[:3], [1_000, 2_000, 4_000])
        self.assertEqual(pauses[-1], MAX_PAUSE_MS)
