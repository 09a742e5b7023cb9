"""Tests that cleanup bounds the stored pages and no key runs again."""

from rhubarbwinch.claims.claimretention import (
    MAX_FLOOR_AGE_MS,
    PASS_INTERVAL_MS,
    ClaimCleaner,
)
from rhubarbwinch.stores import keys
from tests.claimworld import World
from tests.helpers import GoldTestCase, asynchronous

HOUR_MS = 3_600_000
LEDGER = "/services/ledger/book"


class ClaimFloorTest(GoldTestCase):
    """Keys older than the retention of their pages."""

    @asynchronous
    async def test_a_key_whose_page_is_deleted_never_runs_again(self):
        async with World() as world:
            cleaner = ClaimCleaner(world.store, world.clock, HOUR_MS)

            async def pages(title):
                listing = await world.store.scan(keys.CLAIMS)
                world.note(f"{title}: {len(listing.entries)} pages")

            async def call(title, entry, key):
                response = await world.call(entry, key, path=LEDGER)
                world.note(f"{title}: {response}")

            await cleaner.run_pass()
            key, late = world.key(1), world.key(2)
            await call("first", 0, key)
            await world.clock.advance(HOUR_MS + 2 * PASS_INTERVAL_MS)
            await call("before the cleanup", 0, key)
            gate = world.entries[1].gate
            paused = await world.stop(1, "before write", late, path=LEDGER)
            await cleaner.run_pass()
            await pages("floor raised")
            await world.clock.advance(PASS_INTERVAL_MS)
            await cleaner.run_pass()
            await pages("a pass later")
            await call("again", 0, key)
            gate.wake()
            await world.settle(paused)
            world.note(f"paused through the cleanup: {paused.text}")
            await world.clock.advance(MAX_FLOOR_AGE_MS)
            await call("a new key", 1, world.key(3))
            world.note(f"endpoint ran {len(world.counting_endpoint.ran)}")
        self.assert_gold("claims-cleanup", "\n".join(world.lines) + "\n")
