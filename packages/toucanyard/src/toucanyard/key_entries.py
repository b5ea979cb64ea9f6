"""What one node holds about keys whose requests are under way or have ended."""

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
    """Where a key under way stands on this node."""

    CLAIMING = "claiming"
    """This node's claim has not been read from the log yet."""
    RECORDING = "noting"
    """This node issued the key; its witness has not noted it yet."""
    ALLOWED = "allowed"
    """One request of the key may be dispatched, or has been."""
    FOLLOWING = "following"
    """Another node is the only one that may dispatch the key."""


@dataclass(slots=True)
class KeyEntry:
    """One key under way.

    Invariant: `phase` becomes ALLOWED at most once in the life of an entry, and no
    second entry that may become ALLOWED is made for the same claim or issued key.
    """

    name: KeyName
    phase: Phase
    digest: bytes
    started_ms: float
    claim_id: str = ""
    """Own claim, or the winning one that is followed; empty for issued keys."""
    issued: IssuedKey | None = None
    target: NodeId | None = None
    """The node asked while FOLLOWING."""
    sent_ms: float = float("-inf")
    heard_ms: float = 0.0
    """When the target last said that the key is under way."""
    is_revocation_refused: bool = False
    is_target_running: bool = False
    running: RequestId | None = None
    is_started: bool = False
    waiting: dict[RequestId, KeyedRequestArrived] = field(default_factory=dict)
    askers: dict[NodeId, str] = field(default_factory=dict)
    """Nodes that wait for the end, with the claim that each asked about."""
    uninformed_holders: set[NodeId] = field(default_factory=set)
    """Holders of the stopped target's keys that don't know how this one ended."""

    def __post_init__(self) -> None:
        """Count silence of the target from the start."""
        self.heard_ms = self.started_ms

    def find_expired(self, now_ms: float) -> list[KeyedRequestArrived]:
        """Return the waiting tries whose deadline has passed."""
        return [
            attempt
            for attempt in self.waiting.values()
            if attempt.deadline_ms <= now_ms
        ]

    def find_first_eligible(self, now_ms: float) -> KeyedRequestArrived | None:
        """Return the first waiting try that carries the claimed body in time."""
        for attempt in self.waiting.values():
            if attempt.body_digest == self.digest and attempt.deadline_ms > now_ms:
                return attempt
        return None


class EndedKey(msgspec.Struct, frozen=True, gc=False):
    """How a key ended on the node that alone might dispatch it; never changes.

    As with claims, the collector of cycles passes it over.
    """

    status: KeyStatus
    digest: bytes
    ended_ms: float
    claim_id: str = ""
    """Own claim that ended so; empty for issued keys."""
