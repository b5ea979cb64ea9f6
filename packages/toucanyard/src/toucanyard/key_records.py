"""Define key names and the records of claims in the platform's log.

Records are JSON texts with a `kind` tag; other modules define the other kinds.
"""

from __future__ import annotations

import hashlib
from typing import Final

import msgspec

from toucanyard.names import CustomerName, NodeId

_FINGERPRINT_BYTES: Final = 16


class KeyName(msgspec.Struct, frozen=True):
    """One idempotency key of one customer."""

    customer: CustomerName
    key: str


def compute_key_fingerprint(name: KeyName) -> bytes:
    """Return a 16-byte hash that identifies a key in messages to backup nodes.

    A collision is harmless there: both keys are recorded, or both are revoked.
    """
    customer, key = name.customer.encode(), name.key.encode()
    text = len(customer).to_bytes(4, "big") + customer + key
    return hashlib.blake2b(text, digest_size=_FINGERPRINT_BYTES).digest()


class ClaimRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="claim"):
    """Claim a key in the log; the first claim in offset order wins."""

    claim_id: str
    name: KeyName
    digest: bytes
    claimer: NodeId


class AbandonRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="abandon"):
    """State that the claimer of this claim never dispatched it and never will."""

    claim_id: str
    name: KeyName


class HandoverRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="handed_over"):
    """Announce a node's planned stop and the nodes that hold its ended keys."""

    stopped: NodeId
    holders: tuple[NodeId, ...]


KeyRecord = ClaimRecord | AbandonRecord | HandoverRecord


def encode_record(record: KeyRecord) -> str:
    """Return the text of a record."""
    return msgspec.json.encode(record).decode()


_DECODER: Final = msgspec.json.Decoder(KeyRecord)


def decode_record(text: str) -> KeyRecord | None:
    """Return the record in a text, or None if it is of another kind."""
    try:
        return _DECODER.decode(text)
    except (msgspec.DecodeError, UnicodeEncodeError, RecursionError):
        return None
