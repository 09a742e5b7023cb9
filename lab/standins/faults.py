"""Faults that an engine stand-in shows on request."""

from typing import Any

import anyio
import attrs

from rhubarbwinch.http.httpapi import Responder


@attrs.define
class Faults:
    """What goes wrong, set by `POST /faults`; each fault happens once.

    Attributes:
        duplicate_at: The event of this index is sent twice.
        gap_at: The event of this index is left out.
        foreign_at: An event of another generation comes before this index.
        freeze_at: Before this index the connection falls silent.
        cut_at: Before this index the connection is closed.
        done_at: Before this index the end of the stream is announced.
        late_ms: How long the next answer waits for its head.
        refuse: How many starts are refused with 503.
    """

    duplicate_at: int | None = None
    gap_at: int | None = None
    foreign_at: int | None = None
    freeze_at: int | None = None
    cut_at: int | None = None
    done_at: int | None = None
    late_ms: int = 0
    refuse: int = 0

    def set(self, wanted: dict[str, Any]) -> None:
        """Adds the faults that are wanted."""
        for name, value in wanted.items():
            setattr(self, name, value)

    async def refuses(self, responder: Responder) -> bool:
        """Refuses a start if one is to be refused, or makes it late."""
        if self.refuse:
            self.refuse -= 1
            await responder.json(b"{}", 503)
            return True
        late_ms, self.late_ms = self.late_ms, 0
        await anyio.sleep(late_ms / 1000)
        return False

    async def send(
        self, index: int, event: bytes, generation: str, responder: Responder
    ) -> bool:
        """Sends an event with its faults; False after the link was cut."""
        if self._take("cut_at", index):
            return False
        if self._take("freeze_at", index):
            await anyio.sleep_forever()
        if self._take("done_at", index):
            await responder.write(b"data: [DONE]\n\n", more=False)
            return False
        if self._take("foreign_at", index):
            other = event.replace(generation.encode(), b"other-1~engine")
            await responder.write(other)
        if self._take("gap_at", index):
            return True
        await responder.write(event)
        if self._take("duplicate_at", index):
            await responder.write(event)
        return True

    def _take(self, name: str, index: int) -> bool:
        if getattr(self, name) != index:
            return False
        setattr(self, name, None)
        return True
