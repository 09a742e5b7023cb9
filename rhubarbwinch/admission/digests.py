"""Digests of open streams, from entries to the owners of pools.

A digest of a few bytes tells an owner whether its view is right. Only when it
is not, as after a change of owner or a lost message, all streams are told.
"""

from collections.abc import Iterable
from functools import reduce
from operator import xor

import attrs
import xxhash

from rhubarbwinch.links.messages import (
    DigestReport,
    ProgressReport,
    StreamGrowth,
    StreamProgress,
)

# A stream is told again after so many tokens; in between an owner goes by the
# time of a step.
GROWTH_TOKENS = 2048
# A grant or a release that is on its way makes one digest differ, so only the
# second in a row counts.
MISMATCHES_ALLOWED = 1


def request_key(request_id: str) -> int:
    """Returns the number that stands for a request in digests."""
    return xxhash.xxh3_64_intdigest(request_id.encode())


def digest_of(request_ids: Iterable[str]) -> int:
    """Returns the exclusive or of the keys of requests, 0 for none."""
    return reduce(xor, map(request_key, request_ids), 0)


class StreamReporter:
    """An entry's side.

    Args:
        entry: The member's name.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._told: dict[str, dict[str, int]] = {}

    def digest(self, pool: str, streams: list[StreamProgress]) -> DigestReport:
        """Returns the report to send in each period."""
        told = self._told.get(pool, {})
        now_told: dict[str, int] = {}
        grown = []
        for stream in streams:
            request_id = stream.request.request_id
            before = told.get(request_id, 0)
            if stream.tokens - before >= GROWTH_TOKENS:
                before = stream.tokens
                key = request_key(request_id)
                grown.append(StreamGrowth(key, stream.tokens))
            now_told[request_id] = before
        self._told[pool] = now_told
        if not streams:
            del self._told[pool]
        return DigestReport(
            entry=self._entry,
            pool=pool,
            count=len(streams),
            digest=digest_of(now_told),
            grown=grown,
        )

    def announcement(
        self, pool: str, streams: list[StreamProgress]
    ) -> ProgressReport:
        """Returns the report of everything, for an owner that asks for it."""
        self._told[pool] = {s.request.request_id: s.tokens for s in streams}
        return ProgressReport(self._entry, pool, streams)


@attrs.frozen
class _Source:
    """An entry's streams in a pool."""

    entry: str
    pool: str


class DigestChecker:
    """An owner's side: tells when an entry must announce its streams."""

    def __init__(self) -> None:
        self._mismatches: dict[_Source, int] = {}

    def wants_all(self, report: DigestReport, known: list[str]) -> bool:
        """Compares a digest with what is known of the entry's streams.

        Args:
            report: What the entry tells.
            known: The request ids that the owner counts as the entry's.
        """
        source = _Source(report.entry, report.pool)
        same = report.count == len(known) and report.digest == digest_of(known)
        if same:
            self._mismatches.pop(source, None)
            return False
        seen = self._mismatches.get(source, 0) + 1
        self._mismatches[source] = seen
        return seen > MISMATCHES_ALLOWED

    def forget(self, entry: str) -> None:
        """Drops what is kept of an entry that is gone."""
        for source in [s for s in self._mismatches if s.entry == entry]:
            del self._mismatches[source]
