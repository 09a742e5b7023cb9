"""The operators' command line, `rhubarbwinchctl`."""

import enum
import sys
from typing import Annotated, Any

import anyio
import attrs
import cappa

from rhubarbwinch import audit, ctl, etcdstore, options, secretkeys
from rhubarbwinch import settingtypes as types
from rhubarbwinch.ctl import ExitStatus, Output
from rhubarbwinch.exceptions import (
    ConflictError,
    RecordError,
    SettingError,
    StoreError,
)
from rhubarbwinch.records import Record
from rhubarbwinch.secretkeys import ApiKey
from rhubarbwinch.store import Store

CTL_HELP = (
    "Drives a deployment by its records. Exit status: 0 done, 1 failed, 2 bad "
    "usage, 3 a record is not valid, 4 another operator was first, 5 the store "
    "failed. docs/ctl.md has every command."
)


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

    kind: Annotated[str, cappa.Arg(default="", help="Only this kind")] = ""


@cappa.command(name="keys", help="Make a key pair for links.")
@attrs.define
class MakeLinkKeys:
    """Makes a key pair for links."""


@cappa.command(name="hash-key", help="Make an API key and its salted hash.")
@attrs.define
class HashKey:
    """Makes an API key and its salted hash."""

    account: Annotated[str, cappa.Arg(help="The client account")]


@cappa.command(name="add-key", help="Make an API key and add it to an account.")
@attrs.define
class AddKey:
    """Makes an API key and adds its hash to an account's record."""

    account: Annotated[str, cappa.Arg(help="The client account")]


@cappa.command(name="status", help="Show members and the generation.")
@attrs.define
class ShowStatus:
    """Shows members and the generation."""


class Listed(enum.StrEnum):
    """What the audit lists."""

    CALLS = "calls"
    TOKENS = "tokens"


@cappa.command(name="audit", help="List the paid actions of a period.")
@attrs.define
class Audit:
    """Lists the paid actions of a period."""

    listed: Annotated[Listed, cappa.Arg(help="calls or tokens")]
    start: Annotated[
        str, cappa.Arg(long="--from", help="Whole hour, UTC: 2026-12-03T14")
    ]
    end: Annotated[
        str, cappa.Arg(long="--to", help="Whole hour, not in the period")
    ]


@attrs.define(kw_only=True)
class Ctl:
    """The operators' command line."""

    command: cappa.Subcommands[
        Validate
        | Apply
        | ListRecords
        | MakeLinkKeys
        | HashKey
        | AddKey
        | ShowStatus
        | Audit
    ]
    store: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env("RHUBARBWINCH_STORE", default=ctl.DEFAULT_STORE),
            parse=types.address,
            help="Address of the store [RHUBARBWINCH_STORE]",
        ),
    ] = ctl.DEFAULT_STORE
    output: Annotated[
        Output,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env("RHUBARBWINCH_OUTPUT", default=Output.TABLE),
            parse=types.ValueType(", ".join(Output), Output),
            help="Form of the results [RHUBARBWINCH_OUTPUT]",
        ),
    ] = Output.TABLE


def main() -> None:
    """Runs `rhubarbwinchctl`."""
    command = options.parse(Ctl, "rhubarbwinchctl", CTL_HELP)
    try:
        anyio.run(_run_ctl, command)
    except RecordError as error:
        _fail(error, ExitStatus.INVALID)
    except ConflictError as error:
        _fail(error, ExitStatus.CONFLICT)
    except SettingError as error:
        _fail(error, ExitStatus.USAGE)
    except StoreError as error:
        _fail(StoreError(f"store {command.store}: {error}"), ExitStatus.STORE)


def _fail(error: Exception, status: ExitStatus) -> None:
    sys.stderr.write(f"rhubarbwinchctl: {error}\n")
    sys.exit(status)


async def _run_ctl(command: Ctl) -> None:
    store = etcdstore.EtcdStore(command.store, 2000)
    try:
        match command.command:
            case Validate(files):
                found = ctl.read_records(files)
                _check(found, command.output)
                ctl.print_rows(_rows(found), command.output)
            case MakeLinkKeys():
                ctl.print_rows(_link_key_rows(), command.output)
            case HashKey(account):
                made = secretkeys.make_api_key(account)
                ctl.print_rows([_api_key_row(made)], command.output)
            case AddKey(account):
                made = await ctl.add_key(store, account)
                ctl.print_rows([_api_key_row(made)], command.output)
            case Apply(files):
                found = await ctl.apply(store, ctl.read_records(files))
                ctl.print_rows(_rows(found), command.output)
            case ListRecords(kind):
                found = await ctl.list_records(store, kind)
                ctl.print_rows(_rows(found), command.output)
            case ShowStatus():
                status = await ctl.read_status(store)
                rows = [attrs.asdict(m) for m in status.members]
                rows = [row | {"accepted": status.generation} for row in rows]
                ctl.print_rows(rows, command.output)
            case Audit(listed, start, end):
                rows = await _audit(store, listed, start, end)
                ctl.print_rows(rows, command.output)
    finally:
        await store.close()


def _check(items: list[Record], output: Output) -> None:
    """Prints every fault and exits, if there is one."""
    found = ctl.check_records(items)
    if not found:
        return
    if output is Output.JSON:
        rows = [
            {
                "record": error.record,
                "field": error.field,
                "value": error.value,
                "allowed": error.allowed,
            }
            for error in found
        ]
        ctl.print_rows(rows, output)
    for error in found:
        sys.stderr.write(f"rhubarbwinchctl: {error}\n")
    sys.exit(ExitStatus.INVALID)


def _link_key_rows() -> list[dict[str, Any]]:
    pair = secretkeys.make_link_keys()
    return [
        {"variable": "RHUBARBWINCH_LINK_PUBLIC_KEY", "value": pair.public},
        {"variable": "RHUBARBWINCH_LINK_SECRET_KEY", "value": pair.secret},
    ]


def _api_key_row(made: ApiKey) -> dict[str, Any]:
    """Returns a new key as a row; it is shown this once."""
    return {
        "account": made.account,
        "api_key": made.secret,
        "salt": made.hashed.salt,
        "digest": made.hashed.digest,
    }


async def _audit(
    store: Store, listed: Listed, start: str, end: str
) -> list[dict[str, Any]]:
    period = audit.parse_period(start, end)
    if listed is Listed.CALLS:
        return [attrs.asdict(c) for c in await audit.list_calls(store, period)]
    return [attrs.asdict(t) for t in await audit.list_tokens(store, period)]


def _rows(found: list[Any]) -> list[dict[str, Any]]:
    return [{"kind": r.kind, "name": r.name, "schema": r.schema} for r in found]
