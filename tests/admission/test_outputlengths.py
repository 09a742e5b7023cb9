"""Tests the forecasts of output lengths."""

import random
import unittest

from rhubarbwinch.admission.outputlengths import (
    HORIZONS,
    MIN_OBSERVATIONS,
    LearnedLengths,
    SurvivalCurve,
)
from tests import builders


class SurvivalCurveTest(unittest.TestCase):
    """The survival curve of one cell."""

    def test_the_curve_follows_the_observed_lengths(self):
        rng = random.Random(1)
        curve = SurvivalCurve()
        for _ in range(2000):
            curve.add(rng.randrange(1, 1001), is_complete=True)
        for tokens in (100, 500, 900):
            self.assertAlmostEqual(
                curve.survival_at(tokens), 1 - tokens / 1000, delta=0.08
            )

    def test_censored_streams_lengthen_the_curve(self):
        rng = random.Random(2)
        naive, curve = SurvivalCurve(), SurvivalCurve()
        for _ in range(2000):
            length, cut = rng.randrange(1, 1001), rng.randrange(1, 1001)
            seen = min(length, cut)
            curve.add(seen, is_complete=length <= cut)
            naive.add(seen, is_complete=True)
        self.assertAlmostEqual(curve.survival_at(500), 0.5, delta=0.08)
        self.assertLess(naive.survival_at(500), 0.35)

    def test_a_stream_longer_than_most_is_expected_to_be_much_longer(self):
        curve = SurvivalCurve()
        for length in [20] * 90 + [2000] * 10:
            curve.add(length, is_complete=True)
        self.assertLess(curve.forecast(0, 8192).mean_tokens, 400)
        self.assertGreater(curve.forecast(100, 8192).mean_tokens, 1500)

    def test_no_output_is_expected_beyond_max_tokens(self):
        curve = SurvivalCurve()
        for _ in range(100):
            curve.add(5000, is_complete=True)
        forecast = curve.forecast(0, 256)
        for horizon, survival in zip(HORIZONS, forecast.survival, strict=True):
            if horizon > 2 * 256:
                self.assertEqual(survival, 0)

    def test_the_weight_of_old_observations_decays(self):
        curve = SurvivalCurve()
        for _ in range(2000):
            curve.add(10, is_complete=True)
        for _ in range(1200):
            curve.add(1000, is_complete=True)
        self.assertGreater(curve.survival_at(500), 0.8)


class LearnedLengthsTest(unittest.TestCase):
    """Cells and their fallback to coarser cells."""

    def test_a_new_account_uses_the_curve_of_the_service_at_first(self):
        lengths = LearnedLengths()
        old = builders.permit_request(account="old", max_tokens=4096)
        new = builders.permit_request(account="new", max_tokens=4096)
        for _ in range(MIN_OBSERVATIONS + 1):
            lengths.observe(old, 50, is_complete=True)
        self.assertLess(lengths.forecast(new, 0).mean_tokens, 100)
        for _ in range(MIN_OBSERVATIONS + 1):
            lengths.observe(new, 2000, is_complete=True)
        self.assertGreater(lengths.forecast(new, 0).mean_tokens, 1500)
        self.assertLess(lengths.forecast(old, 0).mean_tokens, 100)

    def test_without_observations_lengths_are_uniform(
        self,
    ):
        request = builders.permit_request(max_tokens=1000)
        forecast = LearnedLengths().forecast(request, 0)
        self.assertEqual(forecast.mean_tokens, 500)
