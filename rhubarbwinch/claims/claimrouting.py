"""Sends changes of a page to one entry, so that writers do not race.

Which entry that is follows from the members alone. Two entries that each take
themselves for a page's writer only race; the compare-and-swap keeps the page
right. So without an answer a change is made directly: it is idempotent, and a
late one at the other entry finds its own token or changes nothing.
"""

from typing import Protocol

import attrs
from result import Err, Ok, Result

from rhubarbwinch.claims.claimchanges import Finish, Take
from rhubarbwinch.claims.claimpages import ClaimRecord
from rhubarbwinch.links.linktypes import Caller
from rhubarbwinch.membership.members import Member, Members, Role
from rhubarbwinch.shared import rendezvous
from rhubarbwinch.shared.clock import Clock
from rhubarbwinch.shared.exceptions import CodecError, LinkError, StoreError

CALL_TIMEOUT_MS = 1_000
# A writer that was silent is not asked again for so long.
SILENT_MS = 5_000


class Pages(Protocol):
    """Reads and changes claims in their pages."""

    async def read(
        self, page: str, name: str
    ) -> Result[ClaimRecord | None, StoreError]:
        """Returns a claim as the store holds it now."""
        ...

    async def change(
        self, page: str, change: Take | Finish
    ) -> Result[ClaimRecord | None, StoreError]:
        """Makes a change; returns the claim as it then stands."""
        ...


@attrs.frozen
class PageCall:
    """Asks a page's writer for a change, or only for the claim.

    Attributes:
        page: The page's key in the store.
        name: The claim's name.
        take: The change, if it is one of these.
        finish: The change, if it is one of these.
    """

    page: str
    name: str
    take: Take | None = None
    finish: Finish | None = None


@attrs.frozen
class PageReply:
    """The writer's answer.

    Attributes:
        done: Whether the store did it.
        record: The claim as it then stood.
    """

    done: bool
    record: ClaimRecord | None = None


class RoutedPages:
    """Has pages read and changed by their writers.

    Args:
        pages: Reads and changes the pages that are ours, and others when their
            writer does not answer.
        links: The links to the other entries.
        members: The known members.
        clock: The source of time.
    """

    def __init__(
        self, pages: Pages, links: Caller, members: Members, clock: Clock
    ) -> None:
        self._pages = pages
        self._links = links
        self._members = members
        self._clock = clock
        self._silent_until: dict[str, int] = {}

    async def read(
        self, page: str, name: str
    ) -> Result[ClaimRecord | None, StoreError]:
        """Returns a claim as the store holds it now."""
        reply = await self._ask(PageCall(page, name))
        if reply is not None:
            return Ok(reply.record)
        return await self._pages.read(page, name)

    async def change(
        self, page: str, change: Take | Finish
    ) -> Result[ClaimRecord | None, StoreError]:
        """Makes a change; returns the claim as it then stands."""
        if isinstance(change, Take):
            call = PageCall(page, change.name, take=change)
        else:
            call = PageCall(page, change.name, finish=change)
        reply = await self._ask(call)
        if reply is not None:
            return Ok(reply.record)
        return await self._pages.change(page, change)

    async def answer(self, call: PageCall) -> PageReply:
        """Does what another entry asks for, also for a page not ours."""
        change = call.take or call.finish
        if change is None:
            result = await self._pages.read(call.page, call.name)
        else:
            result = await self._pages.change(call.page, change)
        if isinstance(result, Err):
            return PageReply(done=False)
        return PageReply(done=True, record=result.ok_value)

    async def _ask(self, call: PageCall) -> PageReply | None:
        """Returns the writer's answer; None to do it here."""
        writer = self._writer(call.page)
        if writer is None:
            return None
        try:
            reply = await self._links.call(
                writer.link, call, PageReply, CALL_TIMEOUT_MS
            )
        except (LinkError, CodecError):
            self._silent_until[writer.name] = self._clock.now() + SILENT_MS
            return None
        return reply if reply.done else None

    def _writer(self, page: str) -> Member | None:
        """Returns the page's writer, or None if that is this entry."""
        entries = {m.name: m for m in self._members.serving(Role.ENTRY)}
        name = rendezvous.owner(page, entries)
        if name is None or name == self._members.me.name:
            return None
        if self._clock.now() < self._silent_until.get(name, 0):
            return None
        return entries[name]
