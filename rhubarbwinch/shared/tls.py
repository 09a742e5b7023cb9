"""TLS settings of the HTTP interface for callers."""

import attrs
from hypercorn.config import Config


@attrs.frozen
class TlsFiles:
    """The paths of a certificate and its private key, both PEM files."""

    certfile: str
    keyfile: str

    def apply_to(self, config: Config) -> None:
        """Enables TLS in the configuration of an HTTP server."""
        config.certfile = self.certfile
        config.keyfile = self.keyfile
