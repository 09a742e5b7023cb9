"""Serves HTTP and shuts down without dropping a request.

hypercorn's own server closes idle connections first and its listeners after
them, so a connection accepted in between is closed with its request unread.
This server closes the listeners first and serves the connections that they have
accepted.
"""

import asyncio

import anyio
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework
from hypercorn.utils import wrap_app

ACCEPT_LINGER_S = 0.5
FINISH_TIMEOUT_S = 2.0


class HttpServer:
    """One HTTP interface.

    Args:
        app: The application.
        config: hypercorn's settings.
    """

    def __init__(self, app: ASGIFramework, config: Config) -> None:
        self._app = wrap_app(app, config.wsgi_max_body_size, "asgi")
        self._config = config
        self._context = WorkerContext(None)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, closing: anyio.Event) -> None:
        """Serves until `closing` is set, then finishes the open requests.

        Connections accepted last have `ACCEPT_LINGER_S` to send their requests.
        Open requests have `FINISH_TIMEOUT_S` to finish.
        """
        sockets = self._config.create_sockets()
        ssl_context = self._config.create_ssl_context()
        servers = [
            await asyncio.start_server(
                self._serve, sock=sock, backlog=self._config.backlog
            )
            for sock in sockets.insecure_sockets
        ]
        servers += [
            await asyncio.start_server(
                self._serve,
                sock=sock,
                backlog=self._config.backlog,
                ssl=ssl_context,
                ssl_handshake_timeout=self._config.ssl_handshake_timeout,
            )
            for sock in sockets.secure_sockets
        ]
        try:
            await closing.wait()
        finally:
            for server in servers:
                server.close()
        await anyio.sleep(ACCEPT_LINGER_S)
        await self._context.terminated.set()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=FINISH_TIMEOUT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        loop = asyncio.get_running_loop()
        await TCPServer(
            self._app, loop, self._config, self._context, {}, reader, writer
        )
