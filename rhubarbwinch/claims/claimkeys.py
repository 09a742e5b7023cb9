"""Parses idempotency keys, which are UUIDv7 (RFC 9562), and finds their pages.

The page of a claim follows from the timestamp inside its key. So a key can be
looked up without an index, and a key older than the retention can be refused
without any stored state.
"""

import hashlib
import uuid

import attrs
import xxhash

from rhubarbwinch.stores import keys

HEADER = "idempotency-key"
WINDOW_MS = 10_000
SLOTS = 8
CLOCK_SKEW_MS = 300_000
_TIME_SHIFT = 80
_DIGEST_CHARS = 32


@attrs.frozen
class ClaimKey:
    """An idempotency key in the scope of an account and a service.

    Attributes:
        account: The client account; equal UUIDs of two accounts differ.
        service: The service that was called.
        text: The UUID in canonical form.
        digest: Digest of the request's content.
        retention_ms: How long the service keeps keys.
    """

    account: str
    service: str
    text: str
    digest: str
    retention_ms: int

    @property
    def name(self) -> str:
        """The claim's name, unique across the system."""
        return f"{self.account}/{self.service}/{self.text}"

    @property
    def time_ms(self) -> int:
        """The Unix time inside the key, in milliseconds."""
        return time_of(self.text)

    @property
    def page(self) -> str:
        """The store key of the page that holds the claim."""
        slot = xxhash.xxh3_64_intdigest(self.name.encode()) % SLOTS
        return keys.claims_page(self.time_ms // WINDOW_MS, slot)


def parse_uuid7(text: str) -> str | None:
    """Returns the canonical form of a UUIDv7, or None for any other text.

    The UUID may be quoted, since the header is a structured-field string.
    """
    try:
        value = uuid.UUID(text.strip().strip('"'))
    except ValueError:
        return None
    return str(value) if value.version == 7 else None


def time_of(text: str) -> int:
    """Returns the Unix time in milliseconds inside a UUIDv7."""
    return uuid.UUID(text).int >> _TIME_SHIFT


def content_digest(method: str, path: str, query: str, body: bytes) -> str:
    """Returns the digest by which two requests are compared."""
    head = f"{method} {path}?{query}\0".encode()
    return hashlib.sha256(head + body).hexdigest()[:_DIGEST_CHARS]
