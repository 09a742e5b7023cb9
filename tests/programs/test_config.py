"""Tests of settings from flags and environment variables."""

import contextlib
import io
import os
import unittest
from unittest import mock

import zmq

from rhubarbwinch.programs import options
from rhubarbwinch.programs.config import BrokerSettings, EntrySettings
from rhubarbwinch.shared.events import LogFormat

REQUIRED = {
    "RHUBARBWINCH_NAME": "entry-1",
    "RHUBARBWINCH_LINK": "127.0.0.1:7001",
    "RHUBARBWINCH_HTTP": "127.0.0.1:8001",
    "RHUBARBWINCH_STORE": "127.0.0.1:2379",
}


def _parse(*flags, kind=EntrySettings, without="", **variables):
    """Parses flags and variables; `variables` are named without a prefix."""
    named = {f"RHUBARBWINCH_{k.upper()}": v for k, v in variables.items()}
    environment = REQUIRED | named
    environment.pop(without, None)
    with mock.patch.dict(os.environ, environment):
        for name in set(os.environ) - set(environment):
            if name.startswith("RHUBARBWINCH_"):
                del os.environ[name]
        if without:
            os.environ.pop(without, None)
        return options.parse_settings(kind, "entry", "Serves. More.", flags)


def _refusal(*flags, **variables):
    """Returns the exit status and the lines on stderr."""
    stderr = io.StringIO()
    with contextlib.redirect_stderr(stderr):
        try:
            _parse(*flags, **variables)
        except SystemExit as error:
            return error.code, stderr.getvalue().splitlines()
    return 0, []


class SettingsTest(unittest.TestCase):
    """Values that are accepted and values that are rejected."""

    def test_defaults_hold_without_flags(self):
        settings = _parse()
        self.assertEqual(settings.lease_ms, 5000)
        self.assertIs(settings.log_format, LogFormat.TEXT)
        self.assertEqual(settings.peers, [])
        self.assertIsNone(settings.tls)
        self.assertIsNone(settings.link_keys)

    def test_a_flag_overrides_an_environment_variable(self):
        self.assertEqual(_parse(lease_ms="7000").lease_ms, 7000)
        settings = _parse("--lease-ms", "8000", lease_ms="7000")
        self.assertEqual(settings.lease_ms, 8000)

    def test_lists_are_split_at_commas(self):
        settings = _parse("--peers", "10.0.0.1:1,10.0.0.2:2")
        self.assertEqual(settings.peers, ["10.0.0.1:1", "10.0.0.2:2"])

    def test_each_bad_value_is_one_line_with_name_value_and_allowed(self):
        number = "a whole number from 1000 to 600000"
        cases = [
            ("lease-ms", "5", number),
            ("lease-ms", "many", number),
            ("lease-ms", "-5", number),
            ("lease-ms", "9" * 400, number),
            ("link", "localhost:1", "IP number:port"),
            ("link", "127.0.0.1:70000", "IP number:port"),
            ("peers", "1.2.3.4", "IP number:port, with commas between"),
            ("statsd", "x", "IP number:port, or empty"),
            ("name", "two words", "letters, digits, dots and dashes"),
            ("log-format", "xml", "text, json"),
            ("log-level", "loud", "debug, info, warning, error"),
            ("store-kind", "none", "etcd"),
            ("traces", "ftp://x", "log, an http or https URL, or empty"),
            ("certfile", "/no/file", "the path of a file, or empty"),
        ]
        for name, value, allowed in cases:
            variable = "RHUBARBWINCH_" + name.upper().replace("-", "_")
            start = f"setting --{name} ({variable}): {value!r}; allowed: "
            status, lines = _refusal(f"--{name}={value}")
            self.assertEqual((status, len(lines)), (2, 1), lines)
            self.assertTrue(lines[0].startswith(start), lines)
            self.assertIn(allowed, lines[0])
            by_variable = _refusal(**{name.replace("-", "_"): value})
            self.assertEqual(by_variable, (status, lines))

    def test_an_empty_value_is_refused_for_a_number(self):
        for refusal in (_refusal("--lease-ms="), _refusal(lease_ms="")):
            status, lines = refusal
            self.assertEqual((status, len(lines)), (2, 1))
            self.assertIn("allowed: a whole number from 1000", lines[0])

    def test_each_missing_required_setting_is_named(self):
        for variable in REQUIRED:
            name = variable.removeprefix("RHUBARBWINCH_").lower()
            status, lines = _refusal(without=variable)
            self.assertEqual((status, len(lines)), (2, 1))
            start = f"setting --{name} ({variable}): missing; allowed: "
            self.assertTrue(lines[0].startswith(start), lines)

    def test_unknown_flags_and_variables_are_refused(self):
        self.assertEqual(
            _refusal("--nosuch", "1")[1][0].partition(";")[0],
            "setting --nosuch: unknown",
        )
        status, lines = _refusal(leese_ms="1")
        self.assertEqual(status, 2)
        self.assertIn("RHUBARBWINCH_LEESE_MS", lines[0])

    def test_files_for_tls_come_in_pairs(self):
        status, lines = _refusal("--certfile", __file__)
        self.assertEqual((status, len(lines)), (2, 1))
        self.assertIn("--keyfile", lines[0])

    def test_link_keys_must_be_a_matching_pair(self):
        public, secret = (key.decode() for key in zmq.curve_keypair())
        other = zmq.curve_keypair()[0].decode()
        pair = {"link_public_key": public, "link_secret_key": secret}
        self.assertEqual(_parse(**pair).link_keys.public, public)
        for bad in ({"link_public_key": other}, {"link_secret_key": ""}):
            status, lines = _refusal(**(pair | bad))
            self.assertEqual((status, len(lines)), (2, 1))

    def test_secrets_are_shown_nowhere(self):
        _, secret = (key.decode() for key in zmq.curve_keypair())
        shown = repr(_parse(stream_secret="5ecret"))
        self.assertNotIn("5ecret", shown)
        _, lines = _refusal(link_secret_key=secret + "x")
        self.assertNotIn(secret, lines[0])
        stdout = io.StringIO()
        with contextlib.redirect_stdout(stdout):
            self.assertRaises(SystemExit, _parse, "--help", stream_secret="5ec")
        self.assertNotIn("5ec", stdout.getvalue())

    def test_help_names_each_variable_and_version_is_printed(self):
        for flag, wanted in (
            ("--help", "RHUBARBWINCH_LOAD_POLL_MS"),
            ("--version", "0.1.0"),
        ):
            stdout = io.StringIO()
            with contextlib.redirect_stdout(stdout):
                with self.assertRaises(SystemExit) as caught:
                    _parse(flag, kind=BrokerSettings)
            self.assertEqual(caught.exception.code, 0)
            self.assertIn(wanted, stdout.getvalue())
