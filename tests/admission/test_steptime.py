"""Tests the step times learned from load reports."""

import random
import unittest

from rhubarbwinch.admission.steptime import StepTime


class StepTimeTest(unittest.TestCase):
    """The linear model and the quantile of its residuals."""

    def test_coefficients_are_fitted_and_prefills_are_added(self):
        rng = random.Random(1)
        step_time = StepTime()
        for _ in range(3000):
            running, used = rng.randrange(1, 60), rng.randrange(60_000)
            prompt = 6.0 if rng.random() < 0.1 else 0.0
            step = 12 + 0.25 * running + 0.2 * used / 1000 + prompt
            step_time.observe(running, used, step)
        self.assertTrue(step_time.is_learned)
        expected = 12 + 0.25 * 40 + 0.2 * 30
        predicted = step_time.predict(40, 30_000)
        self.assertGreater(predicted, expected + 3)
        self.assertLess(predicted, expected + 9)
        self.assertAlmostEqual(
            step_time.predict(41, 30_000) - predicted, 0.25, delta=0.05
        )
