"""Operations of the operators' command line on records."""

import enum
import sys
import tomllib
from pathlib import Path
from typing import Any

import orjson

from rhubarbwinch.records import records, secretkeys
from rhubarbwinch.records.records import Record
from rhubarbwinch.records.secretkeys import ApiKey
from rhubarbwinch.shared.exceptions import (
    ConflictError,
    RecordError,
    StoreUncertain,
)
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.store import Store

DEFAULT_STORE = "127.0.0.1:2379"


class Output(enum.StrEnum):
    """The formats of printed results."""

    TABLE = "table"
    JSON = "json"


def read_records(paths: list[str]) -> list[Record]:
    """Returns the records in TOML or JSON files.

    A TOML file holds `[[record]]` tables; a JSON file a list of records.

    Raises:
        RecordError: A file or record is not valid.
    """
    parsed = []
    for path in paths:
        try:
            data = Path(path).read_bytes()
            if path.endswith(".json"):
                items = orjson.loads(data)
            else:
                items = tomllib.loads(data.decode()).get("record", [])
        except (OSError, ValueError) as error:
            raise RecordError(
                path, "-", str(error), "a readable file"
            ) from None
        parsed += [records.parse(item, path) for item in items]
    return parsed


def check_records(items: list[Record]) -> list[RecordError]:
    """Returns every error in the records, including duplicate names."""
    record_errors: list[RecordError] = []
    seen: set[str] = set()
    for record in items:
        record_errors += records.errors(record)
        if record.key in seen:
            error = RecordError(record.key, "name", record.name, "given once")
            record_errors.append(error)
        seen.add(record.key)
    return record_errors


async def apply(store: Store, items: list[Record]) -> list[Record]:
    """Writes the records that have changed.

    Returns:
        The records that were written.

    Raises:
        RecordError: A record is not valid; nothing was written.
        ConflictError: Another operator changed a record meanwhile.
    """
    for error in check_records(items):
        raise error
    changed = []
    for record in items:
        key = keys.record(record.kind, record.name)
        current = await store.get(key)
        if current is not None and current.value == record.to_bytes():
            continue
        expected = current.revision if current else 0
        await write_record(store, record, expected)
        changed.append(record)
    return changed


async def write_record(store: Store, record: Record, expected: int) -> None:
    """Writes a record if its revision is `expected`; 0 means no record.

    Raises:
        ConflictError: Another operator changed the record meanwhile.
        StoreError: The store failed.
    """
    key = keys.record(record.kind, record.name)
    value = record.to_bytes()
    try:
        swap = await store.swap(key, expected, value)
    except StoreUncertain:
        # The write may have taken effect; the current value shows whether.
        current = await store.get(key)
        if current is None or current.value != value:
            raise
        return
    if not swap.succeeded:
        raise ConflictError(record.key, swap.revision)


async def add_api_key(store: Store, account: str) -> ApiKey:
    """Creates an API key and adds its hash to an account's record.

    Raises:
        RecordError: The account has no record.
        ConflictError: Another operator changed the record meanwhile.
    """
    key = keys.record("account", account)
    current = await store.get(key)
    if current is None:
        raise RecordError(f"account/{account}", "name", account, "an account")
    api_key = secretkeys.make_api_key(account)
    record = secretkeys.add_api_key(
        records.parse(current.value), api_key.key_hash
    )
    swap = await store.swap(key, current.revision, record.to_bytes())
    if not swap.succeeded:
        raise ConflictError(record.key, swap.revision)
    return api_key


async def list_records(store: Store, kind: str = "") -> list[Record]:
    """Returns the records of a kind; all records if `kind` is empty."""
    prefix = keys.RECORDS + (f"{kind}/" if kind else "")
    listing = await store.scan(prefix)
    return [records.parse(entry.value, entry.key) for entry in listing.entries]


def print_rows(rows: list[dict[str, Any]], output: Output) -> None:
    """Prints rows as a text table or as JSON."""
    if output is Output.JSON:
        sys.stdout.write(orjson.dumps(rows).decode() + "\n")
        return
    if not rows:
        return
    names = list(rows[0])
    table = [names] + [[str(row[name]) for name in names] for row in rows]
    widths = [max(len(line[i]) for line in table) for i in range(len(names))]
    for line in table:
        cells = zip(line, widths, strict=True)
        text = "  ".join(cell.ljust(width) for cell, width in cells)
        sys.stdout.write(text.rstrip() + "\n")
