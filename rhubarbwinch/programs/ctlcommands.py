"""The operators' command line, `rhubarbwinchctl`."""

import enum
import sys
from typing import Annotated, Any

import anyio
import attrs
import cappa

from rhubarbwinch.claims import audit
from rhubarbwinch.programs import ctl, fleetstatus, options
from rhubarbwinch.programs.ctl import Output
from rhubarbwinch.programs.fleetstatus import FleetStatus, RecordState
from rhubarbwinch.records import secretkeys
from rhubarbwinch.records.records import Record
from rhubarbwinch.records.secretkeys import ApiKey
from rhubarbwinch.shared import settingtypes as types
from rhubarbwinch.shared.exceptions import (
    ConflictError,
    RecordError,
    SettingError,
    StoreError,
)
from rhubarbwinch.shared.exitstatus import ExitStatus
from rhubarbwinch.stores import etcdstore
from rhubarbwinch.stores.store import Store

CTL_HELP = (
    "Manages a deployment through its records. Exit status: 0 done, 1 failed, "
    "2 wrong usage, 3 a record is not valid, 4 another operator changed a "
    "record first, 5 the store failed. docs/ctl.md has every command."
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


@cappa.command(name="get", help="Show a record and whether it is in force.")
@attrs.define
class GetRecord:
    """Shows a record and whether it is active."""

    record: Annotated[str, cappa.Arg(help="kind/name")]


class StatusOf(enum.StrEnum):
    """The lists that the status command prints."""

    MEMBERS = "members"
    POOLS = "pools"
    VMS = "vms"


@cappa.command(name="status", help="Show members, pools or leaving VMs.")
@attrs.define
class ShowStatus:
    """Shows members, pools or leaving VMs, and the generation."""

    listed: Annotated[StatusOf, cappa.Arg(help="members, pools or vms")] = (
        StatusOf.MEMBERS
    )


@cappa.command(name="drain", help="Mark a VM as leaving.")
@attrs.define
class DrainVm:
    """Marks a VM as leaving, or as no longer leaving."""

    vm: Annotated[str, cappa.Arg(help="The VM's IP number")]
    undo: Annotated[bool, cappa.Arg(long=True, help="Remove the mark")] = False


class Listed(enum.StrEnum):
    """The lists that the audit command prints."""

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
        str, cappa.Arg(long="--to", help="Whole hour, UTC; excluded")
    ]


@attrs.define(kw_only=True)
class Ctl:
    """The operators' command line."""

    command: cappa.Subcommands[
        Validate
        | Apply
        | ListRecords
        | GetRecord
        | MakeLinkKeys
        | HashKey
        | AddKey
        | ShowStatus
        | DrainVm
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
            help="Format of the results [RHUBARBWINCH_OUTPUT]",
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
                items = ctl.read_records(files)
                _exit_on_errors(items, command.output)
                ctl.print_rows(_record_rows(items), command.output)
            case MakeLinkKeys():
                ctl.print_rows(_link_key_rows(), command.output)
            case HashKey(account):
                api_key = secretkeys.make_api_key(account)
                ctl.print_rows([_api_key_row(api_key)], command.output)
            case AddKey(account):
                api_key = await ctl.add_api_key(store, account)
                ctl.print_rows([_api_key_row(api_key)], command.output)
            case Apply(files):
                items = await ctl.apply(store, ctl.read_records(files))
                ctl.print_rows(_record_rows(items), command.output)
            case ListRecords(kind):
                items = await ctl.list_records(store, kind)
                ctl.print_rows(_record_rows(items), command.output)
            case GetRecord(key):
                state = await fleetstatus.get_record(store, key)
                ctl.print_rows([_record_row(state)], command.output)
            case ShowStatus(wanted):
                rows = _status_rows(
                    await fleetstatus.read_status(store), wanted
                )
                ctl.print_rows(rows, command.output)
            case DrainVm(vm, undo):
                await fleetstatus.set_leaving(store, vm, not undo)
                ctl.print_rows(
                    [{"vm": vm, "leaving": not undo}], command.output
                )
            case Audit(listed, start, end):
                rows = await _audit(store, listed, start, end)
                ctl.print_rows(rows, command.output)
    finally:
        await store.close()


def _exit_on_errors(items: list[Record], output: Output) -> None:
    """Prints every error in the records and exits if there is any."""
    errors = ctl.check_records(items)
    if not errors:
        return
    if output is Output.JSON:
        rows = [
            {
                "record": error.record,
                "field": error.field,
                "value": error.value,
                "allowed": error.allowed,
            }
            for error in errors
        ]
        ctl.print_rows(rows, output)
    for error in errors:
        sys.stderr.write(f"rhubarbwinchctl: {error}\n")
    sys.exit(ExitStatus.INVALID)


def _link_key_rows() -> list[dict[str, Any]]:
    pair = secretkeys.make_link_keys()
    return [
        {"variable": "RHUBARBWINCH_LINK_PUBLIC_KEY", "value": pair.public},
        {"variable": "RHUBARBWINCH_LINK_SECRET_KEY", "value": pair.secret},
    ]


def _api_key_row(api_key: ApiKey) -> dict[str, Any]:
    """Returns a new key as a row; the secret can't be shown again."""
    return {
        "account": api_key.account,
        "api_key": api_key.secret,
        "salt": api_key.key_hash.salt,
        "digest": api_key.key_hash.digest,
    }


async def _audit(
    store: Store, listed: Listed, start: str, end: str
) -> list[dict[str, Any]]:
    period = audit.parse_period(start, end)
    if listed is Listed.CALLS:
        return [attrs.asdict(c) for c in await audit.list_calls(store, period)]
    return [attrs.asdict(t) for t in await audit.list_tokens(store, period)]


def _record_rows(items: list[Any]) -> list[dict[str, Any]]:
    return [{"kind": r.kind, "name": r.name, "schema": r.schema} for r in items]


def _record_row(state: RecordState) -> dict[str, Any]:
    record = state.record
    return {
        "kind": record.kind,
        "name": record.name,
        "schema": record.schema,
        "revision": state.revision,
        "state": state.state,
        "error": state.error,
        "spec": record.spec,
    }


def _status_rows(status: FleetStatus, wanted: StatusOf) -> list[dict[str, Any]]:
    """Returns the rows of one list; each has the accepted generation."""
    accepted = {"accepted": status.generation}
    match wanted:
        case StatusOf.MEMBERS:
            return [
                attrs.asdict(member_status.member)
                | {"in_force": member_status.generation}
                | accepted
                for member_status in status.members
            ]
        case StatusOf.POOLS:
            return [attrs.asdict(pool) | accepted for pool in status.pools]
        case StatusOf.VMS:
            return [{"vm": vm} | accepted for vm in status.leaving_vms]
