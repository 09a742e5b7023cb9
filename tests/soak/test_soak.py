"""Tests of real gateway processes in a short seeded run with faults."""

import pathlib
import tempfile
import unittest

from lab.soak.__main__ import regression_seeds
from lab.soak.check import find_violations
from lab.soak.run import Size, run_seed
from tests.helpers import asynchronous

SIZE = Size(faults_s=4.0, gateways=3, engines=2, callers=8)


class SoakTest(unittest.TestCase):
    """The guarantees that do not depend on timing."""

    @asynchronous
    async def test_a_short_run_violates_no_guarantee(self):
        seed = regression_seeds()[0]
        with tempfile.TemporaryDirectory() as folder:
            records = await run_seed(seed, pathlib.Path(folder), SIZE)
        self.assertEqual(find_violations(records, with_times=False), [])
        self.assertTrue(any(a.status == 200 for a in records.attempts))
