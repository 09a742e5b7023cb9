"""TLS for callers."""

import attrs
from hypercorn.config import Config


@attrs.frozen
class TlsFiles:
    """Where a certificate and its private key are, in PEM."""

    certfile: str
    keyfile: str

    def use_in(self, config: Config) -> None:
        """Makes an HTTP interface speak TLS."""
        config.certfile = self.certfile
        config.keyfile = self.keyfile
