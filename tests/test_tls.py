"""TLS for callers, with a certificate made for the test."""

import pathlib
import shutil
import ssl
import subprocess
import tempfile
import unittest

import httpx

from tests.fleet import Fleet
from tests.helpers import free_address, wait_until


@unittest.skipUnless(shutil.which("openssl"), "needs the openssl command")
class TlsTest(unittest.TestCase):
    """An entry with a certificate."""

    def _make_certificate(self, directory):
        subprocess.run(
            [
                *("openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes"),
                *("-days", "2", "-subj", "/CN=entry"),
                *("-addext", "subjectAltName=IP:127.0.0.1"),
                *("-keyout", str(directory / "key.pem")),
                *("-out", str(directory / "cert.pem")),
            ],
            check=True,
            capture_output=True,
        )

    def test_only_callers_that_speak_tls_are_served(self):
        name = self.enterContext(tempfile.TemporaryDirectory())
        directory = pathlib.Path(name)
        self._make_certificate(directory)
        certfile, keyfile = directory / "cert.pem", directory / "key.pem"
        address = free_address()
        with Fleet() as fleet:
            fleet.start_role(
                "entry",
                "tls",
                address,
                *("--certfile", str(certfile), "--keyfile", str(keyfile)),
            )
            trust = ssl.create_default_context(cafile=certfile)
            with httpx.Client(verify=trust) as client:
                url = f"https://{address}/readyz"
                answer = wait_until(lambda: client.get(url), "the entry")
                self.assertEqual(answer.http_version, "HTTP/1.1")
            with self.assertRaises(httpx.HTTPError):
                httpx.get(f"http://{address}/readyz")
            with self.assertRaises(httpx.ConnectError):
                httpx.get(f"https://{address}/readyz")
