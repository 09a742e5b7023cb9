"""Watches the store and broadcasts its changes to the other gateways.

A few gateways, the watchers, watch the store and broadcast what changes. A
gateway that knows of no watcher with a fresh response from the store watches
the store itself. The number of store calls therefore does not grow with the
number of gateways.
"""

from collections.abc import Awaitable, Callable

import anyio

from rhubarbwinch.gateway.messages import (
    SharedBatch,
    SharedChange,
    Snapshot,
    SnapshotCall,
    ValueCall,
)
from rhubarbwinch.gateway.replica import Replica
from rhubarbwinch.links.linkinterfaces import PeerCaller
from rhubarbwinch.shared import events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import (
    CodecError,
    LinkError,
    StoreCompacted,
    StoreError,
)
from rhubarbwinch.stores import positions
from rhubarbwinch.stores.store import (
    Change,
    ChangeBatch,
    KeyValue,
    Listing,
    PollingStore,
)

# The store ends a watch call without events after this time. Its response
# confirms that nothing was missed, so this bounds how late a lost connection is
# noticed.
WATCH_TIMEOUT_MS = 700
# A watcher waits this long after a batch, so that changes in quick succession
# share one watch call.
COALESCE_MS = 60
# Gateways that start together all watch the store until they know each other,
# while all of them and the endpoints register.
START_COALESCE_MS = 300
# Watchers retry a failed call after a short, constant delay, since all gateways
# depend on them. The others back off exponentially up to a bound: in an outage
# every gateway without a fresh response calls the store, and each call is
# billed.
RETRY_MS = 150
MAX_RETRY_MS = 1_200
# All gateways together make one call in this time, at the most.
RETRY_MS_PER_GATEWAY = 50
MAX_DOUBLINGS = 10
# A gap of this length between two responses counts as an outage: two watch
# timeouts, so that a response may be late.
MAX_RESPONSE_GAP_MS = 2 * WATCH_TIMEOUT_MS
# A watcher whose last response from the store is older than this is not relied
# on. The bound is the watch timeout plus the heartbeat interval plus a margin.
# A new configuration must be active within two seconds.
MAX_FRESH_AGE_MS = 1_500
FOLLOWER_POLL_MS = 100
# A peer with a higher revision has also broadcast the changes. If they have not
# arrived after this time, the datagram is taken as lost.
LOST_DATAGRAM_MS = 150
# Leases that expired during an outage are renewed within two seconds after its
# end. A deletion in this time may be an expired lease of a live endpoint.
LEASE_RENEWAL_GRACE_MS = 2_500
# Leases expire after three failed heartbeats, more than two seconds, and a
# failed call is noticed up to a second late. A shorter failure lets no lease
# expire.
MIN_OUTAGE_MS = 800

FETCH_TIMEOUT_MS = 500
# A batch must fit into one datagram.
MAX_BATCH_BYTES = 1_150
MAX_VALUE_BYTES = 900
# The encoded size of a change without its key and value.
CHANGE_OVERHEAD_BYTES = 40

ChangeHandler = Callable[[list[Change], bool], None]


class StoreFeed:
    """Keeps the replica of the store up to date and reports its changes.

    Args:
        store: The platform's store.
        replica: The local replica of the store.
        clock: The source of time.
        should_watch: Returns whether this gateway watches the store itself.
        is_watcher: Returns whether the other gateways rely on its watch.
        peer_revision: Returns the highest store revision that a peer has
            reached.
        peer_available_ms: Returns for how long the store has answered a peer
            without an outage.
        gateway_count: Returns the number of live gateways.
        fetch_snapshot: Returns a peer's replica, or None.
        broadcast_batch: Broadcasts a batch to all peers.
        on_change: Called with changes, and with whether they may result from
            an outage.
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
        peer_available_ms: Callable[[], int],
        gateway_count: Callable[[], int],
        fetch_snapshot: Callable[[], Awaitable[Snapshot | None]],
        broadcast_batch: Callable[[SharedBatch], None],
        on_change: ChangeHandler,
        links: PeerCaller,
        link: str,
    ) -> None:
        self._store = store
        self._replica = replica
        self._clock = clock
        self._should_watch = should_watch
        self._is_watcher = is_watcher
        self._peer_revision = peer_revision
        self._peer_available_ms = peer_available_ms
        self._behind_since_ms: int | None = None
        self._gateway_count = gateway_count
        self._fetch_snapshot = fetch_snapshot
        self._broadcast_batch = broadcast_batch
        self._on_change = on_change
        self._links = links
        self._link = link
        self._incomplete: list[tuple[SharedBatch, list[SharedChange]]] = []
        self._has_incomplete = anyio.Event()
        self._confirmed_at_ms: int | None = None
        self._failing_since_ms: int | None = None
        self._recovered_at_ms: int | None = None
        self._available_since_ms: int | None = None
        self._is_synced = False
        self._has_gap = False
        self._started_ms = clock.now()
        self._restored_ms: int | None = None

    @property
    def era(self) -> int:
        """The era of the store that the replica is of."""
        return positions.era_of(self._replica.revision)

    @property
    def confirmed_ms(self) -> int:
        """Milliseconds since the store last confirmed the replica."""
        if self._confirmed_at_ms is None:
            return 1 << 40
        return self._clock.now() - self._confirmed_at_ms

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store failed."""
        return self._failing_since_ms is not None

    @property
    def available_ms(self) -> int:
        """Milliseconds for which the store has answered without an outage.

        0 if the store does not answer, or if this gateway does not call it.
        """
        if (
            self._available_since_ms is None
            or self.confirmed_ms > MAX_RESPONSE_GAP_MS
        ):
            return 0
        return self._clock.now() - self._available_since_ms

    @property
    def reliable_since_ms(self) -> int | None:
        """The time since which no deletion comes from an expired lease.

        None if the store may have had an outage recently. An outage is one of
        the store only if no gateway had responses all the while: a gateway that
        was cut off alone sees the same failures.
        """
        available_ms = max(self.available_ms, self._peer_available_ms())
        if available_ms < LEASE_RENEWAL_GRACE_MS or self._is_after_restore:
            return None
        return self._clock.now() - available_ms + LEASE_RENEWAL_GRACE_MS

    @property
    def is_after_outage(self) -> bool:
        """Whether the store is unavailable or was until recently."""
        if self._is_after_restore:
            return True
        return self._has_failed_recently and self.reliable_since_ms is None

    @property
    def _is_after_restore(self) -> bool:
        """Whether entries may be missing because the store was restored."""
        return (
            self._restored_ms is not None
            and self._clock.now() - self._restored_ms < LEASE_RENEWAL_GRACE_MS
        )

    @property
    def _has_failed_recently(self) -> bool:
        """Whether the store is or was unavailable to this gateway."""
        if self._failing_since_ms is not None:
            return True
        if self._recovered_at_ms is None:
            return False
        return (
            self._clock.now() - self._recovered_at_ms < LEASE_RENEWAL_GRACE_MS
        )

    async def run(self) -> None:
        """Watches the store or follows the watchers until cancelled."""
        failures = 0
        while True:
            if self._is_synced and not self._must_call_store():
                # A watcher has a fresh response, so the store is available.
                self._record_recovery()
                failures = 0
                await self._clock.sleep(FOLLOWER_POLL_MS)
                continue
            try:
                if not self._is_synced or not self._replica.revision:
                    await self._scan()
                else:
                    await self._poll()
                failures = 0
            except StoreCompacted as error:
                events.WATCH_COMPACTED.log(error=str(error))
                self._is_synced = False
            except StoreError as error:
                self._record_failure(error)
                failures += 1
                await self._catch_up()
                await self._wait_to_retry(self._retry_ms(failures))

    async def _catch_up(self) -> None:
        """Reads a peer's replica if the store serves peers but not this one."""
        if self._peer_revision() <= self._replica.revision:
            return
        snapshot = await self._fetch_snapshot()
        if snapshot is None or snapshot.revision <= self._replica.revision:
            return
        entries = [
            KeyValue(change.key, change.value, change.revision)
            for change in snapshot.changes
            if change.value is not None
        ]
        before = self._replica.revision
        changes = self._replica.merge_listing(
            Listing(entries, snapshot.revision)
        )
        self._note_restore(before)
        self._is_synced = True
        self._has_gap = False
        events.CAUGHT_UP.log(revision=snapshot.revision, changes=len(changes))
        if changes:
            self._on_change(changes, self.is_after_outage)

    def _retry_ms(self, failures: int) -> int:
        if self._is_watcher():
            return RETRY_MS
        limit_ms = max(
            MAX_RETRY_MS, RETRY_MS_PER_GATEWAY * self._gateway_count()
        )
        first_ms = max(RETRY_MS, limit_ms >> 3)
        return min(limit_ms, first_ms << min(failures - 1, MAX_DOUBLINGS))

    async def _wait_to_retry(self, retry_ms: int) -> None:
        """Waits for a time, or until a watcher has a fresh response."""
        end = self._clock.now() + retry_ms
        while self._clock.now() < end:
            left_ms = end - self._clock.now()
            await self._clock.sleep(min(left_ms, FOLLOWER_POLL_MS))
            if self._is_synced and not self._should_watch():
                return

    def _must_call_store(self) -> bool:
        """Returns whether this gateway has to call the store now."""
        return self._should_watch() or self._has_gap or self._is_behind()

    def _is_behind(self) -> bool:
        """Returns whether a datagram of a peer seems to be lost."""
        if self._peer_revision() <= self._replica.revision:
            self._behind_since_ms = None
            return False
        now = self._clock.now()
        if self._behind_since_ms is None:
            self._behind_since_ms = now
        return now - self._behind_since_ms >= LOST_DATAGRAM_MS

    async def _scan(self) -> None:
        """Reads all entries, at the start or after a gap in the history."""
        listing = await self._store.scan("")
        self._record_response()
        self._has_gap = False
        previous_revision = self._replica.revision
        changes = self._replica.merge_listing(listing)
        self._note_restore(previous_revision)
        self._is_synced = True
        events.STORE_READ.log(
            revision=listing.revision,
            keys=len(listing.entries),
            changes=len(changes),
        )
        if changes:
            self._on_change(changes, self.is_after_outage)
        is_newer = 0 < previous_revision < listing.revision
        if is_newer and self._should_broadcast():
            self._broadcast(
                ChangeBatch(
                    previous_revision,
                    listing.revision,
                    self._replica.changes_since(previous_revision),
                )
            )

    async def _poll(self) -> None:
        batch = await self._store.poll(
            "", self._replica.revision, WATCH_TIMEOUT_MS
        )
        self._record_response()
        self._has_gap = False
        changes = self._replica.merge_batch(batch)
        if changes:
            self._on_change(changes, self.is_after_outage)
            if self._should_broadcast():
                self._broadcast(batch)
        if batch.changes:
            await self._clock.sleep(
                START_COALESCE_MS if self._is_starting else COALESCE_MS
            )

    def _should_broadcast(self) -> bool:
        """Returns whether the peers rely on this gateway for changes.

        At a start many gateways read the store before they know each other. If
        each broadcast what it read, the messages would grow with the square of
        the gateways times the endpoints.
        """
        if self._is_watcher():
            return True
        return not self._is_starting and self._should_watch()

    @property
    def _is_starting(self) -> bool:
        """Whether this gateway may not know the watchers yet."""
        return self._clock.now() - self._started_ms < MAX_FRESH_AGE_MS

    def _broadcast(self, batch: ChangeBatch) -> None:
        """Broadcasts all changes of a batch, also those that were known here.

        A peer that receives it takes its replica as complete up to the batch's
        revision.
        """
        for part in split_batch(batch, batch.changes):
            self._broadcast_batch(
                SharedBatch(
                    self._link,
                    part.after,
                    part.revision,
                    [_to_shared(change) for change in part.changes],
                    self.is_after_outage,
                )
            )

    def receive_batch(self, batch: SharedBatch) -> None:
        """Handles a batch that a peer has broadcast."""
        omitted = [c for c in batch.changes if c.bytes_left_out]
        if omitted:
            self._incomplete.append((batch, omitted))
            self._has_incomplete.set()
            return
        self._apply(batch, [_from_shared(shared) for shared in batch.changes])

    def _apply(self, batch: SharedBatch, changes: list[Change]) -> None:
        before = self._replica.revision
        applied = self._replica.merge_batch(
            ChangeBatch(batch.after, batch.revision, changes)
        )
        if applied is None:
            # The changes between the two revisions are unknown and have to be
            # read. The changes of this batch can be applied already.
            events.FEED_GAP.log(
                sender=batch.sender,
                known=self._replica.revision,
                after=batch.after,
            )
            self._has_gap = True
            applied = self._replica.merge_batch(
                ChangeBatch(0, self._replica.revision, changes)
            )
        self._note_restore(before)
        if applied:
            is_after_outage = batch.after_outage or self._is_after_restore
            self._on_change(
                applied, is_after_outage and self.reliable_since_ms is None
            )

    def _note_restore(self, before: int) -> None:
        """Records that the replica has come to a new era of the store."""
        if before and positions.era_of(before) != self.era:
            self._restored_ms = self._clock.now()
            events.STORE_RESTORED.log(
                before=before, revision=self._replica.revision
            )

    async def run_fetches(self) -> None:
        """Fetches values that were too large for batches, until cancelled."""
        while True:
            await self._has_incomplete.wait()
            self._has_incomplete = anyio.Event()
            while self._incomplete:
                batch, omitted = self._incomplete.pop(0)
                await self._fetch(batch, omitted)

    async def _fetch(
        self, batch: SharedBatch, omitted: list[SharedChange]
    ) -> None:
        """Fetches a batch's missing values from its sender and applies it."""
        # A key that changed more than once has an item for each change, but
        # the sender holds only the newest value.
        changes = {c.key: _from_shared(c) for c in batch.changes}
        newest_by_key = {shared.key: shared for shared in omitted}
        for key, shared in newest_by_key.items():
            known = self._replica.get(key)
            if known is not None and known.revision >= shared.revision:
                del changes[key]
                continue
            fetched = await self._fetch_value(batch.sender, shared)
            if fetched is None:
                # The next iteration of `run` scans the store.
                self._is_synced = False
                return
            changes[key] = _from_shared(fetched)
        self._apply(batch, list(changes.values()))

    async def _fetch_value(
        self, sender: str, shared: SharedChange
    ) -> SharedChange | None:
        try:
            fetched = await self._links.call(
                sender, ValueCall(shared.key), SharedChange, FETCH_TIMEOUT_MS
            )
        except (LinkError, CodecError) as error:
            events.VALUE_MISSED.log(
                sender=sender, key=shared.key, error=str(error)
            )
            return None
        return fetched if fetched.revision >= shared.revision else None

    async def handle_value_call(self, call: ValueCall) -> SharedChange:
        """Returns the newest value of a key to a peer."""
        entry = self._replica.get(call.key)
        if entry is None:
            return SharedChange(call.key, 0)
        return SharedChange(entry.key, entry.revision, entry.value)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Merges a peer's snapshot, for a start without the store."""
        changes = [_from_shared(shared) for shared in snapshot.changes]
        applied = self._replica.merge_batch(
            ChangeBatch(0, snapshot.revision, changes)
        )
        if applied:
            self._on_change(applied, False)

    async def handle_snapshot_call(self, call: SnapshotCall) -> Snapshot:
        """Returns all known entries to a peer."""
        entries = self._replica.entries()
        return Snapshot(
            self._replica.revision,
            [SharedChange(e.key, e.revision, e.value) for e in entries],
        )

    def _record_response(self) -> None:
        now = self._clock.now()
        has_gap = self.confirmed_ms > MAX_RESPONSE_GAP_MS
        self._confirmed_at_ms = now
        self._record_recovery()
        if has_gap or self._available_since_ms is None:
            self._available_since_ms = now

    def _record_recovery(self) -> None:
        if self._failing_since_ms is None:
            return
        now = self._clock.now()
        down_ms = now - self._failing_since_ms
        events.STORE_UP.log(down_ms=down_ms)
        self._failing_since_ms = None
        if down_ms >= MIN_OUTAGE_MS:
            self._recovered_at_ms = now
            self._available_since_ms = None

    def _record_failure(self, error: StoreError) -> None:
        if self._failing_since_ms is None:
            self._failing_since_ms = self._clock.now()
            events.STORE_DOWN.log(
                error=str(error), revision=self._replica.revision
            )


def split_batch(batch: ChangeBatch, changes: list[Change]) -> list[ChangeBatch]:
    """Splits a batch into consecutive parts that each fit into a message.

    Args:
        batch: The batch, for its revisions.
        changes: The changes of the batch to be sent.
    """
    ordered = sorted(changes, key=lambda change: change.revision)
    parts: list[list[Change]] = [[]]
    size = 0
    for change in ordered:
        change_bytes = _size(change)
        # Changes of one transaction share a revision and stay together.
        is_same = parts[-1] and parts[-1][-1].revision == change.revision
        if parts[-1] and size + change_bytes > MAX_BATCH_BYTES and not is_same:
            parts.append([])
            size = 0
        parts[-1].append(change)
        size += change_bytes
    batches = []
    after = batch.after
    for part in parts:
        is_last = part is parts[-1]
        revision = batch.revision if is_last else part[-1].revision
        batches.append(ChangeBatch(after, revision, part))
        after = revision
    return batches


def _size(change: Change) -> int:
    """Returns the approximate encoded size of a change."""
    value = change.entry.value if change.entry is not None else b""
    value_bytes = len(value) if len(value) <= MAX_VALUE_BYTES else 0
    return CHANGE_OVERHEAD_BYTES + len(change.key) + value_bytes


def _to_shared(change: Change) -> SharedChange:
    if change.entry is None:
        return SharedChange(change.key, change.revision)
    value = change.entry.value
    if len(value) > MAX_VALUE_BYTES:
        return SharedChange(
            change.key, change.revision, bytes_left_out=len(value)
        )
    return SharedChange(change.key, change.revision, value)


def _from_shared(shared: SharedChange) -> Change:
    if shared.value is None:
        return Change(shared.key, shared.revision, None)
    entry = KeyValue(shared.key, shared.value, shared.revision)
    return Change(shared.key, shared.revision, entry)
