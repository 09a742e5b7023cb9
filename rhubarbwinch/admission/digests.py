"""Digests by which a pool's owner checks its view of an entry's streams.

A digest of a few bytes shows whether the owner's view is correct. An entry
sends the full list of its streams only if the digests differ, for example
after a change of owner or a lost message.
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

# A stream's token count is reported again after this many tokens. Between two
# reports the owner estimates the count from the step time.
GROWTH_REPORT_TOKENS = 2048
# A grant or release in flight makes a single digest differ, so a full report
# is requested only after the second mismatch in a row.
MISMATCHES_ALLOWED = 1


def request_key(request_id: str) -> int:
    """Returns the hash of a request id that digests are built from."""
    return xxhash.xxh3_64_intdigest(request_id.encode())


def digest_of(request_ids: Iterable[str]) -> int:
    """Returns the XOR of the requests' keys, or 0 without requests."""
    return reduce(xor, map(request_key, request_ids), 0)


class StreamReportBuilder:
    """Builds the stream reports of an entry.

    Args:
        entry: The entry's name.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._reported_tokens: dict[str, dict[str, int]] = {}

    def digest(self, pool: str, streams: list[StreamProgress]) -> DigestReport:
        """Returns the periodic report: a digest and grown token counts."""
        reported = self._reported_tokens.get(pool, {})
        now_reported: dict[str, int] = {}
        grown = []
        for stream in streams:
            request_id = stream.request.request_id
            last_reported = reported.get(request_id, 0)
            if stream.tokens - last_reported >= GROWTH_REPORT_TOKENS:
                last_reported = stream.tokens
                key = request_key(request_id)
                grown.append(StreamGrowth(key, stream.tokens))
            now_reported[request_id] = last_reported
        self._reported_tokens[pool] = now_reported
        if not streams:
            del self._reported_tokens[pool]
        return DigestReport(
            entry=self._entry,
            pool=pool,
            count=len(streams),
            digest=digest_of(now_reported),
            grown=grown,
        )

    def build_full_report(
        self, pool: str, streams: list[StreamProgress]
    ) -> ProgressReport:
        """Returns a full report, for an owner whose view differs."""
        self._reported_tokens[pool] = {
            s.request.request_id: s.tokens for s in streams
        }
        return ProgressReport(self._entry, pool, streams)


@attrs.frozen
class _Source:
    """An entry and a pool, whose streams one digest covers."""

    entry: str
    pool: str


class DigestChecker:
    """Detects, for a pool's owner, which entries must send a full report."""

    def __init__(self) -> None:
        self._mismatches: dict[_Source, int] = {}

    def needs_full_report(self, report: DigestReport, known: list[str]) -> bool:
        """Returns whether the entry must send a full report.

        Args:
            report: The entry's digest.
            known: The ids of the entry's requests in the owner's view.
        """
        source = _Source(report.entry, report.pool)
        is_same = report.count == len(known) and report.digest == digest_of(
            known
        )
        if is_same:
            self._mismatches.pop(source, None)
            return False
        seen = self._mismatches.get(source, 0) + 1
        self._mismatches[source] = seen
        return seen > MISMATCHES_ALLOWED

    def remove_entry(self, entry: str) -> None:
        """Removes the mismatch counts of an entry."""
        for source in [s for s in self._mismatches if s.entry == entry]:
            del self._mismatches[source]
