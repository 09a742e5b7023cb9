"""The command lines of all programs."""

import os
import sys
from collections.abc import Callable
from typing import Annotated, Any

# libuv is told before it is loaded; io_uring is not allowed on our VMs.
os.environ["UV_USE_IO_URING"] = "0"

import anyio
import attrs
import cappa

from rhubarbwinch import ctl, etcdstore, events, tracing
from rhubarbwinch.broker import Broker
from rhubarbwinch.config import (
    BrokerSettings,
    ControlSettings,
    EntrySettings,
    Settings,
)
from rhubarbwinch.control import Control
from rhubarbwinch.ctl import ExitStatus, Output
from rhubarbwinch.entry import Entry
from rhubarbwinch.exceptions import (
    ConflictError,
    RecordError,
    RestartLimitError,
    StoreError,
)
from rhubarbwinch.version import VERSION


def _run_daemon(
    name: str, kind: type[Any], build: Callable[[Any], Any]
) -> None:
    """Parses the settings, runs a daemon and exits with its status."""
    command = cappa.command(kind, name=name)
    settings: Settings = cappa.parse(command, version=VERSION, completion=False)
    events.configure(settings.log_format, settings.log_level, settings.name)

    tracing.configure(settings.traces, settings.name)

    async def run() -> None:
        await build(settings).run()

    try:
        anyio.run(run, backend_options={"use_uvloop": True})
    except RestartLimitError as error:
        events.RESTART_LIMIT.log(error=str(error))
        sys.exit(ExitStatus.FAILED)
    finally:
        tracing.close()


def entry_main() -> None:
    """Runs `rhubarbwinch-entry`."""
    _run_daemon("rhubarbwinch-entry", EntrySettings, Entry)


def broker_main() -> None:
    """Runs `rhubarbwinch-broker`."""
    _run_daemon("rhubarbwinch-broker", BrokerSettings, Broker)


def control_main() -> None:
    """Runs `rhubarbwinch-control`."""
    _run_daemon("rhubarbwinch-control", ControlSettings, Control)


@cappa.command(name="validate", help="Check record files.")
@attrs.define
class Validate:
    """Checks record files."""

    files: Annotated[list[str], cappa.Arg(help="TOML or JSON files")]


@cappa.command(name="apply", help="Write record files to the store.")
@attrs.define
class Apply:
    """Writes record files to the store."""

    files: Annotated[list[str], cappa.Arg(help="TOML or JSON files")]


@cappa.command(name="list", help="List records.")
@attrs.define
class ListRecords:
    """Lists records."""

    kind: Annotated[str, cappa.Arg(help="Only this kind")] = ""


@cappa.command(name="status", help="Show members and the generation.")
@attrs.define
class ShowStatus:
    """Shows members and the generation."""


@attrs.define(kw_only=True)
class Ctl:
    """The operators' command line."""

    command: cappa.Subcommands[Validate | Apply | ListRecords | ShowStatus]
    store: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("RHUBARBWINCH_STORE", default="127.0.0.1:2379"),
            help="Address of the store",
        ),
    ] = "127.0.0.1:2379"
    output: Annotated[Output, cappa.Arg(long=True, help="table or json")] = (
        Output.TABLE
    )


def ctl_main() -> None:
    """Runs `rhubarbwinchctl`."""
    options = cappa.parse(
        cappa.command(Ctl, name="rhubarbwinchctl"),
        version=VERSION,
        completion=False,
    )
    try:
        anyio.run(_run_ctl, options)
    except RecordError as error:
        _fail(error, ExitStatus.INVALID)
    except ConflictError as error:
        _fail(error, ExitStatus.CONFLICT)
    except StoreError as error:
        _fail(error, ExitStatus.STORE)


def _fail(error: Exception, status: ExitStatus) -> None:
    sys.stderr.write(f"rhubarbwinchctl: {error}\n")
    sys.exit(status)


async def _run_ctl(options: Ctl) -> None:
    store = etcdstore.EtcdStore(options.store, 2000)
    try:
        match options.command:
            case Validate(files):
                found = ctl.read_records(files)
                ctl.print_rows(_rows(found), options.output)
            case Apply(files):
                found = await ctl.apply(store, ctl.read_records(files))
                ctl.print_rows(_rows(found), options.output)
            case ListRecords(kind):
                found = await ctl.list_records(store, kind)
                ctl.print_rows(_rows(found), options.output)
            case ShowStatus():
                status = await ctl.read_status(store)
                rows = [attrs.asdict(m) for m in status.members]
                rows = [row | {"accepted": status.generation} for row in rows]
                ctl.print_rows(rows, options.output)
    finally:
        await store.close()


def _rows(found: list[Any]) -> list[dict[str, Any]]:
    return [{"kind": r.kind, "name": r.name, "schema": r.schema} for r in found]
