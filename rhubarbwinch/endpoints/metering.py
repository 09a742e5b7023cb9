"""Counts the tokens relayed for each client account, for the audit.

An entry keeps totals in memory and writes them to its own key for each period.
Writing a total is idempotent, so a write whose reply was lost can simply be
repeated. Streams that did not end at this entry are listed one by one: if
another entry resumes such a stream, both entries list it, and the audit uses
the larger of the two token counts.
"""

import anyio
import attrs

from rhubarbwinch.endpoints.relay import StreamPosition
from rhubarbwinch.shared import codec, events
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import StoreError, StoreUncertain
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.store import Store, delete_prefix

METER_PERIOD_MS = 3_600_000
MAX_INTERRUPTED_STREAMS = 5_000
MAX_CLEANED_PERIODS = 48
FINAL_FLUSH_TIMEOUT_S = 1.0


@attrs.define
class MeterCount:
    """The totals of one account and service.

    Attributes:
        account: The client account.
        service: The service that was called.
        generations: The number of streams that ended at this entry.
        tokens: The number of tokens of these streams.
    """

    account: str
    service: str
    generations: int = 0
    tokens: int = 0


@attrs.define
class GenerationMark:
    """The token count of one stream that is not part of the totals.

    Such a stream is open, was cut off at this entry or was resumed here.

    Attributes:
        generation: The generation's id.
        account: The client account.
        service: The service that was called; empty if the entry that resumed
            the stream does not know it.
        tokens: The number of tokens relayed, from the stream's start.
    """

    generation: str
    account: str
    service: str
    tokens: int = 0


@attrs.define
class MeterDocument:
    """The counts of one entry in one period.

    Attributes:
        incarnation: The entry's incarnation, as in its generation ids.
        last_number: The highest number of a generation that started here.
        counts: The totals of the streams that ended here.
        marks: The counts of the other streams.
    """

    incarnation: str
    last_number: int = 0
    counts: list[MeterCount] = attrs.field(factory=list)
    marks: list[GenerationMark] = attrs.field(factory=list)


@attrs.frozen
class _OpenStream:
    """A stream that is being relayed."""

    position: StreamPosition
    account: str
    service: str

    def mark(self) -> GenerationMark:
        """Returns the current token count of the stream."""
        return GenerationMark(
            self.position.generation,
            self.account,
            self.service,
            self.position.next_index,
        )


def parse_generation_id(generation: str) -> tuple[str, int]:
    """Returns the incarnation and number in a generation id."""
    incarnation, number, _ = generation.split("-", 2)
    return incarnation, int(number, 16)


class Meter:
    """Counts the tokens that this entry relays.

    Args:
        store: The platform's store.
        clock: The source of time.
        entry: This member's name.
        incarnation: This process's incarnation.
        flush_ms: The time between two writes.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        entry: str,
        incarnation: int,
        flush_ms: int,
    ) -> None:
        self._store = store
        self._clock = clock
        self._entry = entry
        self._incarnation = incarnation
        self._flush_ms = flush_ms
        self._period = clock.wall() // METER_PERIOD_MS
        self._last_number = 0
        self._counts: dict[tuple[str, str], MeterCount] = {}
        self._open: dict[str, _OpenStream] = {}
        self._interrupted: dict[str, GenerationMark] = {}
        self._last_written = self._encode_document(include_open=False)
        self._revision: int | None = None

    def start(
        self, position: StreamPosition, account: str, service: str
    ) -> None:
        """Starts counting a stream; its position is read at each write."""
        generation = position.generation
        origin, number = parse_generation_id(generation)
        if origin == f"{self._incarnation:x}":
            self._last_number = max(self._last_number, number)
        self._interrupted.pop(generation, None)
        self._open[generation] = _OpenStream(position, account, service)

    def end(self, generation: str, finished: bool) -> None:
        """Records the end of a stream at this entry.

        Args:
            generation: The generation's id.
            finished: Whether the stream is complete, not cut off.
        """
        stream = self._open.pop(generation, None)
        if stream is None:
            return
        mark = stream.mark()
        started_here = (
            parse_generation_id(generation)[0] == f"{self._incarnation:x}"
        )
        if (finished and started_here) or len(
            self._interrupted
        ) >= MAX_INTERRUPTED_STREAMS:
            self._add_to_totals(mark)
        elif mark.tokens:
            self._interrupted[generation] = mark

    async def run(self) -> None:
        """Writes the totals periodically, and once more when cancelled."""
        try:
            while True:
                await self._clock.sleep(self._flush_ms)
                await self.flush()
        finally:
            with anyio.move_on_after(FINAL_FLUSH_TIMEOUT_S, shield=True):
                await self.flush()

    async def flush(self) -> None:
        """Writes the totals; after a store error the next call writes them."""
        now = self._clock.wall() // METER_PERIOD_MS
        try:
            if now > self._period:
                # The open streams are removed from the old period before they
                # are listed in the new one.
                await self._write(self._encode_document(include_open=False))
                self._start_period(now)
            await self._write(self._encode_document(include_open=True))
        except StoreError as error:
            self._revision = None
            events.METER_UNRECORDED.log(error=str(error))

    def _add_to_totals(self, mark: GenerationMark) -> None:
        name = (mark.account, mark.service)
        count = self._counts.setdefault(name, MeterCount(*name))
        count.generations += 1
        count.tokens += mark.tokens

    def _start_period(self, period: int) -> None:
        self._period = period
        self._counts = {}
        self._interrupted = {}
        self._last_written = self._encode_document(include_open=False)
        self._revision = 0

    def _encode_document(self, include_open: bool) -> bytes:
        marks = list(self._interrupted.values())
        if include_open:
            open_marks = [stream.mark() for stream in self._open.values()]
            marks += [mark for mark in open_marks if mark.tokens]
        document = MeterDocument(
            f"{self._incarnation:x}",
            self._last_number,
            list(self._counts.values()),
            marks,
        )
        return codec.encode(document)

    async def _write(self, data: bytes) -> None:
        if data == self._last_written:
            return
        key = keys.meter(self._period, self._entry, self._incarnation)
        if self._revision is None:
            # The revision is unknown: the reply to the last write may have
            # been lost.
            entry = await self._store.get(key)
            self._revision = entry.revision if entry else 0
        swap = await self._store.swap(key, self._revision, data)
        if not swap.succeeded:
            raise StoreUncertain(f"{key}: an earlier write took effect late")
        self._revision = swap.revision
        self._last_written = data


class MeterCleaner:
    """Deletes counters whose retention time has passed.

    Args:
        store: The platform's store.
        clock: The source of time.
        retention_ms: The retention time of counters.
    """

    def __init__(self, store: Store, clock: Clock, retention_ms: int) -> None:
        self._store = store
        self._clock = clock
        self._retention_ms = retention_ms

    async def run(self) -> None:
        """Deletes expired counters once per period until cancelled."""
        while True:
            await self._clock.sleep(METER_PERIOD_MS)
            try:
                await self.step()
            except StoreError as error:
                events.STORE_DOWN.log(error=str(error))

    async def step(self) -> None:
        """Deletes the periods that ended before the retention time."""
        end = (self._clock.wall() - self._retention_ms) // METER_PERIOD_MS
        for period in range(end - MAX_CLEANED_PERIODS, end):
            await delete_prefix(self._store, keys.meter_period(period))
