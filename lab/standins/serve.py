"""Runs the HTTP interface of a stand-in as a process."""

import argparse

import anyio
import hypercorn.asyncio
from hypercorn.config import Config

from rhubarbwinch.http.httpapi import App

MAX_BODY_BYTES = 16 << 20


def make_parser(description: str) -> argparse.ArgumentParser:
    """Returns a parser with the options of all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--listen", required=True, help="a.b.c.d:port")
    return parser


async def serve(app: App, address: str) -> None:
    """Serves until cancelled."""
    config = Config()
    config.bind = [address]
    config.errorlog = None
    config.graceful_timeout = 0.1
    await hypercorn.asyncio.serve(
        app, config, shutdown_trigger=anyio.sleep_forever
    )
