"""Decode CBOR messages between nodes into typed classes."""

from __future__ import annotations

from typing import Any, Final

import cbor2
import msgspec

MAX_MESSAGE_BYTES: Final = 4_000_000


class MessageInvalidError(Exception):
    """A message is not CBOR, is of an unknown kind, or has an invalid field."""


def decode_cbor(data: bytes, kind: Any) -> Any:
    """Decode bytes into a message of a kind, or raise MessageInvalidError.

    `kind` is untyped because it may be a union of classes.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageInvalidError(f"found {len(data)} bytes")
    try:
        return msgspec.convert(cbor2.loads(data), kind, builtin_types=(bytes,))
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        RecursionError,
    ) as error:
        raise MessageInvalidError(str(error)) from error
