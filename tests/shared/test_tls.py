"""Tests of TLS for callers, with a self-signed certificate."""

import ssl
import unittest

import httpx

from tests.fleet import Fleet
from tests.helpers import ROOT, free_address, wait_until

# Only for this test; valid for 127.0.0.1 and for a hundred years.
CERTIFICATE = ROOT / "tests" / "tls" / "cert.pem"
KEY = ROOT / "tests" / "tls" / "key.pem"


class TlsTest(unittest.TestCase):
    """An entry that serves TLS."""

    def test_only_callers_that_speak_tls_are_served(self):
        address = free_address()
        with Fleet() as fleet:
            fleet.start_role(
                "entry",
                "tls",
                address,
                *("--certfile", str(CERTIFICATE), "--keyfile", str(KEY)),
            )
            trust = ssl.create_default_context(cafile=CERTIFICATE)
            with httpx.Client(verify=trust) as client:
                url = f"https://{address}/readyz"
                answer = wait_until(lambda: client.get(url), "the entry")
                self.assertEqual(answer.http_version, "HTTP/1.1")
            with self.assertRaises(httpx.HTTPError):
                httpx.get(f"http://{address}/readyz")
            with self.assertRaises(httpx.ConnectError):
                httpx.get(f"https://{address}/readyz")
