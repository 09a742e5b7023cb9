"""Generates key pairs for links and API keys for client accounts."""

import secrets

import attrs
import zmq

from rhubarbwinch.links.links import LinkKeys
from rhubarbwinch.records.apikeys import hash_key
from rhubarbwinch.records.records import KeyHash, Record, upgrade
from rhubarbwinch.shared.exceptions import RecordError

_SECRET_BYTES = 24
_SALT_BYTES = 16


@attrs.frozen
class ApiKey:
    """A new API key; only its salted hash is ever stored.

    Attributes:
        account: The client account.
        secret: The whole key, as callers send it.
        key_hash: The salted hash for the account's record.
    """

    account: str
    secret: str = attrs.field(repr=False)
    key_hash: KeyHash


def make_link_keys() -> LinkKeys:
    """Generates a CURVE key pair."""
    public, secret = zmq.curve_keypair()
    return LinkKeys(public.decode(), secret.decode())


def make_api_key(account: str) -> ApiKey:
    """Generates an API key of the form `account.secret`."""
    key = f"{account}.{secrets.token_urlsafe(_SECRET_BYTES)}"
    salt = secrets.token_hex(_SALT_BYTES)
    return ApiKey(account, key, KeyHash(salt, hash_key(key, salt)))


def add_api_key(record: Record, key_hash: KeyHash) -> Record:
    """Returns an account's record with one more key, in the current schema.

    Raises:
        RecordError: The record's schema is newer than this program knows.
    """
    if record.is_newer:
        raise RecordError(record.key, "schema", record.schema, "a known one")
    current = upgrade(record)
    keys = [*current.spec.get("keys", []), attrs.asdict(key_hash)]
    return attrs.evolve(current, spec=current.spec | {"keys": keys})
