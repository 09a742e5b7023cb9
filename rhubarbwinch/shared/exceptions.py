"""Defines all exceptions of the package."""


class RhubarbwinchError(Exception):
    """The base of every exception raised by this package."""


class SettingError(RhubarbwinchError):
    """A setting is missing or has a value that is not allowed.

    Args:
        name: The flag's name without dashes, such as `listen`.
        value: The rejected value.
        allowed: A description of the allowed values.
    """

    def __init__(self, name: str, value: object, allowed: str) -> None:
        super().__init__(f"setting --{name}: {value!r}; allowed: {allowed}")
        self.name = name
        self.value = value
        self.allowed = allowed


class RecordError(RhubarbwinchError):
    """A record failed validation.

    Args:
        record: The record's key, `kind/name`.
        field: The field's dotted path.
        value: The rejected value.
        allowed: A description of the allowed values.
    """

    def __init__(
        self, record: str, field: str, value: object, allowed: str
    ) -> None:
        super().__init__(
            f"record {record}: field {field}: {value!r}; allowed: {allowed}"
        )
        self.record = record
        self.field = field
        self.value = value
        self.allowed = allowed


class StoreError(RhubarbwinchError):
    """An operation of the key-value store failed."""


class StoreUnavailable(StoreError):  # noqa: N818
    """The store could not be reached; nothing was written."""


class StoreUncertain(StoreError):  # noqa: N818
    """The store's reply was lost; a write may have taken effect."""


class CodecError(RhubarbwinchError):
    """Bytes from a peer or the store are not a message of a known type."""


class LinkError(RhubarbwinchError):
    """A message could not be sent, or the peer did not reply."""


class LinkTimeout(LinkError):  # noqa: N818
    """A peer did not reply in time; it may have acted on the message."""


class VmListError(RhubarbwinchError):
    """The platform's list of VMs can't be read."""


class PeerFailed(LinkTimeout):
    """A peer's handler failed; the peer may have acted on the message."""


class EndpointError(RhubarbwinchError):
    """An endpoint failed a call.

    Args:
        message: What happened.
        sent: Whether any byte of the request may have reached the endpoint.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent

    def inherit_sent(self, earlier: "EndpointError | None") -> None:
        """Marks this error as sent if an earlier attempt's error was sent."""
        self.sent = self.sent or (earlier is not None and earlier.sent)


class ForeignGenerationError(EndpointError):
    """An engine sent an event of another generation.

    Args:
        actual_id: The id that the event had in place of the expected one.
    """

    def __init__(self, actual_id: str) -> None:
        super().__init__(f"an event of {actual_id} came", sent=True)


class GenerationLostError(EndpointError):
    """An engine no longer has a generation, or has aborted it.

    Args:
        message: What happened.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, sent=True)


class ConflictError(RhubarbwinchError):
    """Another writer changed the key first.

    Args:
        key: The key that both wrote.
        winner_revision: The store revision of the other write.
    """

    def __init__(self, key: str, winner_revision: int) -> None:
        super().__init__(f"{key} was changed at revision {winner_revision}")
        self.key = key
        self.winner_revision = winner_revision


class EventLoopError(RhubarbwinchError):
    """The event loop uses a system interface that is not allowed."""


class RestartLimitError(RhubarbwinchError):
    """A supervised task failed more often than its limit allows."""


class BadCallError(RhubarbwinchError):
    """A caller's request is not valid."""


class PlatformFormatError(RhubarbwinchError):
    """A document of the platform, or of another writer, can't be decoded."""


class StoreCompacted(StoreUnavailable):
    """The store has compacted the changes that a watch asked for."""
