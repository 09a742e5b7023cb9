"""Routes the changes of a page to one entry, its writer, to avoid conflicts.

The writer of a page is determined by the member list alone. If two entries
both act as the writer, their writes conflict, and the compare-and-swap keeps
the page correct. So if the writer doesn't reply, the change is applied
directly. This is safe because changes are idempotent: if the writer applies
the same change late, it finds the change's token or changes nothing.
"""

from typing import Protocol

import attrs
from result import Err, Ok, Result

from rhubarbwinch.claims.claimchanges import Finish, Take
from rhubarbwinch.claims.claimpages import ClaimRecord
from rhubarbwinch.links.linkinterfaces import PeerCaller
from rhubarbwinch.membership.members import Member, Members, Role
from rhubarbwinch.shared import rendezvous
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import CodecError, LinkError, StoreError

CALL_TIMEOUT_MS = 1_000
# A writer that did not reply is not asked again for this time.
WRITER_RETRY_MS = 5_000


class PageAccess(Protocol):
    """Reads and changes claims in their pages."""

    async def read(
        self, page: str, name: str
    ) -> Result[ClaimRecord | None, StoreError]:
        """Returns a claim as currently stored, or None."""
        ...

    async def change(
        self, page: str, change: Take | Finish
    ) -> Result[ClaimRecord | None, StoreError]:
        """Applies a change; returns the claim as stored afterwards."""
        ...


@attrs.frozen
class PageCall:
    """Asks a page's writer to change a claim, or only to read it.

    Attributes:
        page: The page's key in the store.
        name: The claim's name.
        take: The change, if it is a `Take`.
        finish: The change, if it is a `Finish`.
    """

    page: str
    name: str
    take: Take | None = None
    finish: Finish | None = None


@attrs.frozen
class PageReply:
    """The writer's reply.

    Attributes:
        done: Whether the store operation succeeded.
        record: The claim as stored afterwards, or None.
    """

    done: bool
    record: ClaimRecord | None = None


class RoutedPages:
    """Reads and changes pages through their writers.

    Args:
        pages: Reads and changes the pages whose writer is this entry, and
            other pages if their writer doesn't reply.
        links: The links to the other entries.
        members: The known members.
        clock: The source of time.
    """

    def __init__(
        self,
        pages: PageAccess,
        links: PeerCaller,
        members: Members,
        clock: Clock,
    ) -> None:
        self._pages = pages
        self._links = links
        self._members = members
        self._clock = clock
        self._retry_at_ms: dict[str, int] = {}

    async def read(
        self, page: str, name: str
    ) -> Result[ClaimRecord | None, StoreError]:
        """Returns a claim as currently stored, or None."""
        reply = await self._call_writer(PageCall(page, name))
        if reply is not None:
            return Ok(reply.record)
        return await self._pages.read(page, name)

    async def change(
        self, page: str, change: Take | Finish
    ) -> Result[ClaimRecord | None, StoreError]:
        """Applies a change; returns the claim as stored afterwards."""
        if isinstance(change, Take):
            call = PageCall(page, change.name, take=change)
        else:
            call = PageCall(page, change.name, finish=change)
        reply = await self._call_writer(call)
        if reply is not None:
            return Ok(reply.record)
        return await self._pages.change(page, change)

    async def reply(self, call: PageCall) -> PageReply:
        """Handles another entry's call, even if this isn't the writer."""
        change = call.take or call.finish
        if change is None:
            result = await self._pages.read(call.page, call.name)
        else:
            result = await self._pages.change(call.page, change)
        if isinstance(result, Err):
            return PageReply(done=False)
        return PageReply(done=True, record=result.ok_value)

    async def _call_writer(self, call: PageCall) -> PageReply | None:
        """Returns the writer's reply, or None to access the page directly."""
        writer = self._writer(call.page)
        if writer is None:
            return None
        try:
            reply = await self._links.call(
                writer.link, call, PageReply, CALL_TIMEOUT_MS
            )
        except (LinkError, CodecError):
            self._retry_at_ms[writer.name] = self._clock.now() + WRITER_RETRY_MS
            return None
        return reply if reply.done else None

    def _writer(self, page: str) -> Member | None:
        """Returns the page's writer, or None to access the page directly.

        This is so if the writer is this entry or recently didn't reply.
        """
        entries = {m.name: m for m in self._members.serving(Role.ENTRY)}
        name = rendezvous.owner(page, entries)
        if name is None or name == self._members.me.name:
            return None
        if self._clock.now() < self._retry_at_ms.get(name, 0):
            return None
        return entries[name]
