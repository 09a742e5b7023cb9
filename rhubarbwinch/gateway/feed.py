"""Follows the store, and spreads its changes among the gateways.

A few gateways watch the store, and tell the others; one that hears of no
watcher with a fresh answer of the store watches by itself. So the number of
calls does not grow with the number of gateways.
"""

from collections.abc import Callable

import anyio

from rhubarbwinch.gateway.messages import (
    SharedBatch,
    SharedChange,
    Snapshot,
    SnapshotCall,
    ValueCall,
)
from rhubarbwinch.gateway.replica import Replica
from rhubarbwinch.links.linktypes import Caller
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import (
    CodecError,
    LinkError,
    StoreCompacted,
    StoreError,
)
from rhubarbwinch.stores.store import Change, ChangeBatch, Entry, PollingStore

# The store answers a watch without events after so long. An answer confirms
# that nothing was missed, so the time bounds how late a cut is noticed.
WATCH_WAIT_MS = 700
# Events that come close together share a call of a watcher.
COALESCE_MS = 60
# After a failed call a watcher asks again so soon, since all depend on it. The
# others double the wait up to a bound: while the store is away, all gateways
# without a fresh answer ask, and each call is paid for.
RETRY_MS = 150
MAX_RETRY_MS = 1_200
# A watcher that the store has not answered for so long is not relied on: the
# wait of a watch and the time between two heartbeats, with a little more. A
# configuration must be in force after two seconds.
FRESH_MS = 1_500
FOLLOWER_POLL_MS = 100
# A peer that knows more has heard it from the store; what it told may be under
# way for so long, or is lost.
BEHIND_MS = 150
# Leases that lapsed while the store was away come back within two seconds of
# its return; a deletion in that time may be one of them.
LAPSE_GRACE_MS = 2_500
# Leases lapse after three heartbeats that failed, more than two seconds; a call
# that fails is noticed up to a second late.
MIN_OUTAGE_MS = 800

FETCH_TIMEOUT_MS = 500
# A batch fits a datagram; what a change takes beside its key and value.
MAX_BATCH_BYTES = 1_150
MAX_VALUE_BYTES = 900
CHANGE_BYTES = 40

ChangeHandler = Callable[[list[Change], bool], None]


class Feed:
    """Keeps a replica of the store and tells what changes in it.

    Args:
        store: The platform's store.
        replica: What is known of it.
        clock: The source of time.
        should_watch: Tells whether this gateway watches the store itself.
        is_watcher: Tells whether the other gateways rely on its watch.
        peer_revision: Returns the highest revision that a peer knows.
        share: Tells all peers of a batch.
        on_change: Takes changes, and whether they came after an outage.
        links: Calls peers.
        link: The link address of this gateway.
    """

    def __init__(
        self,
        store: PollingStore,
        replica: Replica,
        clock: Clock,
        should_watch: Callable[[], bool],
        is_watcher: Callable[[], bool],
        peer_revision: Callable[[], int],
        share: Callable[[SharedBatch], None],
        on_change: ChangeHandler,
        links: Caller,
        link: str,
    ) -> None:
        self._store = store
        self._replica = replica
        self._clock = clock
        self._should_watch = should_watch
        self._is_watcher = is_watcher
        self._peer_revision = peer_revision
        self._behind_since: int | None = None
        self._share = share
        self._on_change = on_change
        self._links = links
        self._link = link
        self._missing: list[tuple[SharedBatch, list[SharedChange]]] = []
        self._has_missing = anyio.Event()
        self._confirmed_at: int | None = None
        self._failing_since: int | None = None
        self._recovered_at: int | None = None
        self._was_scanned = False

    @property
    def confirmed_ms(self) -> int:
        """How long ago the store last confirmed what is known here."""
        if self._confirmed_at is None:
            return 1 << 40
        return self._clock.now() - self._confirmed_at

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store failed."""
        return self._failing_since is not None

    @property
    def is_after_outage(self) -> bool:
        """Whether the store was away until shortly before."""
        if self._failing_since is not None:
            return True
        if self._recovered_at is None:
            return False
        return self._clock.now() - self._recovered_at < LAPSE_GRACE_MS

    async def run(self) -> None:
        """Follows the store until cancelled."""
        failures = 0
        while True:
            if self._was_scanned and not self._must_ask():
                # The peers have fresh answers.
                self._note_recovery()
                failures = 0
                await self._clock.sleep(FOLLOWER_POLL_MS)
                continue
            try:
                if not self._was_scanned or not self._replica.revision:
                    await self._scan()
                else:
                    await self._poll()
                failures = 0
            except StoreCompacted as error:
                events.WATCH_COMPACTED.log(error=str(error))
                self._was_scanned = False
            except StoreError as error:
                self._note_failure(error)
                failures += 1
                await self._clock.sleep(self._retry_ms(failures))

    def _retry_ms(self, failures: int) -> int:
        if self._is_watcher():
            return RETRY_MS
        return min(MAX_RETRY_MS, RETRY_MS << (failures - 1))

    def _must_ask(self) -> bool:
        """Tells whether this gateway asks the store now."""
        return self._should_watch() or self._is_behind()

    def _is_behind(self) -> bool:
        """Tells whether a datagram of a peer seems to be lost."""
        if self._peer_revision() <= self._replica.revision:
            self._behind_since = None
            return False
        now = self._clock.now()
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since >= BEHIND_MS

    async def _scan(self) -> None:
        """Reads everything; after a gap in the history, or at the start."""
        listing = await self._store.scan("")
        self._note_answer()
        before = self._replica.revision
        changes = self._replica.merge_listing(listing)
        self._was_scanned = True
        events.STORE_READ.log(
            revision=listing.revision,
            keys=len(listing.entries),
            changes=len(changes),
        )
        self._tell(changes, ChangeBatch(before, listing.revision, changes))

    async def _poll(self) -> None:
        batch = await self._store.poll(
            "", self._replica.revision, WATCH_WAIT_MS
        )
        self._note_answer()
        changes = self._replica.merge_batch(batch)
        if changes:
            self._tell(changes, batch)
        if batch.changes:
            await self._clock.sleep(COALESCE_MS)

    def _tell(self, changes: list[Change], batch: ChangeBatch) -> None:
        if not changes:
            return
        self._on_change(changes, self.is_after_outage)
        for part in split_batch(batch, changes):
            self._share(
                SharedBatch(
                    self._link,
                    part.after,
                    part.revision,
                    [_shared(change) for change in part.changes],
                    self.is_after_outage,
                )
            )

    def take_batch(self, batch: SharedBatch) -> None:
        """Takes a batch that a peer tells."""
        left_out = [c for c in batch.changes if c.bytes_left_out]
        if left_out:
            self._missing.append((batch, left_out))
            self._has_missing.set()
            return
        self._take(batch, [_change(shared) for shared in batch.changes])

    def _take(self, batch: SharedBatch, changes: list[Change]) -> None:
        taken = self._replica.merge_batch(
            ChangeBatch(batch.after, batch.revision, changes)
        )
        if taken is None:
            # What lies between is not known; the changes themselves are.
            events.FEED_GAP.log(
                sender=batch.sender,
                known=self._replica.revision,
                after=batch.after,
            )
            self._was_scanned = False
            taken = self._replica.merge_batch(
                ChangeBatch(0, self._replica.revision, changes)
            )
        if taken:
            self._on_change(taken, batch.after_outage)

    async def run_fetches(self) -> None:
        """Fetches values that were too large for a batch, until cancelled."""
        while True:
            await self._has_missing.wait()
            self._has_missing = anyio.Event()
            while self._missing:
                batch, left_out = self._missing.pop(0)
                await self._fetch(batch, left_out)

    async def _fetch(
        self, batch: SharedBatch, left_out: list[SharedChange]
    ) -> None:
        """Completes a batch by the values that its sender hands over."""
        # A key that changed more than once is told once for each change; only
        # its newest value can be had.
        changes = {c.key: _change(c) for c in batch.changes}
        newest = {shared.key: shared for shared in left_out}
        for key, shared in newest.items():
            known = self._replica.get(key)
            if known is not None and known.revision >= shared.revision:
                del changes[key]
                continue
            found = await self._fetch_value(batch.sender, shared)
            if found is None:
                # The next round of this gateway reads the store itself.
                self._was_scanned = False
                return
            changes[key] = _change(found)
        self._take(batch, list(changes.values()))

    async def _fetch_value(
        self, sender: str, shared: SharedChange
    ) -> SharedChange | None:
        try:
            found = await self._links.call(
                sender, ValueCall(shared.key), SharedChange, FETCH_TIMEOUT_MS
            )
        except (LinkError, CodecError) as error:
            events.VALUE_MISSED.log(
                sender=sender, key=shared.key, error=str(error)
            )
            return None
        return found if found.revision >= shared.revision else None

    async def answer_value(self, call: ValueCall) -> SharedChange:
        """Hands a peer the newest value of a key."""
        entry = self._replica.get(call.key)
        if entry is None:
            return SharedChange(call.key, 0)
        return SharedChange(entry.key, entry.revision, entry.value)

    def take_snapshot(self, snapshot: Snapshot) -> None:
        """Takes all that a peer knows; for a gateway without the store."""
        changes = [_change(shared) for shared in snapshot.changes]
        taken = self._replica.merge_batch(
            ChangeBatch(0, snapshot.revision, changes)
        )
        if taken:
            self._on_change(taken, False)

    async def answer_snapshot(self, call: SnapshotCall) -> Snapshot:
        """Tells a peer everything that is known."""
        entries = self._replica.entries()
        return Snapshot(
            self._replica.revision,
            [SharedChange(e.key, e.revision, e.value) for e in entries],
        )

    def _note_answer(self) -> None:
        self._confirmed_at = self._clock.now()
        self._note_recovery()

    def _note_recovery(self) -> None:
        if self._failing_since is None:
            return
        now = self._clock.now()
        down_ms = now - self._failing_since
        events.STORE_UP.log(down_ms=down_ms)
        self._failing_since = None
        if down_ms >= MIN_OUTAGE_MS:
            self._recovered_at = now

    def _note_failure(self, error: StoreError) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.now()
            events.STORE_DOWN.log(
                error=str(error), revision=self._replica.revision
            )


def split_batch(batch: ChangeBatch, changes: list[Change]) -> list[ChangeBatch]:
    """Returns a batch in parts that fit a message, each after the one before.

    Args:
        batch: Tells the revisions.
        changes: What is told of it.
    """
    ordered = sorted(changes, key=lambda change: change.revision)
    parts: list[list[Change]] = [[]]
    size = 0
    for change in ordered:
        bytes_here = _size(change)
        # Changes of one transaction have one revision and stay together.
        is_same = parts[-1] and parts[-1][-1].revision == change.revision
        if parts[-1] and size + bytes_here > MAX_BATCH_BYTES and not is_same:
            parts.append([])
            size = 0
        parts[-1].append(change)
        size += bytes_here
    found = []
    after = batch.after
    for part in parts:
        is_last = part is parts[-1]
        revision = batch.revision if is_last else part[-1].revision
        found.append(ChangeBatch(after, revision, part))
        after = revision
    return found


def _size(change: Change) -> int:
    """Returns about how many bytes a change takes in a message."""
    value = change.entry.value if change.entry is not None else b""
    told = len(value) if len(value) <= MAX_VALUE_BYTES else 0
    return CHANGE_BYTES + len(change.key) + told


def _shared(change: Change) -> SharedChange:
    if change.entry is None:
        return SharedChange(change.key, change.revision)
    value = change.entry.value
    if len(value) > MAX_VALUE_BYTES:
        return SharedChange(
            change.key, change.revision, bytes_left_out=len(value)
        )
    return SharedChange(change.key, change.revision, value)


def _change(shared: SharedChange) -> Change:
    if shared.value is None:
        return Change(shared.key, shared.revision, None)
    entry = Entry(shared.key, shared.value, shared.revision)
    return Change(shared.key, shared.revision, entry)
