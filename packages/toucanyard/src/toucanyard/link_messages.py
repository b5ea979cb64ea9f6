"""Messages between nodes that relay calls, and their encoding as CBOR.

All of them may be lost or come twice: each says what is, not what changed, and the
next status shows what is still missing.
"""

from __future__ import annotations

import enum
from typing import Annotated

import cbor2
import msgspec

from toucanyard.cbor_messages import decode_cbor
from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.limit_pledges import Pledge
from toucanyard.names import (
    EndpointName,
    Fingerprint,
    NodeName,
    ReplicaId,
)

DurationMs = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
"""A span of time, neither infinite nor no number: no reader could reckon with these."""


class StoreReadUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The newest answer of the store that a node knows of."""

    read_id: int
    age_ms: DurationMs
    """Time since it was asked for."""
    steady_ms: DurationMs
    """For how long before that the store is known to have answered without a break."""


class ViewStatus(msgspec.Struct, frozen=True, array_like=True):
    """How far a node knows one topic."""

    topic: Topic
    end: int
    answer: StoreReadUpdate | None = None
    """The store's newest answer, which held nothing beyond `end`."""


class ReplicaUse(msgspec.Struct, frozen=True, array_like=True):
    """What one node has under way at one replica."""

    replica: EndpointName
    running: int
    tokens: int
    """Tokens in the replica's memory for them."""
    unread_tokens: int
    """Prompt tokens still to be read there."""


class ReplicaUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What the node that orders weights knows of a replica before the store does."""

    replica: EndpointName
    loading_left_ms: DurationMs
    """How long it takes no new calls, since it loads weights; 0 if it does."""
    weights: tuple[tuple[str, int], ...]
    pause_id: int = 0
    """Of the update that began the pause or renewed it; 0 without a pause."""


class ReplicaLimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The limit that a replica named in an answer, or that it names none any more."""

    replica: EndpointName
    rate_per_s: Annotated[float, msgspec.Meta(ge=0, le=1e9)] | None
    age_ms: DurationMs
    """Time since the answer was seen."""
    update_id: int


class ReplicaRestart(msgspec.Struct, frozen=True, array_like=True):
    """A replica that has started again under its name."""

    listed_as: ReplicaId
    born_ms: int
    """The start of its newest life, by its own clock."""


class ReadPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt that a replica has just read, or is about to read."""

    replica: EndpointName
    scope: str
    part: str
    tokens: int
    ready_in_ms: DurationMs


class GoalAge(msgspec.Struct, frozen=True, array_like=True):
    """How long a node has known that weights are wanted."""

    model: str
    version: int
    age_ms: DurationMs


class NodeUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A node that is alive, and whether it takes callers."""

    node: NodeName
    is_ready: bool


class PromptStoreUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A store of prompts that answered a node lately."""

    store: EndpointName
    heard_age_ms: DurationMs
    epoch: int
    """Another one after each restart, with which the store is empty."""


class LostRun(msgspec.Struct, frozen=True, array_like=True):
    """A request that was under way at a replica when this ended."""

    fingerprint: Fingerprint
    ran_ms: DurationMs
    """Time since it was sent there."""


class ReplicaCrash(msgspec.Struct, frozen=True, array_like=True):
    """A replica that ended while it ran requests."""

    replica: EndpointName
    age_ms: DurationMs
    runs: tuple[LostRun, ...]
    """Those that were under way there, as far as the sender knows."""


class RequestSurvival(msgspec.Struct, frozen=True, array_like=True):
    """A request that a replica answered, though replicas crashed under it."""

    fingerprint: Fingerprint
    age_ms: DurationMs


class Coverage(enum.StrEnum):
    """Whose calls the uses in a status count."""

    NOBODY = "n"
    """The status says nothing of uses."""
    GROUP = "g"
    """The sender's, and those of the nodes that report to it."""
    FLEET = "f"
    """All nodes', the receiver's among them."""


class NodeStatus(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """What a node tells its peers, several times a second."""

    is_ready: bool
    views: tuple[ViewStatus, ...]
    uses: tuple[ReplicaUse, ...] = ()
    replica_updates: tuple[ReplicaUpdate, ...] = ()
    parts: tuple[ReadPart, ...] = ()
    goals: tuple[GoalAge, ...] = ()
    stores: tuple[PromptStoreUpdate, ...] = ()
    covers: Coverage = Coverage.GROUP
    nodes: tuple[NodeUpdate, ...] | None = None
    """The nodes that are alive among those that it covers; None if it doesn't say."""
    is_report: bool = False
    """The receiver is the hub that the sender reports to."""
    restarts: tuple[ReplicaRestart, ...] = ()
    """The newest lives of replicas that have started again lately."""
    crashes: tuple[ReplicaCrash, ...] = ()
    survivals: tuple[RequestSurvival, ...] = ()
    pledge: Pledge | None = None
    """To whom the sender's group gives its shares of limits; None if it doesn't say."""
    replica_limits: tuple[ReplicaLimitUpdate, ...] = ()
    """Limits of replicas that have changed lately."""


class ViewRecords(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Records of one topic from `since` up to `end`."""

    topic: Topic
    since: int
    end: int
    is_whole: bool
    records: tuple[KeyedRecord, ...]
    answer: StoreReadUpdate | None = None


class LimitKind(enum.StrEnum):
    """What a limit is of."""

    CUSTOMER = "c"
    REPLICA = "r"


Credit = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
"""An amount in the unit of a limit, neither infinite nor no number."""


class CreditAsk(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """A node needs credit of a limit's home; passed on by one hub at most."""

    origin: NodeName
    number: int
    subject: str
    wanted: Credit
    least: Credit
    """Cost of the first request; less is of no use."""
    returned: Credit
    """Credit of before that was not used."""
    kind: LimitKind = LimitKind.CUSTOMER


class CreditAnswer(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """A home's answer to a node that asked for credit."""

    origin: NodeName
    number: int
    subject: str
    granted: Credit
    closed_ms: DurationMs
    """Time until the home grants anything again; 0 if it does now."""
    retry_ms: DurationMs
    kind: LimitKind = LimitKind.CUSTOMER


LinkMessage = NodeStatus | ViewRecords | CreditAsk | CreditAnswer


def encode_link_message(message: LinkMessage) -> bytes:
    """Return the bytes of one message."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_link_message(data: bytes) -> LinkMessage:
    """Return the message in some bytes, or raise MessageInvalidError."""
    message: LinkMessage = decode_cbor(data, LinkMessage)
    return message
