"""Faults that an engine stand-in injects on request."""

from typing import Any

import anyio
import attrs

from rhubarbwinch.http.httpapi import Responder


@attrs.define
class EngineFaults:
    """The pending faults, set by `POST /faults`; each happens once.

    Attributes:
        duplicate_at: The event with this index is sent twice.
        gap_at: The event with this index is left out.
        foreign_at: Before the event with this index, an event of another
            generation is sent.
        freeze_at: Before the event with this index, the stream stalls.
        cut_at: Before the event with this index, the connection is closed.
        done_at: Before the event with this index, the end of the stream is
            sent.
        late_ms: The delay of the next response's head.
        refuse: The number of next starts that are refused with status 503.
    """

    duplicate_at: int | None = None
    gap_at: int | None = None
    foreign_at: int | None = None
    freeze_at: int | None = None
    cut_at: int | None = None
    done_at: int | None = None
    late_ms: int = 0
    refuse: int = 0

    def set_faults(self, requested: dict[str, Any]) -> None:
        """Sets faults by attribute name."""
        for name, value in requested.items():
            setattr(self, name, value)

    async def handle_start(self, responder: Responder) -> bool:
        """Applies the faults of a start; returns whether it was refused."""
        if self.refuse:
            self.refuse -= 1
            await responder.send_json(b"{}", 503)
            return True
        late_ms, self.late_ms = self.late_ms, 0
        await anyio.sleep(late_ms / 1000)
        return False

    async def send(
        self, index: int, event: bytes, generation: str, responder: Responder
    ) -> bool:
        """Sends an event with its faults; returns False if the stream ended."""
        if self._pop_fault("cut_at", index):
            return False
        if self._pop_fault("freeze_at", index):
            await anyio.sleep_forever()
        if self._pop_fault("done_at", index):
            await responder.write(b"data: [DONE]\n\n", more=False)
            return False
        if self._pop_fault("foreign_at", index):
            other = event.replace(generation.encode(), b"other-1~engine")
            await responder.write(other)
        if self._pop_fault("gap_at", index):
            return True
        await responder.write(event)
        if self._pop_fault("duplicate_at", index):
            await responder.write(event)
        return True

    def _pop_fault(self, name: str, index: int) -> bool:
        if getattr(self, name) != index:
            return False
        setattr(self, name, None)
        return True
