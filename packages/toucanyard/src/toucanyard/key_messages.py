"""Define the messages about keys that nodes exchange."""

from __future__ import annotations

import enum

import msgspec

from toucanyard.key_records import KeyName
from toucanyard.names import Incarnation, NodeId
from toucanyard.requests import CachedAnswer


class KeyStatus(enum.StrEnum):
    """The status of a key, as reported by the only node that may dispatch it."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    """Never dispatched, and it never will be."""
    UNKNOWN = "unknown"


class LedgerStatus(enum.StrEnum):
    """The status of an issued key in the ledger of its backup node."""

    RECORDED = "noted"
    REVOKED = "sealed"
    GONE = "gone"
    """The backup node does not have the ledger (any more), or has no room."""


class QueryKey(msgspec.Struct, frozen=True, tag="ask_key"):
    """Query the claimer or issuer of a key for the status of its request.

    `claim_id` is the winning claim, or empty for an issued key.
    """

    to: Incarnation
    name: KeyName
    claim_id: str


class KeyReport(msgspec.Struct, frozen=True, tag="key_told"):
    """Report the status of a key's request; `digest` is that of the claimed body.

    `claim_id` repeats that of the query, which identifies late replies.
    """

    to: Incarnation
    name: KeyName
    claim_id: str
    status: KeyStatus
    digest: bytes
    answer: CachedAnswer | None = None


class OpenLedger(msgspec.Struct, frozen=True, tag="open_ledger"):
    """Ask a node to be the backup of keys; `request` makes a resend idempotent."""

    to: Incarnation
    request: int


class LedgerOpened(msgspec.Struct, frozen=True, tag="ledger_opened"):
    """Answer an OpenLedger with a ledger number, which is never reused."""

    to: Incarnation
    request: int
    ledger: int


class RecordKeys(msgspec.Struct, frozen=True, array_like=True, tag="note"):
    """Ask the backup node to record keys, after which it can't revoke them."""

    to: Incarnation
    ledger: int
    batch: int
    key_fingerprints: tuple[bytes, ...]


class KeysRecorded(msgspec.Struct, frozen=True, array_like=True, tag="noted"):
    """Answer a RecordKeys: all keys of the batch are recorded except those listed."""

    to: Incarnation
    batch: int
    refused: tuple[int, ...] = ()
    """Indexes in the batch of keys that are revoked or whose ledger is gone or full."""


class RevokeKey(msgspec.Struct, frozen=True, tag="seal_key"):
    """Ask the backup node to revoke a key, after which it can't be recorded."""

    to: Incarnation
    ledger: int
    issuer: NodeId
    name: KeyName


class RevocationAnswered(msgspec.Struct, frozen=True, tag="seal_answered"):
    """Answer a RevokeKey."""

    to: Incarnation
    ledger: int
    name: KeyName
    status: LedgerStatus


class TransferredKey(msgspec.Struct, frozen=True):
    """The result of a key on the only node that might dispatch it.

    It is final, and gives no node the right to dispatch the key. `claim_id` is the
    winning claim that ended, or empty for an issued key.
    """

    name: KeyName
    claim_id: str
    status: KeyStatus
    digest: bytes
    answer: CachedAnswer | None = None


class TransferKeys(msgspec.Struct, frozen=True, tag="hand_keys"):
    """Ask a node to hold ended keys of a node in a planned stop."""

    to: Incarnation
    batch: int
    keys: tuple[TransferredKey, ...]


class KeysAccepted(msgspec.Struct, frozen=True, tag="keys_taken"):
    """Answer a TransferKeys; all keys of the batch are accepted, or none."""

    to: Incarnation
    batch: int
    is_taken: bool


class HandoverAnnounced(msgspec.Struct, frozen=True, tag="keys_handed_over"):
    """Announce the sender's planned stop and the nodes that hold its ended keys."""

    to: Incarnation
    holders: tuple[NodeId, ...]


class QueryTransferredKey(msgspec.Struct, frozen=True, tag="ask_handed"):
    """Query a holder for the result of a stopped node's key; answered by KeyReport."""

    to: Incarnation
    name: KeyName
    claim_id: str


RecordingMessage = RecordKeys | KeysRecorded
"""Encoded as arrays, to be compact: every issued key needs one of each."""

KeyControlMessage = (
    QueryKey
    | KeyReport
    | OpenLedger
    | LedgerOpened
    | RevokeKey
    | RevocationAnswered
    | TransferKeys
    | KeysAccepted
    | HandoverAnnounced
    | QueryTransferredKey
)

KeyMessage = KeyControlMessage | RecordingMessage
