"""A loopback TCP proxy that injects network faults."""

import contextlib
import socket
import struct

import anyio
import anyio.abc
import attrs

from rhubarbwinch.shared import netaddress

CHUNK_BYTES = 65_536
# How often a cut direction is checked for being open again.
POLL_S = 0.02
# With this linger option, closing a socket drops unsent data and sends RST.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.define
class ProxyFaults:
    """The network faults that the proxy applies.

    Attributes:
        delay_ms: The delay of each chunk in both directions.
        is_cut_to_target: Data to the target is held back.
        is_cut_from_target: Data from the target is held back.
        is_refusing: New connections are refused, as at a port that no process
            listens on.
        extra_bytes: Bytes to add after the next chunk from the target.
    """

    delay_ms: int = 0
    is_cut_to_target: bool = False
    is_cut_from_target: bool = False
    is_refusing: bool = False
    extra_bytes: bytes = b""


class LoopbackProxy:
    """Forwards TCP connections to one address.

    Args:
        address: `a.b.c.d:port` to listen on.
        target: The address to forward connections to.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.faults = ProxyFaults()
        self._target = target
        # The IP addresses of callers by the local port of the connection to the
        # target, so that the target can tell them apart.
        self.sources: dict[int, str] = {}
        self._connections: dict[
            anyio.CancelScope, list[anyio.abc.ByteStream]
        ] = {}

    @property
    def is_healthy(self) -> bool:
        """Whether no fault is active."""
        return self.faults == ProxyFaults()

    def heal(self) -> None:
        """Clears all faults."""
        self.faults = ProxyFaults()

    def reset(self) -> None:
        """Resets both sides of all open connections."""
        for scope, streams in list(self._connections.items()):
            for stream in streams:
                sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                # A side that is already closed has no file descriptor.
                if sock.fileno() >= 0:
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                    )
            scope.cancel()

    async def run(self) -> None:
        """Serves until cancelled."""
        host, port = netaddress.parse_address(self.address)
        async with anyio.create_task_group() as tasks:
            while True:
                listener = await anyio.create_tcp_listener(
                    local_host=host, local_port=port, backlog=512
                )
                with anyio.CancelScope() as scope:
                    tasks.start_soon(self._close_when_refusing, scope)
                    async with listener:
                        await listener.serve(self._serve, tasks)
                while self.faults.is_refusing:
                    await anyio.sleep(POLL_S)

    async def _close_when_refusing(self, scope: anyio.CancelScope) -> None:
        """Stops the listener when new connections are to be refused."""
        while not self.faults.is_refusing:
            await anyio.sleep(POLL_S)
        scope.cancel()

    async def _serve(self, caller: anyio.abc.ByteStream) -> None:
        async with caller:
            if self.faults.is_refusing:
                return
            host, port = netaddress.parse_address(self._target)
            try:
                target = await anyio.connect_tcp(host, port)
            except OSError:
                # The caller's connection closes, as if the target refused it.
                return
            port = target.extra(anyio.abc.SocketAttribute.local_port)
            source = caller.extra(anyio.abc.SocketAttribute.remote_address)
            self.sources[port] = str(source[0])
            async with target:
                await self._forward(caller, target)
            self.sources.pop(port, None)

    async def _forward(
        self, caller: anyio.abc.ByteStream, target: anyio.abc.ByteStream
    ) -> None:
        with anyio.CancelScope() as scope:
            self._connections[scope] = [caller, target]
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._pump, caller, target, False, scope)
                    tasks.start_soon(self._pump, target, caller, True, scope)
            finally:
                del self._connections[scope]

    async def _pump(
        self,
        source: anyio.abc.ByteReceiveStream,
        sink: anyio.abc.ByteSendStream,
        from_target: bool,
        scope: anyio.CancelScope,
    ) -> None:
        broken = (anyio.BrokenResourceError, anyio.ClosedResourceError)
        with contextlib.suppress(anyio.EndOfStream, *broken):
            while True:
                data = await source.receive(CHUNK_BYTES)
                if self.faults.delay_ms:
                    await anyio.sleep(self.faults.delay_ms / 1000)
                while self._is_cut(from_target):
                    await anyio.sleep(POLL_S)
                if from_target and self.faults.extra_bytes:
                    data += self.faults.extra_bytes
                    self.faults.extra_bytes = b""
                await sink.send(data)
        # When one side closes, both close. A cut delays this until it heals.
        while self._is_cut(from_target):
            await anyio.sleep(POLL_S)
        scope.cancel()

    def _is_cut(self, from_target: bool) -> bool:
        faults = self.faults
        return (
            faults.is_cut_from_target
            if from_target
            else faults.is_cut_to_target
        )
