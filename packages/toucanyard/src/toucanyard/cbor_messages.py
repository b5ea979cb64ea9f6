"""Decode CBOR messages between nodes into typed classes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final, NoReturn

import cbor2
import msgspec

MAX_MESSAGE_BYTES: Final = 4_000_000
MAX_ITEMS: Final = 200_000
"""Maximum number of items of one message. An empty list is one byte of a message and 64
bytes in memory; a whole topic of 4,400 replicas has 30,000 items."""
_UNCOUNTED_BYTES: Final = 65_536
"""Size of a message whose items need not be counted."""
_BYTES: Final = 2
_TEXT: Final = 3
_LENGTH_BYTES: Final = {24: 1, 25: 2, 26: 4, 27: 8}
"""Size of the length that follows the first byte of an item, by its lower five bits."""


def _refuse_integer(_: object) -> NoReturn:
    raise ValueError("integer over 64 bits")


_DECODERS: Final[Mapping[int, Any]] = {2: _refuse_integer, 3: _refuse_integer}
"""By tag: integers of any length, which neither convert to a float nor to a text."""


class MessageInvalidError(Exception):
    """A message is not CBOR, is of an unknown kind, or has an invalid field."""


def decode_cbor(data: bytes, kind: Any) -> Any:
    """Decode bytes into a message of a kind, or raise MessageInvalidError.

    `kind` is untyped because it may be a union of classes.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageInvalidError(f"found {len(data)} bytes")
    if len(data) > _UNCOUNTED_BYTES and has_more_items(data, MAX_ITEMS):
        raise MessageInvalidError(f"found over {MAX_ITEMS} items")
    try:
        return msgspec.convert(load_cbor(data), kind, builtin_types=(bytes,))
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        RecursionError,
    ) as error:
        raise MessageInvalidError(str(error)) from error


def load_cbor(data: bytes) -> Any:
    """Return the value in bytes, or raise CBORDecodeError."""
    return cbor2.loads(data, semantic_decoders=_DECODERS)


def has_more_items(data: bytes, max_items: int) -> bool:
    """Return whether encoded data has more items than that, without decoding them.

    The work is bounded by the number of items, whatever the lengths that they state.
    """
    position = items = 0
    while position < len(data):
        items += 1
        if items > max_items:
            return True
        kind, info = data[position] >> 5, data[position] & 31
        position += 1
        size_bytes = _LENGTH_BYTES.get(info, 0)
        if kind in (_BYTES, _TEXT):
            length = data[position : position + size_bytes]
            position += int.from_bytes(length, "big") if size_bytes else info % 31
        position += size_bytes
    return False
