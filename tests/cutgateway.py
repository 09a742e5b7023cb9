"""A gateway process whose links to endpoints a test cuts by a file.

The first line of the file is the kind of the cut, the others are the addresses
that are cut off. Run as `python -m tests.cutgateway gateway ...`.
"""

import asyncio
import os
import pathlib
import weakref

import httpx

from rhubarbwinch import __main__ as program
from rhubarbwinch.http import transport

FILE_VARIABLE = "TEST_CUT_FILE"
REFUSE, RESET, HANG = "refuse", "reset", "hang"
# Open connections live on with `refuse`.
KINDS = (REFUSE, RESET, HANG)
POLL_S = 0.02
# After this time the operating system closes a connection that hangs.
DEAD_PEER_S = 2.0


class Cut:
    """The current cut, and what it does to connections.

    Args:
        path: The file; without it no link is cut.
    """

    def __init__(self, path):
        self._path = path
        self._connections = weakref.WeakSet()
        self._poller = None
        self.kind = ""
        self._addresses = set()

    def install(self):
        """Replaces the functions of the transport that use the network."""
        connect = transport._connect
        send = transport.Connection._send
        receive = transport.Connection.data_received

        async def cut_connect(host, port, timeout_s, options):
            await self._check(f"{host}:{port}", timeout_s)
            connection = await connect(host, port, timeout_s, options)
            self._connections.add(connection)
            return connection

        async def cut_send(connection, data):
            if self._hangs(connection):
                connection.has_sent = True
                return
            await send(connection, data)

        def cut_receive(connection, data):
            if not self._hangs(connection):
                receive(connection, data)

        transport._connect = cut_connect
        transport.Connection._send = cut_send
        transport.Connection.data_received = cut_receive

    async def _check(self, address, timeout_s):
        if self._poller is None:
            self._poller = asyncio.ensure_future(self._poll())
        self._read()
        if address not in self._addresses:
            return
        if self.kind == HANG:
            await asyncio.sleep(timeout_s or DEAD_PEER_S)
            raise httpx.ConnectTimeout(address)
        raise httpx.ConnectError(address)

    def _read(self):
        lines = [""]
        if self._path.exists():
            lines = self._path.read_text().splitlines() or lines
        self.kind, self._addresses = lines[0], set(lines[1:])

    def _is_cut(self, connection):
        name = connection._transport.get_extra_info("peername")
        return name is not None and f"{name[0]}:{name[1]}" in self._addresses

    def _hangs(self, connection):
        return self.kind == HANG and self._is_cut(connection)

    async def _poll(self):
        """Ends the connections that a cut ends."""
        since = None
        while True:
            await asyncio.sleep(POLL_S)
            self._read()
            now = asyncio.get_running_loop().time()
            since = (since or now) if self.kind else None
            is_due = self.kind == RESET or (
                self.kind == HANG and now - since > DEAD_PEER_S
            )
            for connection in list(self._connections):
                if is_due and self._is_cut(connection):
                    connection.fail(httpx.ReadError("the link is cut"))


if __name__ == "__main__":
    Cut(pathlib.Path(os.environ[FILE_VARIABLE])).install()
    program.main()
