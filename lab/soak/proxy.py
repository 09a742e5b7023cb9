"""A loopback TCP proxy that injects network faults."""

import contextlib
import socket
import struct

import anyio
import anyio.abc
import attrs

from rhubarbwinch.shared import misc

CHUNK_BYTES = 65_536
# How often a cut direction is checked for being open again.
POLL_S = 0.02
# With this linger option, closing a socket drops unsent data and sends RST.
_ABORT = struct.pack("ii", 1, 0)


@attrs.define
class Condition:
    """The network faults that the proxy applies.

    Attributes:
        delay_ms: The delay of each chunk in both directions.
        is_cut_there: Data to the target is held back.
        is_cut_back: Data from the target is held back.
        is_refusing: New connections are closed immediately.
        extra: Bytes to add after the next chunk from the target.
    """

    delay_ms: int = 0
    is_cut_there: bool = False
    is_cut_back: bool = False
    is_refusing: bool = False
    extra: bytes = b""


class LoopbackProxy:
    """Forwards TCP connections to one address.

    Args:
        address: `a.b.c.d:port` to listen on.
        target: The address to forward connections to.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.condition = Condition()
        self._target = target
        self._open: dict[anyio.CancelScope, list[anyio.abc.ByteStream]] = {}

    @property
    def is_sound(self) -> bool:
        """Whether no fault is active."""
        return self.condition == Condition()

    def heal(self) -> None:
        """Clears all faults."""
        self.condition = Condition()

    def reset(self) -> None:
        """Resets both sides of all open connections."""
        for scope, streams in list(self._open.items()):
            for stream in streams:
                link = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                # A side that is already closed has no file descriptor.
                if link.fileno() >= 0:
                    link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT)
            scope.cancel()

    async def run(self) -> None:
        """Serves until cancelled."""
        host, port = misc.split_address(self.address)
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=512
        )
        async with listener:
            await listener.serve(self._serve)

    async def _serve(self, caller: anyio.abc.ByteStream) -> None:
        async with caller:
            if self.condition.is_refusing:
                return
            host, port = misc.split_address(self._target)
            try:
                target = await anyio.connect_tcp(host, port)
            except OSError:
                # The caller's connection closes, as if the target refused it.
                return
            async with target:
                await self._forward(caller, target)

    async def _forward(
        self, caller: anyio.abc.ByteStream, target: anyio.abc.ByteStream
    ) -> None:
        with anyio.CancelScope() as scope:
            self._open[scope] = [caller, target]
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._pump, caller, target, False, scope)
                    tasks.start_soon(self._pump, target, caller, True, scope)
            finally:
                del self._open[scope]

    async def _pump(
        self,
        source: anyio.abc.ByteReceiveStream,
        sink: anyio.abc.ByteSendStream,
        is_back: bool,
        scope: anyio.CancelScope,
    ) -> None:
        broken = (anyio.BrokenResourceError, anyio.ClosedResourceError)
        with contextlib.suppress(anyio.EndOfStream, *broken):
            while True:
                data = await source.receive(CHUNK_BYTES)
                if self.condition.delay_ms:
                    await anyio.sleep(self.condition.delay_ms / 1000)
                while self._is_cut(is_back):
                    await anyio.sleep(POLL_S)
                if is_back and self.condition.extra:
                    data += self.condition.extra
                    self.condition.extra = b""
                await sink.send(data)
        # When one side closes, both close. A cut delays this until it heals.
        while self._is_cut(is_back):
            await anyio.sleep(POLL_S)
        scope.cancel()

    def _is_cut(self, is_back: bool) -> bool:
        condition = self.condition
        return condition.is_cut_back if is_back else condition.is_cut_there
