"""Lists the billable calls and tokens of a period from the store alone.

Each is listed exactly once. A call that is not repeatable belongs to the
period of the timestamp inside its idempotency key, so each call is in exactly
one period. Tokens belong to the hour in which their stream ended.
"""

import datetime
from collections.abc import Iterable

import attrs

from rhubarbwinch.claims import claimkeys
from rhubarbwinch.claims.claimpages import ClaimRecord, ClaimState, Page
from rhubarbwinch.endpoints.metering import (
    METER_PERIOD_MS,
    GenerationMark,
    MeterCount,
    MeterDocument,
    parse_generation_id,
)
from rhubarbwinch.shared import codec
from rhubarbwinch.shared.exceptions import SettingError
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.store import Store

# One scan reads the pages whose window numbers differ only in the last digit,
# because they share a key prefix.
WINDOWS_PER_SCAN = 10
# A stream can be resumed or end in a later hour than it started in, so marks
# are also read for this many hours before and after the period.
MARGIN_PERIODS = 24


@attrs.frozen
class Period:
    """Whole hours in Unix time, in milliseconds; the end is exclusive."""

    start_ms: int
    end_ms: int


@attrs.frozen
class PaidCall:
    """A call that is not repeatable and ran or may have run.

    Attributes:
        time: The time inside the idempotency key, in UTC.
        account: The client account.
        service: The service that was called.
        key: The idempotency key.
        ran: `yes`, or `unknown` if no outcome is recorded.
        status: The HTTP status of the response; 0 without a response.
        endpoint: The endpoint that the call was sent to.
        entry: The entry that sent the call.
        answer: SHA-256 of the response body.
    """

    time: str
    account: str
    service: str
    key: str
    ran: str
    status: int
    endpoint: str
    entry: str
    answer: str


@attrs.frozen
class PaidTokens:
    """The tokens relayed to callers of an account by a service."""

    account: str
    service: str
    generations: int
    tokens: int


def parse_period(start: str, end: str) -> Period:
    """Returns the period between two times such as `2026-12-03T14`, in UTC.

    Raises:
        SettingError: A time is not a whole hour, or the end is not after the
            start.
    """
    times = []
    for name, text in (("from", start), ("to", end)):
        try:
            value = datetime.datetime.fromisoformat(text)
        except ValueError:
            raise SettingError(name, text, "a time in ISO form") from None
        if value.tzinfo is None:
            value = value.replace(tzinfo=datetime.UTC)
        ms = int(value.timestamp() * 1000)
        if ms % METER_PERIOD_MS:
            raise SettingError(name, text, "a whole hour")
        times.append(ms)
    if times[1] <= times[0]:
        raise SettingError("to", end, "a later time than --from")
    return Period(times[0], times[1])


async def list_calls(store: Store, period: Period) -> list[PaidCall]:
    """Returns the period's calls that are not repeatable.

    They are sorted by time, account, service and key.
    """
    first = period.start_ms // claimkeys.WINDOW_MS
    last = (period.end_ms - 1) // claimkeys.WINDOW_MS
    found = []
    for group in range(first // WINDOWS_PER_SCAN, last // WINDOWS_PER_SCAN + 1):
        prefix = keys.claims_window(group * WINDOWS_PER_SCAN)[:-1]
        for entry in (await store.scan(prefix)).entries:
            claims = codec.decode(entry.value, Page).claims
            found += [_paid_call(n, record) for n, record in claims.items()]
    listed = [call for call in found if call and _is_in_period(call, period)]
    return sorted(listed, key=lambda c: (c.time, c.account, c.service, c.key))


async def list_tokens(store: Store, period: Period) -> list[PaidTokens]:
    """Returns the period's tokens, summed by account and service."""
    first = period.start_ms // METER_PERIOD_MS
    after = period.end_ms // METER_PERIOD_MS
    documents: dict[int, list[MeterDocument]] = {}
    for number in range(first - MARGIN_PERIODS, after + MARGIN_PERIODS):
        listing = await store.scan(keys.meter_period(number))
        documents[number] = [
            codec.decode(entry.value, MeterDocument)
            for entry in listing.entries
        ]
    totals: dict[tuple[str, str], MeterCount] = {}
    for number in range(first, after):
        for document in documents[number]:
            for count in document.counts:
                _add(totals, count)
    for number, mark in _resolve_marks(documents):
        if first <= number < after:
            _add(totals, MeterCount(mark.account, mark.service, 1, mark.tokens))
    return [
        PaidTokens(c.account, c.service, c.generations, c.tokens)
        for _, c in sorted(totals.items())
    ]


def _is_in_period(call: PaidCall, period: Period) -> bool:
    time_ms = claimkeys.time_of(call.key)
    return period.start_ms <= time_ms < period.end_ms


def _paid_call(name: str, record: ClaimRecord) -> PaidCall | None:
    """Returns the call of a claim, or None if it was certainly not sent."""
    if record.state is ClaimState.RELEASED:
        return None
    account, service, key = name.split("/")
    outcome = record.outcome
    time_s = claimkeys.time_of(key) / 1000
    time = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    return PaidCall(
        time=time.isoformat(timespec="milliseconds"),
        account=account,
        service=service,
        key=key,
        ran="yes" if outcome else "unknown",
        status=outcome.status if outcome else 0,
        endpoint=record.endpoint,
        entry=record.owner,
        answer=outcome.digest if outcome else "",
    )


def _resolve_marks(
    documents: dict[int, list[MeterDocument]],
) -> Iterable[tuple[int, GenerationMark]]:
    """Yields each stream that is to be counted by its marks, once.

    A stream whose origin already counted it in its totals is left out.

    Yields:
        The last period with a mark of the stream, and the mark with the most
        tokens.
    """
    marks: dict[str, list[tuple[int, GenerationMark]]] = {}
    last_numbers: dict[str, int] = {}
    marked_at_origin: set[str] = set()
    for number, found in documents.items():
        for document in found:
            known = last_numbers.get(document.incarnation, 0)
            last_numbers[document.incarnation] = max(
                known, document.last_number
            )
            for mark in document.marks:
                marks.setdefault(mark.generation, []).append((number, mark))
                if (
                    parse_generation_id(mark.generation)[0]
                    == document.incarnation
                ):
                    marked_at_origin.add(mark.generation)
    for generation, period_marks in marks.items():
        origin, counter = parse_generation_id(generation)
        ended_at_origin = (
            generation not in marked_at_origin
            and counter <= last_numbers.get(origin, 0)
        )
        if ended_at_origin:
            # The origin's totals include the stream. The mark comes from a
            # caller that read the stream again at another entry.
            continue
        longest = max(
            (mark for _, mark in period_marks), key=lambda m: m.tokens
        )
        service = next((m.service for _, m in period_marks if m.service), "")
        yield (
            max(number for number, _ in period_marks),
            attrs.evolve(longest, service=service),
        )


def _add(totals: dict[tuple[str, str], MeterCount], added: MeterCount) -> None:
    name = (added.account, added.service)
    total = totals.setdefault(name, MeterCount(*name))
    total.generations += added.generations
    total.tokens += added.tokens
