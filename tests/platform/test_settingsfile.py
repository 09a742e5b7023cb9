"""Tests the parser of the platform's settings file."""

import unittest

from lab.standins import platformfiles
from rhubarbwinch.gateway.messages import PeerAddress
from rhubarbwinch.platform import settingsfile
from rhubarbwinch.shared.exceptions import SettingError

TEXT = platformfiles.settings_text(
    ip="10.1.0.19",
    listen__front="10.1.0.19:8740",
    listen__ready="10.1.0.19:8749",
    listen__directory="10.1.0.19:8746",
    internal_ports="7200,7215",
    seeds="10.1.0.19:8748,10.2.0.13:8748",
    platform__address="10.200.1.7:8742",
    a__new__field="of no interest",
)


class SettingsFileTest(unittest.TestCase):
    """Settings parsed from a text."""

    def test_settings_are_parsed(self):
        found = settingsfile.parse(TEXT, 9464)
        self.assertEqual(
            found.address, PeerAddress("10.1.0.19:7200", "10.1.0.19:7201")
        )
        self.assertEqual(
            found.seeds, (PeerAddress("10.2.0.13:7200", "10.2.0.13:7201"),)
        )
        self.assertEqual(found.metrics, "10.1.0.19:9464")
        self.assertEqual(found.grace_ms, 8_000)
        self.assertEqual(found.retry_extra, 56)

    def test_a_missing_or_wrong_field_is_named(self):
        for line, name in (
            ("zone=z1\n", "zone"),
            ("platform.address=10.200.1.7:8742\n", "platform.address"),
            ("internal_ports=7200,7215\n", "internal_ports"),
        ):
            with self.assertRaises(SettingError) as caught:
                settingsfile.parse(TEXT.replace(line, ""), 9464)
            self.assertEqual(caught.exception.name, name)
        wrong = TEXT.replace("grace_s=8", "grace_s=long")
        with self.assertRaises(SettingError) as caught:
            settingsfile.parse(wrong, 9464)
        self.assertEqual(caught.exception.name, "bounds.grace_s")

    def test_a_missing_file_raises_a_setting_error(self):
        with self.assertRaises(SettingError):
            settingsfile.load("/no/such/file", 9464)
