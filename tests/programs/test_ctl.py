"""Tests of the operators' command line, in process and as a process."""

import contextlib
import io
import json
import pathlib
import re
import subprocess
import sys
import tempfile
import typing
import unittest

from rhubarbwinch.programs import ctl, ctlcommands
from rhubarbwinch.programs.ctl import Output
from rhubarbwinch.records import secretkeys
from rhubarbwinch.records.apikeys import matches_hash
from rhubarbwinch.records.records import Record, check
from rhubarbwinch.shared.clock import ManualClock
from rhubarbwinch.shared.exceptions import ConflictError, RecordError
from rhubarbwinch.shared.exitstatus import ExitStatus
from rhubarbwinch.stores import keys
from rhubarbwinch.stores.memstore import MemoryStore
from tests import builders
from tests.helpers import ROOT, asynchronous, free_address


class RacingStore(MemoryStore):
    """A store in which another operator writes right before each swap."""

    async def swap(self, key, expected, value, lease=0):
        """Writes as the other operator first, so that this swap fails."""
        current = await self.get(key)
        revision = current.revision if current else 0
        await super().swap(key, revision, b"{}")
        return await super().swap(key, expected, value, lease)


class ApplyTest(unittest.TestCase):
    """Writes of records and API keys to the store."""

    def setUp(self):
        self.store = MemoryStore(ManualClock())

    @asynchronous
    async def test_only_changed_records_are_written(self):
        first = [builders.model(), builders.account()]
        self.assertEqual(await ctl.apply(self.store, first), first)
        changed = builders.model(versions=["2"])
        again = await ctl.apply(self.store, [changed, builders.account()])
        self.assertEqual(again, [changed])
        self.assertEqual(await ctl.list_records(self.store, "model"), [changed])

    @asynchronous
    async def test_nothing_is_written_if_one_record_is_not_valid(self):
        bad = builders.model(context_tokens=1)
        with self.assertRaises(RecordError):
            await ctl.apply(self.store, [builders.account(), bad])
        self.assertEqual(await ctl.list_records(self.store), [])

    @asynchronous
    async def test_a_conflict_names_the_winner(self):
        store = RacingStore(ManualClock())
        with self.assertRaises(ConflictError) as caught:
            await ctl.apply(store, [builders.model()])
        winner = await store.get(keys.record("model", "vintner"))
        self.assertEqual(caught.exception.winner_revision, winner.revision)
        self.assertIn(f"revision {winner.revision}", str(caught.exception))

    @asynchronous
    async def test_a_new_key_is_added_as_a_hash_only(self):
        spec = {"key_salt": "00", "key_hash": "ff", "services": ["chat"]}
        await ctl.apply(self.store, [Record("account", "acme", 1, spec)])
        made = await ctl.add_api_key(self.store, "acme")
        entry = await self.store.get(keys.record("account", "acme"))
        self.assertNotIn(made.secret.encode(), entry.value)
        self.assertNotIn(made.secret, repr(made))
        (record,) = await ctl.list_records(self.store)
        old, new = check(record).keys
        self.assertEqual(old.digest, "ff")
        self.assertTrue(matches_hash(made.secret, new))

    @asynchronous
    async def test_no_key_is_added_to_an_unknown_account(self):
        with self.assertRaises(RecordError):
            await ctl.add_api_key(self.store, "nobody")

    def test_link_keys_differ_each_time(self):
        first, second = (secretkeys.make_link_keys() for _ in range(2))
        self.assertNotEqual(first, second)


class PrintTest(unittest.TestCase):
    """The table and JSON formats of results."""

    def test_rows_are_printed_in_both_forms(self):
        rows = [{"kind": "model", "name": "m"}, {"kind": "vm", "name": "10"}]
        printed = {}
        for output in Output:
            stdout = io.StringIO()
            with contextlib.redirect_stdout(stdout):
                ctl.print_rows(rows, output)
            printed[output] = stdout.getvalue()
        table = "kind   name\nmodel  m\nvm     10\n"
        self.assertEqual(printed[Output.TABLE], table)
        self.assertEqual(json.loads(printed[Output.JSON]), rows)


class CommandTest(unittest.TestCase):
    """Exit statuses and messages of the process."""

    def _run(self, *arguments):
        return subprocess.run(
            [sys.executable, "-m", "rhubarbwinch", "ctl", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )

    def test_validate_names_every_fault(self):
        bad = [
            json.loads(builders.model(context_tokens=1).to_bytes()),
            json.loads(builders.account(weight=-1).to_bytes()),
            json.loads(builders.account().to_bytes()),
        ]
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "bad.json"
            path.write_text(json.dumps(bad))
            table = self._run("validate", str(path))
            listed = self._run("--output", "json", "validate", str(path))
            after = self._run("validate", str(path), "--output", "json")
        self.assertEqual(table.returncode, ExitStatus.INVALID)
        self.assertEqual(
            table.stderr.splitlines(),
            [
                "rhubarbwinchctl: record model/vintner: field context_tokens: "
                "1; allowed: 16 to 10000000",
                "rhubarbwinchctl: record account/acme: field weight: -1.0; "
                "allowed: 0.01 to 1000",
                "rhubarbwinchctl: record account/acme: field name: 'acme'; "
                "allowed: given once",
            ],
        )
        self.assertEqual(after.stdout, listed.stdout)
        rows = json.loads(listed.stdout)
        self.assertEqual(
            [row["field"] for row in rows], ["context_tokens", "weight", "name"]
        )

    def test_each_kind_of_failure_has_its_status(self):
        cases = [
            (("nonsense",), ExitStatus.USAGE),
            (("--output", "xml", "list"), ExitStatus.USAGE),
            (("validate", "/no/such/file"), ExitStatus.INVALID),
            (("--store", free_address(), "list"), ExitStatus.STORE),
            (("--version",), ExitStatus.OK),
        ]
        for arguments, status in cases:
            done = self._run(*arguments)
            self.assertEqual(done.returncode, status, done.stderr)
            lines = 0 if status is ExitStatus.OK else 1
            self.assertEqual(len(done.stderr.splitlines()), lines, done.stderr)


class PageTest(unittest.TestCase):
    """The commands and statuses that docs/ctl.md lists."""

    def test_each_command_and_exit_status_is_on_the_page(self):
        text = (ROOT / "docs" / "ctl.md").read_text()
        kinds = typing.get_type_hints(ctlcommands.Ctl)["command"]
        names = {kind.__cappa__.name for kind in typing.get_args(kinds)}
        listed = set(re.findall(r"^\| `([\w-]+)", text, re.M))
        self.assertEqual(listed, names)
        statuses = {int(n) for n in re.findall(r"^\| (\d) \|", text, re.M)}
        self.assertEqual(statuses, set(ExitStatus))
