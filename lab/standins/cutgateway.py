"""A gateway process whose links to endpoints are cut by a file.

The first line of the file is the kind of the cut, the others are the addresses
that are cut off. Connections can be bound to an address of the gateway, so that
endpoints can tell which gateway they come from. Run as
`python -m lab.standins.cutgateway gateway ...`.
"""

import asyncio
import functools
import os
import pathlib
import weakref

import httpx

from rhubarbwinch import __main__ as program
from rhubarbwinch.http import transport
from rhubarbwinch.http.buffercount import BufferCount

FILE_VARIABLE = "CUT_FILE"
SOURCE_VARIABLE = "CUT_SOURCE_IP"
REFUSE, RESET, HANG = "refuse", "reset", "hang"
# Open connections live on with `refuse`.
KINDS = (REFUSE, RESET, HANG)
POLL_S = 0.02
# After this time the operating system closes a connection that hangs.
DEAD_PEER_S = 2.0


_HeldBytes = weakref.WeakKeyDictionary[transport.Connection, list[bytes]]


class Cut:
    """The current cut, and what it does to connections.

    Args:
        path: The file; without it no link is cut.
        source: The IP address that connections come from; empty for any.
    """

    def __init__(self, path: pathlib.Path, source: str = "") -> None:
        self._path = path
        self._source = source
        self._connections: weakref.WeakSet[transport.Connection] = (
            weakref.WeakSet()
        )
        # What is under way while a link hangs is neither lost nor reordered.
        self._held_sends = _HeldBytes()
        self._held_data = _HeldBytes()
        self._poller: asyncio.Future[None] | None = None
        self._kind = ""
        self._addresses: set[str] = set()

    def install(self) -> None:
        """Replaces the functions of the transport that use the network."""
        connect = transport._connect
        send = transport.Connection._send
        receive = transport.Connection.data_received

        async def cut_connect(
            host: str,
            port: int,
            timeout_s: float | None,
            options: transport.TransportOptions,
            buffers: BufferCount,
        ) -> transport.Connection:
            await self._check(f"{host}:{port}", timeout_s)
            connection = await connect(host, port, timeout_s, options, buffers)
            self._connections.add(connection)
            return connection

        async def cut_send(
            connection: transport.Connection, data: bytes | None
        ) -> None:
            if data and self._hangs(connection):
                connection.has_sent = True
                self._held_sends.setdefault(connection, []).append(data)
                return
            await send(connection, data)

        def cut_receive(connection: transport.Connection, data: bytes) -> None:
            if self._hangs(connection) or connection in self._held_data:
                self._held_data.setdefault(connection, []).append(data)
                return
            receive(connection, data)

        transport._connect = cut_connect
        transport.Connection._send = cut_send  # type: ignore[assignment, method-assign]
        transport.Connection.data_received = cut_receive  # type: ignore[assignment, method-assign]

    async def _check(self, address: str, timeout_s: float | None) -> None:
        if self._poller is None:
            self._poller = asyncio.ensure_future(self._poll())
            self._bind_connections()
        self._read()
        if address not in self._addresses:
            return
        if self._kind == HANG:
            await asyncio.sleep(timeout_s or DEAD_PEER_S)
            raise httpx.ConnectTimeout(address)
        raise httpx.ConnectError(address)

    def _bind_connections(self) -> None:
        """Makes the event loop's connections come from the source address."""
        loop = asyncio.get_running_loop()
        if self._source:
            loop.create_connection = functools.partial(  # type: ignore[method-assign]
                loop.create_connection, local_addr=(self._source, 0)
            )

    def _read(self) -> None:
        lines = [""]
        if self._path.exists():
            lines = self._path.read_text().splitlines() or lines
        self._kind, self._addresses = lines[0], set(lines[1:])

    def _is_cut(self, connection: transport.Connection) -> bool:
        name = connection._transport.get_extra_info("peername")
        return name is not None and f"{name[0]}:{name[1]}" in self._addresses

    def _hangs(self, connection: transport.Connection) -> bool:
        return self._kind == HANG and self._is_cut(connection)

    async def _poll(self) -> None:
        """Ends the connections that a cut ends."""
        since: float | None = None
        while True:
            await asyncio.sleep(POLL_S)
            self._read()
            now = asyncio.get_running_loop().time()
            since = (since or now) if self._kind else None
            is_due = self._kind == RESET or (
                self._kind == HANG and now - (since or now) > DEAD_PEER_S
            )
            for connection in list(self._connections):
                if is_due and self._is_cut(connection):
                    connection.fail(httpx.ReadError("the link is cut"))
                elif not self._hangs(connection):
                    self._deliver(connection)

    def _deliver(self, connection: transport.Connection) -> None:
        """Delivers what was under way when the link hung."""
        for data in self._held_sends.pop(connection, []):
            if connection.is_open:
                connection._transport.write(data)
        for data in self._held_data.pop(connection, []):
            if connection.is_open:
                connection.data_received(data)


if __name__ == "__main__":
    Cut(
        pathlib.Path(os.environ[FILE_VARIABLE]),
        os.environ.get(SOURCE_VARIABLE, ""),
    ).install()
    program.main()
