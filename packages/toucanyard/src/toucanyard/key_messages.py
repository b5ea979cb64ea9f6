"""Give the messages in which nodes ask and tell one another about keys."""

from __future__ import annotations

import enum

import msgspec

from toucanyard.key_records import KeyName
from toucanyard.names import Incarnation, NodeId
from toucanyard.requests import CachedAnswer


class KeyStatus(enum.StrEnum):
    """What the only node that may dispatch a key says about it."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    """Never dispatched, and from now on never will be."""
    UNKNOWN = "unknown"


class LedgerStatus(enum.StrEnum):
    """What a witness says about one issued key."""

    RECORDED = "noted"
    REVOKED = "sealed"
    GONE = "gone"
    """The witness doesn't know the ledger (any more) or has no room."""


class AskKey(msgspec.Struct, frozen=True, tag="ask_key"):
    """Ask the claimer or issuer of a key how its request stands.

    `claim_id` is that of the winning claim, or empty for an issued key.
    """

    to: Incarnation
    name: KeyName
    claim_id: str


class KeyReport(msgspec.Struct, frozen=True, tag="key_told"):
    """Tell how the request of a key stands; `digest` is that of the claimed body.

    `claim_id` repeats the question's, so that a late answer isn't taken for another.
    """

    to: Incarnation
    name: KeyName
    claim_id: str
    status: KeyStatus
    digest: bytes
    answer: CachedAnswer | None = None


class OpenLedger(msgspec.Struct, frozen=True, tag="open_ledger"):
    """Ask a node to witness keys; `request` makes a repeated message harmless."""

    to: Incarnation
    request: int


class LedgerOpened(msgspec.Struct, frozen=True, tag="ledger_opened"):
    """Give the number of a ledger; numbers are never used again."""

    to: Incarnation
    request: int
    ledger: int


class RecordKeys(msgspec.Struct, frozen=True, array_like=True, tag="note"):
    """Ask the witness to note keys, so that they can't be sealed any more."""

    to: Incarnation
    ledger: int
    batch: int
    key_fingerprints: tuple[bytes, ...]


class KeysRecorded(msgspec.Struct, frozen=True, array_like=True, tag="noted"):
    """Answer a NoteKeys: all keys of the batch are noted but those listed."""

    to: Incarnation
    batch: int
    refused: tuple[int, ...] = ()
    """Places in the batch of keys that are sealed, or whose ledger is gone or full."""


class RevokeKey(msgspec.Struct, frozen=True, tag="seal_key"):
    """Ask the witness to seal a key, so that it can't be noted any more."""

    to: Incarnation
    ledger: int
    issuer: NodeId
    name: KeyName


class RevocationAnswered(msgspec.Struct, frozen=True, tag="seal_answered"):
    """Answer a SealKey."""

    to: Incarnation
    ledger: int
    name: KeyName
    status: LedgerStatus


class TransferredKey(msgspec.Struct, frozen=True):
    """How a key ended on the only node that might dispatch it.

    This is a fact about the past and gives nobody the right to dispatch the key.
    `claim_id` is the winning claim that ended so, or empty for an issued key.
    """

    name: KeyName
    claim_id: str
    status: KeyStatus
    digest: bytes
    answer: CachedAnswer | None = None


class TransferKeys(msgspec.Struct, frozen=True, tag="hand_keys"):
    """Ask a node to hold ended keys of a node that stops as planned."""

    to: Incarnation
    batch: int
    keys: tuple[TransferredKey, ...]


class KeysAccepted(msgspec.Struct, frozen=True, tag="keys_taken"):
    """Answer a HandKeys; the node takes all keys of the batch or none."""

    to: Incarnation
    batch: int
    is_taken: bool


class HandoverAnnounced(msgspec.Struct, frozen=True, tag="keys_handed_over"):
    """Tell that the sender stops as planned and which nodes hold its ended keys."""

    to: Incarnation
    holders: tuple[NodeId, ...]


class AskTransferredKey(msgspec.Struct, frozen=True, tag="ask_handed"):
    """Ask a holder how a key of a stopped node ended; answered by a KeyTold."""

    to: Incarnation
    name: KeyName
    claim_id: str


RecordingMessage = RecordKeys | KeysRecorded
"""Messages as arrays, since one of each goes with every issued key."""

KeyControlMessage = (
    AskKey
    | KeyReport
    | OpenLedger
    | LedgerOpened
    | RevokeKey
    | RevocationAnswered
    | TransferKeys
    | KeysAccepted
    | HandoverAnnounced
    | AskTransferredKey
)

KeyMessage = KeyControlMessage | RecordingMessage
