"""The state of a single key on one node, in progress or ended."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

import msgspec

from toucanyard.claim_events import (
    KeyedRequestArrived,
)
from toucanyard.issued_keys import IssuedKey
from toucanyard.key_messages import (
    KeyStatus,
)
from toucanyard.key_records import (
    KeyName,
)
from toucanyard.names import (
    NodeId,
    RequestId,
)


class Phase(enum.Enum):
    """The phase of a key in progress on this node."""

    CLAIMING = "claiming"
    """This node's claim has not been read from the log yet."""
    RECORDING = "noting"
    """This node issued the key; its backup node has not recorded it yet."""
    ALLOWED = "allowed"
    """One request of the key may be, or was, dispatched."""
    FOLLOWING = "following"
    """Another node is the only one that may dispatch the key."""


@dataclass(slots=True)
class KeyEntry:
    """One key in progress.

    Invariant: `phase` becomes ALLOWED at most once per entry, and no second entry
    that may become ALLOWED is created for the same claim or issued key.
    """

    name: KeyName
    phase: Phase
    digest: bytes
    started_ms: float
    claim_id: str = ""
    """This node's claim or, while FOLLOWING, the winning one; empty for issued keys."""
    issued: IssuedKey | None = None
    target: NodeId | None = None
    """The node that is queried while FOLLOWING; the backup node while RECORDING."""
    sent_ms: float = float("-inf")
    last_report_ms: float = 0.0
    """When the target last reported that the key is in progress."""
    is_revocation_refused: bool = False
    is_target_running: bool = False
    running: RequestId | None = None
    is_started: bool = False
    waiting: dict[RequestId, KeyedRequestArrived] = field(default_factory=dict)
    askers: dict[NodeId, str] = field(default_factory=dict)
    """Nodes waiting for the result, with the claim that each queried."""
    uninformed_holders: set[NodeId] = field(default_factory=set)
    """Holders of the stopped target's keys that do not know how this key ended."""

    def __post_init__(self) -> None:
        """Measure the target's silence from the creation of the entry."""
        self.last_report_ms = self.started_ms

    def find_expired(self, now_ms: float) -> list[KeyedRequestArrived]:
        """Return the waiting attempts whose deadline has passed."""
        return [
            attempt
            for attempt in self.waiting.values()
            if attempt.deadline_ms <= now_ms
        ]

    def find_first_eligible(self, now_ms: float) -> KeyedRequestArrived | None:
        """Return the first unexpired waiting attempt with the claimed body."""
        for attempt in self.waiting.values():
            if attempt.body_digest == self.digest and attempt.deadline_ms > now_ms:
                return attempt
        return None


class EndedKey(msgspec.Struct, frozen=True, gc=False):
    """The immutable result of a key, on the only node that may dispatch it.

    Exempt from garbage collection, as claims are.
    """

    status: KeyStatus
    digest: bytes
    ended_ms: float
    claim_id: str = ""
    """The claim that ended; empty for issued keys."""
