"""Typed messages to bytes and back: attrs classes as msgpack maps."""

from typing import Any, TypeVar

import cattrs
import msgpack
from cattrs.preconf.msgpack import make_converter

from rhubarbwinch.shared.exceptions import CodecError

T = TypeVar("T")

_converter = make_converter(omit_if_default=True)


def encode(message: Any) -> bytes:
    """Returns the bytes of an attrs object."""
    return msgpack.packb(_converter.unstructure(message))


def decode(data: bytes, kind: type[T]) -> T:
    """Returns the `kind` object that `data` holds.

    Fields that are not known are ignored, so that a newer sender can add some.

    Raises:
        CodecError: The bytes do not hold such an object.
    """
    try:
        return _converter.structure(msgpack.unpackb(data), kind)
    except (
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
        msgpack.UnpackException,
        cattrs.BaseValidationError,
    ) as error:
        raise CodecError(f"not a {kind.__name__}: {error}") from error
