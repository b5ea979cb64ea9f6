"""The error of a message between nodes that can't be read."""

from __future__ import annotations


class MessageInvalidError(Exception):
    """A message is not CBOR, not of a known kind, or has a wrong field."""
