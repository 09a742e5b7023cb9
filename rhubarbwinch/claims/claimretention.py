"""Keeps the floor, the oldest accepted key window, and cleans up below it.

The floor in the store only rises. A cleanup pass raises the floor, and the
next pass deletes the pages below it, when no member can still accept a key in
them. So a key that has run is never looked up in a page that was deleted and
created again.
"""

import attrs
from result import Err, Ok, Result

from rhubarbwinch.claims.claimkeys import WINDOW_MS
from rhubarbwinch.shared import codec, events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import (
    CodecError,
    StoreError,
    StoreUnavailable,
)
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.store import Store, delete_prefix

MAX_FLOOR_AGE_MS = 60_000
PASS_INTERVAL_MS = 600_000
CHECK_INTERVAL_MS = 60_000


@attrs.frozen
class Floor:
    """The floor and the cleanup progress, as stored.

    Attributes:
        window: Keys of earlier windows are refused.
        cleaned: Pages of earlier windows are deleted.
        at_ms: Unix time of the last cleanup pass.
    """

    window: int = 0
    cleaned: int = 0
    at_ms: int = 0


class ClaimFloor:
    """Reads the floor and caches it for at most `MAX_FLOOR_AGE_MS`.

    Args:
        store: The platform's store.
        clock: The source of time.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._window = 0
        self._read_ms: int | None = None
        self._read_wall_ms = 0

    async def read(self) -> Result[int, StoreError]:
        """Returns the first window whose keys are accepted."""
        if self._is_stale():
            now, wall = self._clock.now(), self._clock.wall()
            try:
                floor, _ = await read_floor(self._store)
            except StoreError as error:
                return Err(error)
            self._window = max(self._window, floor.window)
            self._read_ms, self._read_wall_ms = now, wall
        return Ok(self._window)

    def _is_stale(self) -> bool:
        if self._read_ms is None:
            return True
        wall = self._clock.wall() - self._read_wall_ms
        return max(self._clock.now() - self._read_ms, wall) > MAX_FLOOR_AGE_MS


class ClaimCleaner:
    """Raises the floor and deletes the pages below it.

    Several members may run a cleaner; a pass whose compare-and-swap fails
    leaves the floor unchanged.

    Args:
        store: The platform's store.
        clock: The source of time.
        keep_ms: The retention of claims.
    """

    def __init__(self, store: Store, clock: Clock, keep_ms: int) -> None:
        self._store = store
        self._clock = clock
        self._keep_ms = keep_ms

    async def run(self) -> None:
        """Runs cleanup passes until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            try:
                await self.run_pass()
            except (StoreError, CodecError) as error:
                events.STORE_DOWN.log(error=str(error))

    async def run_pass(self) -> None:
        """Runs a pass if the last one was at least `PASS_INTERVAL_MS` ago."""
        floor, revision = await read_floor(self._store)
        now = self._clock.wall()
        if now - floor.at_ms < PASS_INTERVAL_MS:
            return
        new_window = max(floor.window, (now - self._keep_ms) // WINDOW_MS)
        # The first pass starts at the oldest window whose keys are accepted.
        cleaned = floor.cleaned or new_window
        count = 0
        for window in range(cleaned, floor.window):
            count += await delete_prefix(
                self._store, keys.claims_window(window)
            )
        new_floor = Floor(new_window, max(cleaned, floor.window), now)
        await self._store.swap(
            keys.CLAIMS_CURSOR, revision, codec.encode(new_floor)
        )
        events.CLAIMS_CLEANED.log(floor=new_window, pages=count)


async def read_floor(store: Store) -> tuple[Floor, int]:
    """Returns the floor in the store and its revision.

    Raises:
        StoreError: The floor can't be read, so no key may be accepted.
    """
    entry = await store.get(keys.CLAIMS_CURSOR)
    if entry is None:
        return Floor(), 0
    try:
        return codec.decode(entry.value, Floor), entry.revision
    except CodecError as error:
        raise StoreUnavailable(f"{keys.CLAIMS_CURSOR}: {error}") from error
