"""A proxy on loopback that delays, resets, cuts one way and silences."""

import contextlib
import socket
import struct

import anyio
import anyio.abc
import attrs

from rhubarbwinch.shared import misc

CHUNK_BYTES = 65_536
# How often a direction that is cut looks whether it is open again.
POLL_S = 0.02
# Closing sends a reset instead of what is still to be sent.
_ABORT = struct.pack("ii", 1, 0)


@attrs.define
class Condition:
    """The state of what the proxy stands before.

    Attributes:
        delay_ms: What each chunk waits, each way.
        is_cut_there: Nothing reaches the target.
        is_cut_back: Nothing comes back.
        is_refusing: New connections are closed at once.
        extra: Bytes to add after the next chunk that comes back.
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
        target: Where connections go.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.condition = Condition()
        self._target = target
        self._open: dict[anyio.CancelScope, list[anyio.abc.ByteStream]] = {}

    @property
    def is_sound(self) -> bool:
        """Whether nothing is wrong now."""
        return self.condition == Condition()

    def heal(self) -> None:
        """Ends what is wrong."""
        self.condition = Condition()

    def reset(self) -> None:
        """Resets all open connections, both sides."""
        for scope, streams in list(self._open.items()):
            for stream in streams:
                link = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                # A side that has closed already has no descriptor any more.
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
                # The caller sees what it would see of the target.
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
        # Either side's end ends both; a cut hides it until it heals.
        while self._is_cut(is_back):
            await anyio.sleep(POLL_S)
        scope.cancel()

    def _is_cut(self, is_back: bool) -> bool:
        condition = self.condition
        return condition.is_cut_back if is_back else condition.is_cut_there
