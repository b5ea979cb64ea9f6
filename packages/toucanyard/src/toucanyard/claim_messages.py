"""Log records, peer messages, events and actions of the at-most-once decision.

Records are JSON texts with a `kind` tag and cross the platform's log; peer messages
cross between nodes inside the peers' CBOR union; events and actions stay inside one
node. Every key is scoped to its customer by `KeyName`.
"""

from __future__ import annotations

import enum
from typing import Final

import msgspec

from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import CustomerName, Incarnation, NodeName, RequestId
from toucanyard.requests import EndingSeen, KeptAnswer


class KeyName(msgspec.Struct, frozen=True):
    """One idempotency key of one customer."""

    customer: CustomerName
    key: str


class NodeId(msgspec.Struct, frozen=True):
    """One incarnation of one node; a restarted node is another one."""

    node: NodeName
    incarnation: Incarnation


class ClaimRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="claim"):
    """Claim a key in the log; the first claim in offset order wins."""

    claim_id: str
    name: KeyName
    digest: bytes
    claimer: NodeId


class AbandonRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="abandon"):
    """Tell that the claimer of this claim never dispatched it and never will."""

    claim_id: str
    name: KeyName


class HandedOverRecord(
    msgspec.Struct, frozen=True, tag_field="kind", tag="handed_over"
):
    """Tell that a node stops as planned and which nodes hold its ended keys."""

    stopped: NodeId
    holders: tuple[NodeId, ...]


KeyRecord = ClaimRecord | AbandonRecord | HandedOverRecord
RECORD_KINDS: Final = ("claim", "abandon", "handed_over")


class KeyStatus(enum.StrEnum):
    """What the only node that may dispatch a key says about it."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    """Never dispatched, and from now on never will be."""
    UNKNOWN = "unknown"


class LedgerStatus(enum.StrEnum):
    """What a witness says about one issued key."""

    NOTED = "noted"
    SEALED = "sealed"
    GONE = "gone"
    """The witness doesn't know the ledger (any more) or has no room."""


class AskKey(msgspec.Struct, frozen=True, tag="ask_key"):
    """Ask the claimer or issuer of a key how its request stands.

    `claim_id` is that of the winning claim, or empty for an issued key.
    """

    to: Incarnation
    name: KeyName
    claim_id: str


class KeyTold(msgspec.Struct, frozen=True, tag="key_told"):
    """Tell how the request of a key stands; `digest` is that of the claimed body.

    `claim_id` repeats the question's, so that a late answer isn't taken for another.
    """

    to: Incarnation
    name: KeyName
    claim_id: str
    status: KeyStatus
    digest: bytes
    answer: KeptAnswer | None = None


class OpenLedger(msgspec.Struct, frozen=True, tag="open_ledger"):
    """Ask a node to witness keys; `request` makes a repeated message harmless."""

    to: Incarnation
    request: int


class LedgerOpened(msgspec.Struct, frozen=True, tag="ledger_opened"):
    """Give the number of a ledger; numbers are never used again."""

    to: Incarnation
    request: int
    ledger: int


class NoteKey(msgspec.Struct, frozen=True, tag="note_key"):
    """Ask the witness to note a key, so that it can't be sealed any more."""

    to: Incarnation
    ledger: int
    name: KeyName


class KeyNoted(msgspec.Struct, frozen=True, tag="key_noted"):
    """Answer a NoteKey."""

    to: Incarnation
    ledger: int
    name: KeyName
    status: LedgerStatus


class SealKey(msgspec.Struct, frozen=True, tag="seal_key"):
    """Ask the witness to seal a key, so that it can't be noted any more."""

    to: Incarnation
    ledger: int
    issuer: NodeId
    name: KeyName


class SealAnswered(msgspec.Struct, frozen=True, tag="seal_answered"):
    """Answer a SealKey."""

    to: Incarnation
    ledger: int
    name: KeyName
    status: LedgerStatus


class HandedKey(msgspec.Struct, frozen=True):
    """How a key ended on the only node that might dispatch it.

    This is a fact about the past and gives nobody the right to dispatch the key.
    `claim_id` is the winning claim that ended so, or empty for an issued key.
    """

    name: KeyName
    claim_id: str
    status: KeyStatus
    digest: bytes
    answer: KeptAnswer | None = None


class HandKeys(msgspec.Struct, frozen=True, tag="hand_keys"):
    """Ask a node to hold ended keys of a node that stops as planned."""

    to: Incarnation
    batch: int
    keys: tuple[HandedKey, ...]


class KeysTaken(msgspec.Struct, frozen=True, tag="keys_taken"):
    """Answer a HandKeys; the node takes all keys of the batch or none."""

    to: Incarnation
    batch: int
    is_taken: bool


class KeysHandedOver(msgspec.Struct, frozen=True, tag="keys_handed_over"):
    """Tell that the sender stops as planned and which nodes hold its ended keys."""

    to: Incarnation
    holders: tuple[NodeId, ...]


class AskHanded(msgspec.Struct, frozen=True, tag="ask_handed"):
    """Ask a holder how a key of a stopped node ended; answered by a KeyTold."""

    to: Incarnation
    name: KeyName
    claim_id: str


KeyMessage = (
    AskKey
    | KeyTold
    | OpenLedger
    | LedgerOpened
    | NoteKey
    | KeyNoted
    | SealKey
    | SealAnswered
    | HandKeys
    | KeysTaken
    | KeysHandedOver
    | AskHanded
)


class KeyedArrived(msgspec.Struct, frozen=True):
    """A request that carries a key has come from a caller.

    `key_age_ms` is the time since the caller first sent this key, by the caller's
    own clock: 0 says that this is the first try, None that it didn't tell.
    """

    request_id: RequestId
    customer: CustomerName
    key: str
    body_digest: bytes
    deadline_ms: float
    key_age_ms: float | None = None


class DispatchStarted(msgspec.Struct, frozen=True):
    """The first byte of an allowed request is about to leave."""

    request_id: RequestId


class DispatchEnded(msgspec.Struct, frozen=True):
    """An allowed request is over, also when it was never dispatched (NOT_SENT)."""

    request_id: RequestId
    ending: EndingSeen
    answer: KeptAnswer | None = None


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller of a request that is still undecided went away."""

    request_id: RequestId


class LogRecord(msgspec.Struct, frozen=True):
    """One record as read from the log."""

    offset: int
    at_ms: float
    text: str


class ClaimRecordsRead(msgspec.Struct, frozen=True):
    """Everything in the log from one offset up to, not including, another.

    Records of other kinds may be left out.
    """

    from_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


class AppendResult(enum.StrEnum):
    """What is known of an append."""

    DONE = "done"
    REFUSED = "refused"
    """Provably without effect."""
    UNKNOWN = "unknown"
    """May have taken effect, or may still."""


class RecordsSettled(msgspec.Struct, frozen=True):
    """The append that carried these records has a result."""

    record_ids: tuple[str, ...]
    result: AppendResult


class LogState(msgspec.Struct, frozen=True):
    """Whether the log takes appends and gives reads."""

    is_up: bool


class PeerView(msgspec.Struct, frozen=True):
    """One live peer as this node sees it."""

    node: NodeName
    incarnation: Incarnation
    is_other_domain: bool


class PeersChanged(msgspec.Struct, frozen=True):
    """The whole list of connected peers, without this node."""

    peers: tuple[PeerView, ...]


class PeerMessageArrived(msgspec.Struct, frozen=True):
    """A message of another node, whose name and incarnation are proved."""

    sender: NodeId
    message: KeyMessage


class Ticked(msgspec.Struct, frozen=True):
    """Time has passed; wanted at least every `ClaimLimits.resend_ms`."""


class HandOverBegun(msgspec.Struct, frozen=True):
    """This node stops as planned; its last request has ended, or had time to."""


ClaimEvent = (
    KeyedArrived
    | DispatchStarted
    | DispatchEnded
    | CallerLeft
    | ClaimRecordsRead
    | RecordsSettled
    | LogState
    | PeersChanged
    | PeerMessageArrived
    | Ticked
    | HandOverBegun
)


class AllowDispatch(msgspec.Struct, frozen=True):
    """Dispatch this request once, before its deadline; then say DispatchEnded."""

    request_id: RequestId


class RefuseKeyed(msgspec.Struct, frozen=True):
    """Answer this request at once with this refusal."""

    request_id: RequestId
    kind: ErrorKind
    ending: Ending
    text: str
    retry_after_ms: int


class ReplayAnswer(msgspec.Struct, frozen=True):
    """Answer this request with what an earlier try of its key got."""

    request_id: RequestId
    answer: KeptAnswer


class AppendRecord(msgspec.Struct, frozen=True):
    """Append this record; `is_urgent` when a caller waits for it."""

    record_id: str
    text: str
    is_urgent: bool


class SendToPeer(msgspec.Struct, frozen=True):
    """Send a message, which may be lost, to a node."""

    node: NodeName
    message: KeyMessage


ClaimAction = AllowDispatch | RefuseKeyed | ReplayAnswer | AppendRecord | SendToPeer


def encode_record(record: KeyRecord) -> str:
    """Return the text of a record."""
    return msgspec.json.encode(record).decode()


_DECODER: Final = msgspec.json.Decoder(KeyRecord)


def decode_record(text: str) -> KeyRecord | None:
    """Return the record in a text, or None when it is of another kind."""
    try:
        return _DECODER.decode(text)
    except msgspec.DecodeError:
        return None
