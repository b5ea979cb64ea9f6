"""Decode messages between nodes from CBOR into typed classes."""

from __future__ import annotations

from typing import Any, Final

import cbor2
import msgspec

MAX_MESSAGE_BYTES: Final = 4_000_000


class MessageInvalidError(Exception):
    """A message is not CBOR, not of a known kind, or has a wrong field."""


def decode_cbor(data: bytes, kind: Any) -> Any:
    """Return the message of a kind in some bytes, or raise MessageInvalidError.

    `kind` may be a union of classes, which no type of a type can name.
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
