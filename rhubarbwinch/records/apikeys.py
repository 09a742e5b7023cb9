"""Checks API keys of client accounts against their salted hashes."""

import hashlib
import hmac

from rhubarbwinch.records.acceptedconfig import ConfigSnapshot
from rhubarbwinch.records.records import KeyHash


def hash_key(key: str, salt: str) -> str:
    """Returns the SHA-256 of a salt and an API key, in hexadecimal."""
    return hashlib.sha256(f"{salt}:{key}".encode()).hexdigest()


def matches_hash(key: str, stored: KeyHash) -> bool:
    """Returns whether a key has the stored hash; compares in constant time."""
    return hmac.compare_digest(hash_key(key, stored.salt), stored.digest)


class ApiKeyChecker:
    """Finds the account of an API key of the form `account.secret`."""

    def __init__(self) -> None:
        self._generation = -1
        self._known: dict[str, str] = {}

    def find_account(self, key: str, snapshot: ConfigSnapshot) -> str | None:
        """Returns the account's name, or None if the key is invalid."""
        if snapshot.generation != self._generation:
            self._known.clear()
            self._generation = snapshot.generation
        if key in self._known:
            return self._known[key]
        name, _, _ = key.rpartition(".")
        spec = snapshot.accounts.get(name)
        if spec is None or not any(
            matches_hash(key, item) for item in spec.keys
        ):
            return None
        self._known[key] = name
        return name
