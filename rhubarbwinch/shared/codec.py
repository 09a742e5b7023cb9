"""Encodes attrs classes as msgpack maps and decodes them."""

from typing import Any, TypeVar

import cattrs
import msgpack
from cattrs.preconf.msgpack import make_converter

from rhubarbwinch.shared.exceptions import CodecError

T = TypeVar("T")

_converter = make_converter(omit_if_default=True)


def encode(message: Any) -> bytes:
    """Encodes an attrs object."""
    return msgpack.packb(_converter.unstructure(message))


def decode(data: bytes, kind: type[T]) -> T:
    """Decodes an object of the class `kind`.

    Unknown fields are ignored, so that a newer sender can add fields.

    Raises:
        CodecError: The bytes do not encode an object of this class.
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
