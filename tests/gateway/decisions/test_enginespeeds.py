"""Engines of different speed that slow down for moments.

Guards against streams on slow engines whose pauses exceed the bound of their
route, while faster engines have room.
"""

import random
import unittest

import attrs

from rhubarbwinch.gateway import placement
from rhubarbwinch.gateway.decisions.enginespeeds import EngineSpeeds
from rhubarbwinch.gateway.loads import Load
from tests import gatewaybuilders as build

SPEEDS = (0.6, 1.0, 1.6)
MAX_GAP_MS = 180
STEP_MS = 20


@attrs.define
class Engine:
    """An engine with a speed of its own and slow moments."""

    name: str
    slowness: float
    runs: list = attrs.field(factory=list)
    is_noisy: bool = False

    def event_ms(self):
        """The time between events with the current runs and prefill."""
        prefill = 32 if any(r.age_ms < 300 for r in self.runs) else 0
        noise = 2.5 if self.is_noisy else 1.0
        return (28 + 0.5 * len(self.runs) + prefill) * self.slowness * noise


@attrs.define
class StreamRun:
    """A stream, and its longest pause."""

    left_ms: int
    age_ms: int = 0
    longest_ms: float = 0.0


class Fleet:
    """Replays arrivals of streams at engines of three speeds."""

    def __init__(self, speeds, learns, seed=1):
        self.rng = random.Random(seed)
        self.engines = [
            Engine(f"e{i}", speeds[i % len(speeds)]) for i in range(24)
        ]
        self.speeds = EngineSpeeds()
        self.learns = learns
        self.ended = []

    def play(self, ms, per_second):
        """Lets streams arrive, placed by the cost of the engines."""
        for now in range(0, ms, STEP_MS):
            for engine in self.engines:
                if now % 600 == 0:
                    engine.is_noisy = self.rng.random() < 0.15
                self._advance(engine, now)
            if self.rng.random() < per_second * STEP_MS / 1_000:
                self._place(now)

    def _place(self, now):
        slowness = {}
        if self.learns:
            slowness = self.speeds.slowness([e.name for e in self.engines], now)
        candidates = [
            attrs.evolve(
                build.candidate(e.name, runs=len(e.runs)),
                load=Load(len(e.runs), 3_500 * len(e.runs), 0),
                slowness=slowness.get(e.name, 1.0),
            )
            for e in self.engines
        ]
        chosen = placement.choose_engine(candidates, 3_500, "dc-a", self.rng)
        by_name = {e.name: e for e in self.engines}
        length_ms = self.rng.randint(2_000, 9_000)
        by_name[chosen.endpoint.id].runs.append(StreamRun(length_ms))

    def _advance(self, engine, now):
        gap_ms = engine.event_ms()
        for run in list(engine.runs):
            run.age_ms += STEP_MS
            run.longest_ms = max(run.longest_ms, gap_ms)
            if run.age_ms % 500 == 0:
                self.speeds.record(engine.name, gap_ms, now)
            if run.age_ms >= run.left_ms:
                engine.runs.remove(run)
                self.ended.append(run)

    @property
    def late_share(self):
        """The share of streams with a pause over the bound."""
        late = sum(run.longest_ms > MAX_GAP_MS for run in self.ended)
        return late / len(self.ended)


class EngineSpeedsTest(unittest.TestCase):
    """Estimates, and what placement makes of them."""

    def test_fewer_streams_pause_too_long_when_speeds_are_learned(self):
        shares = {}
        for learns in (False, True):
            fleet = Fleet(SPEEDS, learns)
            fleet.play(30_000, per_second=9)
            shares[learns] = fleet.late_share
        self.assertLess(shares[True], shares[False] / 2)

    def test_equal_engines_are_used_as_without_estimates(self):
        fleet = Fleet((1.0,), learns=True)
        fleet.play(20_000, per_second=9)
        engines = [e.name for e in fleet.engines]
        for now in (20_000, 25_000):
            slowness = fleet.speeds.slowness(engines, now)
            # Slow moments of 600 ms leave a small trace at the most.
            self.assertLess(max(slowness.values(), default=1.0), 1.5)

    def _settled(self, event_ms=30.0):
        speeds = EngineSpeeds()
        for now in range(0, 10_000, 500):
            for engine in ("e1", "e2", "e3", "e4"):
                speeds.record(engine, event_ms, now)
        return speeds

    def _slowness(self, speeds, now):
        names = ["e1", "e2", "e3", "e4"]
        return speeds.slowness(names, now).get("e1", 1.0)

    def test_a_lasting_change_is_followed_within_seconds(self):
        speeds = self._settled()
        for now in range(10_000, 18_000, 500):
            speeds.record("e1", 75.0, now)
            for engine in ("e2", "e3", "e4"):
                speeds.record(engine, 30.0, now)
        self.assertGreater(self._slowness(speeds, 18_000), 2.0)

    def test_one_slow_moment_is_no_change(self):
        speeds = self._settled()
        speeds.record("e1", 75.0, 10_000)
        self.assertEqual(self._slowness(speeds, 10_000), 1.0)

    def test_an_engine_that_nobody_measures_counts_as_usual_again(self):
        speeds = EngineSpeeds()
        for engine, event_ms in (("e1", 60), ("e2", 30), ("e3", 30)):
            speeds.record(engine, event_ms, 1_000)
        self.assertAlmostEqual(self._slowness(speeds, 1_000), 2.0)
        self.assertAlmostEqual(self._slowness(speeds, 11_000), 1.5)
        self.assertEqual(self._slowness(speeds, 41_000), 1.0)

    def test_what_peers_measure_counts(self):
        speeds = EngineSpeeds()
        for engine, event_ms in (("e1", 60), ("e2", 30), ("e3", 30)):
            speeds.receive("g2", engine, event_ms, 1_000)
        self.assertAlmostEqual(self._slowness(speeds, 1_000), 2.0)
        speeds.forget_peer("g2")
        self.assertEqual(self._slowness(speeds, 1_000), 1.0)

    def test_clear_changes_only_are_reported(self):
        speeds = EngineSpeeds()
        speeds.record("e1", 30.0, 0)
        self.assertEqual(speeds.reported("e1"), 30)
        for now in range(500, 20_000, 500):
            speeds.record("e1", 33.0, now)
        self.assertEqual(speeds.reported("e1"), 30)
        for now in range(20_000, 40_000, 500):
            speeds.record("e1", 45.0, now)
        self.assertGreater(speeds.reported("e1"), 36)

    def test_an_old_estimate_is_not_reported_as_a_new_one(self):
        # A standby at the engine keeps it among the loads without any event.
        speeds = EngineSpeeds()
        speeds.record("e1", 30.0, 0)
        speeds.expire(4_000)
        self.assertEqual(speeds.reported("e1"), 30)
        speeds.expire(6_000)
        self.assertEqual(speeds.reported("e1"), 0)
        speeds.record("e1", 30.0, 7_000)
        self.assertEqual(speeds.reported("e1"), 30)
