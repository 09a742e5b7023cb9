"""Command lines of the entry, broker and control daemons."""

import sys
from collections.abc import Callable
from typing import Any

import anyio

from rhubarbwinch.programs import options
from rhubarbwinch.programs.broker import Broker
from rhubarbwinch.programs.config import (
    BrokerSettings,
    ControlSettings,
    EntrySettings,
    Settings,
)
from rhubarbwinch.programs.control import Control
from rhubarbwinch.programs.entry import Entry
from rhubarbwinch.shared import events, tracing
from rhubarbwinch.shared.eventloop import check_no_io_uring
from rhubarbwinch.shared.exceptions import RestartLimitError
from rhubarbwinch.shared.exitstatus import ExitStatus

_SETTINGS_HELP = (
    " Each setting is a flag and an environment variable; the flag wins. Give "
    "secrets by the environment. Exit status: 0 stopped on request, 1 failed, "
    "2 invalid setting. docs/settings.md has every setting."
)
ENTRY_HELP = "Serves callers over HTTP." + _SETTINGS_HELP
BROKER_HELP = "Grants permits for the pools that it owns." + _SETTINGS_HELP
CONTROL_HELP = "Accepts operators' records." + _SETTINGS_HELP


def _run_daemon(
    name: str, kind: type[Any], build: Callable[[Any], Any], text: str
) -> None:
    """Parses the settings, runs a daemon and exits with its status."""
    settings: Settings = options.parse_settings(kind, name, text)
    events.configure(settings.log_format, settings.log_level, settings.name)
    tracing.configure(settings.traces, settings.name, settings.trace_percent)

    async def run() -> None:
        check_no_io_uring()
        await build(settings).run()

    try:
        # asyncio's own event loop: uvloop opens an io_uring regardless of
        # UV_USE_IO_URING.
        anyio.run(run)
    except RestartLimitError as error:
        events.RESTART_LIMIT.log(error=str(error))
        sys.exit(ExitStatus.FAILED)
    except Exception as error:
        events.FATAL.log(error=repr(error))
        sys.exit(ExitStatus.FAILED)
    finally:
        tracing.close()


def entry_main() -> None:
    """Runs `rhubarbwinch-entry`."""
    _run_daemon("rhubarbwinch-entry", EntrySettings, Entry, ENTRY_HELP)


def broker_main() -> None:
    """Runs `rhubarbwinch-broker`."""
    _run_daemon("rhubarbwinch-broker", BrokerSettings, Broker, BROKER_HELP)


def control_main() -> None:
    """Runs `rhubarbwinch-control`."""
    _run_daemon("rhubarbwinch-control", ControlSettings, Control, CONTROL_HELP)
