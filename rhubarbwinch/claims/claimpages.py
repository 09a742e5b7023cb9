"""Reads and writes pages of claims, batching the changes of each page.

A page has at most one write in flight, which carries many changes. Each
change is idempotent: it first looks for its own token in the page. So after a
lost reply or a compare-and-swap conflict, the page is read again and the
change applied again without knowing which of the two happened.
"""

import collections
import enum
from collections.abc import Iterable
from typing import Protocol

import anyio
import anyio.abc
import attrs
from result import Err, Ok, Result

from rhubarbwinch.shared import codec, events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import (
    CodecError,
    StoreError,
    StoreUnavailable,
    StoreUncertain,
)
from rhubarbwinch.stores.store import KeyValue, Store, SwapResult

# A page above this size accepts no new claims. The rest, up to the store's
# value limit, is reserved for the outcomes of the claims in the page.
FULL_PAGE_BYTES = 450_000
MAX_BATCH = 256
MAX_ATTEMPTS = 20
MAX_LOST_REPLIES = 2
MAX_CACHED_PAGES = 32
BURST_WRITES = 8


class ClaimState(enum.StrEnum):
    """The state of a claim."""

    CLAIMED = "claimed"
    COMPLETED = "completed"
    RELEASED = "released"
    MAY_HAVE_RUN = "may-have-run"


@attrs.frozen
class Outcome:
    """The recorded response of the endpoint.

    Attributes:
        status: The HTTP status.
        content_type: The content type of the response.
        body: The response body; empty if it was too long to be kept.
        digest: SHA-256 of the whole response body.
        kept: Whether `body` is the whole response body.
    """

    status: int
    content_type: str = "text/plain"
    body: bytes = b""
    digest: str = ""
    kept: bool = True


@attrs.frozen
class ClaimRecord:
    """A claim as stored in its page.

    Attributes:
        token: A random token, new for each attempt to claim.
        owner: The member that made the claim.
        incarnation: The owner's incarnation.
        state: The claim's state.
        request: Digest of the request's content.
        at_ms: Unix time of the claim.
        endpoint: The endpoint that the call was sent to; empty for none.
        outcome: The endpoint's response, once the call has completed.
    """

    token: str
    owner: str
    incarnation: int
    state: ClaimState
    request: str
    at_ms: int
    endpoint: str = ""
    outcome: Outcome | None = None


@attrs.define
class Page:
    """The claims of one window and slot, by name."""

    claims: dict[str, ClaimRecord] = attrs.field(factory=dict)


class PageChange(Protocol):
    """A change of one claim in a page."""

    @property
    def name(self) -> str:
        """The claim's name."""
        ...

    def apply(
        self, current: ClaimRecord | None, is_page_full: bool
    ) -> ClaimRecord | None:
        """Returns the record to write, or `current` itself for no change.

        Args:
            current: The claim in the page, or None if there is none.
            is_page_full: Whether the page accepts no more claims.
        """
        ...


@attrs.define
class _PendingOperation:
    """A queued change of a claim, or a queued read."""

    name: str
    change: PageChange | None
    done: anyio.Event = attrs.field(factory=anyio.Event)
    result: Result[ClaimRecord | None, StoreError] | None = None

    def finish(self, result: Result[ClaimRecord | None, StoreError]) -> None:
        self.result = result
        self.done.set()


@attrs.frozen
class _PageVersion:
    """A page as last read or written, with its encoded size in bytes."""

    page: Page
    revision: int
    size: int


@attrs.define
class PageCounters:
    """Counts the store operations on pages, for measurements."""

    reads: int = 0
    writes: int = 0
    changes: int = 0
    conflicts: int = 0


class ClaimPages:
    """Reads and changes pages while its `run` is running.

    Args:
        store: The platform's store.
        clock: The source of time.
        writes_per_s: The most writes that this process makes per second.
        batched: Whether one write may carry several changes.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        writes_per_s: int,
        batched: bool = True,
    ) -> None:
        self.counters = PageCounters()
        self._store = store
        self._clock = clock
        self._interval_ms = 1000 / writes_per_s
        self._max_batch = MAX_BATCH if batched else 1
        self._next_write_ms = float("-inf")
        self._queues: dict[str, collections.deque[_PendingOperation]] = {}
        self._cache: collections.OrderedDict[str, _PageVersion] = (
            collections.OrderedDict()
        )
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Runs the tasks that read and write pages, until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                await anyio.sleep_forever()
        finally:
            self._tasks = None
            for queue in self._queues.values():
                _fail_batch(queue, StoreUncertain("the pages' task ended"))
            self._queues.clear()

    async def read(
        self, page: str, name: str
    ) -> Result[ClaimRecord | None, StoreError]:
        """Returns a claim as currently stored, or None."""
        return await self._submit(page, _PendingOperation(name, None))

    async def change(
        self, page: str, change: PageChange
    ) -> Result[ClaimRecord | None, StoreError]:
        """Applies a change; returns the claim as stored afterwards."""
        return await self._submit(page, _PendingOperation(change.name, change))

    async def _submit(
        self, page: str, pending: _PendingOperation
    ) -> Result[ClaimRecord | None, StoreError]:
        if self._tasks is None:
            return Err(StoreUnavailable("claims are not running"))
        if page in self._queues:
            self._queues[page].append(pending)
        else:
            self._queues[page] = collections.deque([pending])
            self._tasks.start_soon(self._process_queue, page)
        await pending.done.wait()
        if pending.result is None:
            raise AssertionError("a change finished without a result")
        return pending.result

    async def _process_queue(self, page: str) -> None:
        """Processes the queue of a page in batches until it is empty."""
        queue = self._queues[page]
        while queue:
            if any(pending.change for pending in queue):
                # More changes can be queued during this delay; the batch is
                # taken afterwards to include them.
                await self._wait_for_rate()
            count = min(len(queue), self._max_batch)
            batch = [queue.popleft() for _ in range(count)]
            try:
                await self._write(page, batch)
            except (StoreError, CodecError) as error:
                self._cache.pop(page, None)
                _fail_batch(batch, error)
            except BaseException:
                _fail_batch(batch, StoreUncertain("the write was cancelled"))
                raise
        del self._queues[page]

    async def _wait_for_rate(self) -> None:
        """Delays a write to keep to the process's write rate."""
        now = self._clock.now()
        earliest = now - BURST_WRITES * self._interval_ms
        self._next_write_ms = (
            max(self._next_write_ms, earliest) + self._interval_ms
        )
        if self._next_write_ms > now:
            await self._clock.sleep(int(self._next_write_ms - now) + 1)

    async def _write(self, page: str, batch: list[_PendingOperation]) -> None:
        version = self._cache.get(page)
        is_fresh = version is None or any(p.change is None for p in batch)
        if version is None or is_fresh:
            version = await self._fetch(page)
        lost_replies = 0
        for _ in range(MAX_ATTEMPTS):
            updated = _apply_changes(version, batch)
            if updated is version.page and not is_fresh:
                # Another entry may have written the page since it was cached.
                # Only a fresh read shows that no change is needed.
                version = await self._fetch(page)
                is_fresh = True
                continue
            if updated is version.page:
                self._finish_batch(page, version, batch)
                return
            data = codec.encode(updated)
            try:
                swap = await self._swap(page, version.revision, data)
            except StoreUncertain:
                # The write took effect if the page contains the tokens of the
                # batch, so the page is read again.
                lost_replies += 1
                if lost_replies > MAX_LOST_REPLIES:
                    raise
                version = await self._fetch_after_lost_reply(page)
                is_fresh = True
                continue
            if swap.succeeded:
                self.counters.changes += len(batch)
                version = _PageVersion(updated, swap.revision, len(data))
                self._finish_batch(page, version, batch)
                return
            self.counters.conflicts += 1
            version = _decode_page(swap.current)
            is_fresh = True
            # A write that failed on a conflict counts towards the rate too.
            await self._wait_for_rate()
        raise StoreUncertain(f"{page}: lost {MAX_ATTEMPTS} races")

    async def _swap(self, page: str, expected: int, data: bytes) -> SwapResult:
        self.counters.writes += 1
        return await self._store.swap(page, expected, data)

    async def _fetch(self, page: str) -> _PageVersion:
        self.counters.reads += 1
        return _decode_page(await self._store.get(page))

    async def _fetch_after_lost_reply(self, page: str) -> _PageVersion:
        """Reads a page after a lost reply.

        Raises:
            StoreUncertain: The read failed too, so it stays unknown whether
                the write took effect.
        """
        try:
            return await self._fetch(page)
        except StoreUnavailable as error:
            raise StoreUncertain(str(error)) from error

    def _finish_batch(
        self, page: str, version: _PageVersion, batch: list[_PendingOperation]
    ) -> None:
        self._cache[page] = version
        self._cache.move_to_end(page)
        if len(self._cache) > MAX_CACHED_PAGES:
            self._cache.popitem(last=False)
        for pending in batch:
            pending.finish(Ok(version.page.claims.get(pending.name)))


def _decode_page(entry: KeyValue | None) -> _PageVersion:
    if entry is None:
        return _PageVersion(Page(), 0, 0)
    page = codec.decode(entry.value, Page)
    return _PageVersion(page, entry.revision, len(entry.value))


def _apply_changes(
    version: _PageVersion, batch: list[_PendingOperation]
) -> Page:
    """Returns the page with all changes, or the same object if unchanged."""
    is_page_full = version.size > FULL_PAGE_BYTES
    claims = dict(version.page.claims)
    changed = False
    for pending in batch:
        if pending.change is None:
            continue
        current = claims.get(pending.name)
        updated = pending.change.apply(current, is_page_full)
        if updated is None or updated is current:
            continue
        claims[pending.name] = updated
        changed = True
    return Page(claims) if changed else version.page


def _fail_batch(batch: Iterable[_PendingOperation], error: Exception) -> None:
    failure = error
    if not isinstance(failure, StoreError):
        events.CLAIM_PAGE_BAD.log(error=str(error))
        failure = StoreUnavailable(str(error))
    for pending in batch:
        pending.finish(Err(failure))
