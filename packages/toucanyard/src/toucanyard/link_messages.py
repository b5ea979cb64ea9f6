"""Messages between nodes that relay calls, and their encoding as CBOR.

Any message may be lost or duplicated: each carries state rather than changes, and the
next status shows what the receiver still lacks.
"""

from __future__ import annotations

import enum
from typing import Annotated

import cbor2
import msgspec

from toucanyard.cbor_messages import decode_cbor
from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.limit_delegations import ShareDelegation
from toucanyard.log_position import Era, LogPosition
from toucanyard.names import (
    EndpointName,
    Fingerprint,
    NodeName,
    ReplicaId,
    ServiceName,
    SoftwareVersion,
)

DurationMs = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
"""A duration, neither infinite nor NaN: receivers could not compute with these."""


class StoreReadUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The newest answer of the store that a node knows of."""

    read_id: int
    age_ms: DurationMs
    """Time since the read was started."""
    steady_ms: DurationMs
    """How long before that the store is known to have answered without interruption."""


class ViewStatus(msgspec.Struct, frozen=True, array_like=True):
    """Up to which offset a node has read one topic."""

    topic: Topic
    end: int
    answer: StoreReadUpdate | None = None
    """The store's newest answer, which contained nothing beyond `end`."""
    era: Era = 0
    """Era of the store in which the topic ended there."""
    unconfirmed: int = 0
    """Digest of what the node knows beyond the records of a restored store."""

    @property
    def position(self) -> LogPosition:
        """Return up to where the node has read the topic."""
        return LogPosition(self.era, self.end)


class ReplicaUsageReport(msgspec.Struct, frozen=True, array_like=True):
    """The calls that one node has running at one replica."""

    replica: EndpointName
    running: int
    tokens: int
    """Tokens that they occupy in the replica's memory."""
    unread_tokens: int
    """Prompt tokens that the replica has yet to read."""


class ReplicaUpdate(msgspec.Struct, frozen=True, array_like=True):
    """State of a replica that nodes know before the store shows it."""

    replica: EndpointName
    loading_left_ms: DurationMs
    """How long it accepts no new calls since it loads weights; 0 if it accepts them."""
    weights: tuple[tuple[str, int], ...]
    pause_id: int = 0
    """Id of the update that began or renewed the pause; 0 without a pause."""
    is_leaving: bool = False
    """Whether its responses say that it leaves."""
    weights_age_ms: DurationMs | None = None
    """Time since the replica's last statement about weights was received; None if the
    sender does not tell."""


class ReplicaLimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The rate limit that a replica stated in an answer; None if it has none now."""

    replica: EndpointName
    rate_per_s: Annotated[float, msgspec.Meta(ge=0, le=1e9)] | None
    age_ms: DurationMs
    """Time since the answer was received."""
    update_id: int


class ReplicaRestart(msgspec.Struct, frozen=True, array_like=True):
    """A replica that has restarted under the same name."""

    listed_as: ReplicaId
    born_ms: int
    """Start of its newest incarnation, by its own clock."""


WorkMs = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class SpeedReport(msgspec.Struct, frozen=True, array_like=True):
    """Samples of a replica's speed."""

    replica: EndpointName
    log_sum: Annotated[float, msgspec.Meta(ge=-1e6, le=1e6)]
    """Sum of the logarithms of the stated speeds."""
    samples: Annotated[int, msgspec.Meta(ge=1, le=1_000)]


class WorkReport(msgspec.Struct, frozen=True, array_like=True):
    """The work of prompts of one length group that have ended."""

    service: ServiceName
    is_short: bool
    calls: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    read_ms: WorkMs
    """Time that replicas take to read them."""
    slot_ms: WorkMs
    """Time for which they occupied a slot."""


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Samples that the receiver has not been sent before."""

    speeds: tuple[SpeedReport, ...] = ()
    work: tuple[WorkReport, ...] = ()


class PromptBlockRead(msgspec.Struct, frozen=True, array_like=True):
    """A prompt block that a replica has just read, or is about to read."""

    replica: EndpointName
    scope: str
    part: str
    tokens: int
    ready_in_ms: DurationMs


class TargetWeightsAge(msgspec.Struct, frozen=True, array_like=True):
    """How long a node has known the target weights of a model."""

    model: str
    version: int
    age_ms: DurationMs


class NodeUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A node that is alive, and whether it accepts callers."""

    node: NodeName
    is_ready: bool
    is_cut_off: bool = False
    """Whether it can reach no replica."""


class PromptStoreUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A prompt store that has recently answered a node."""

    store: EndpointName
    heard_age_ms: DurationMs
    epoch: int
    """Changes with each restart, after which the store is empty."""


class LostRun(msgspec.Struct, frozen=True, array_like=True):
    """A trait of requests that were running at a replica when the replica ended."""

    fingerprint: Fingerprint
    ran_ms: DurationMs
    """Time between the last dispatch of such a request and the crash."""
    has_progressed: bool = False
    """Whether the replica had been writing an answer to such a request for a while."""


class ReplicaCrash(msgspec.Struct, frozen=True, array_like=True):
    """A replica that ended while it ran requests."""

    replica: EndpointName
    age_ms: DurationMs
    runs: tuple[LostRun, ...]
    """The requests that were running there, as far as the sender knows."""


class RequestSurvival(msgspec.Struct, frozen=True, array_like=True):
    """A trait of a request that a replica survived, though other replicas crashed."""

    fingerprint: Fingerprint
    age_ms: DurationMs
    wrote_ms: DurationMs = 0.0
    """Time between the first event of the answer and its end."""


class Coverage(enum.StrEnum):
    """Whose calls the usage reports in a status include."""

    NOBODY = "n"
    """The status has no usage reports."""
    GROUP = "g"
    """Those of the sender and of the nodes that report to it."""
    FLEET = "f"
    """Those of all nodes, including the receiver."""


class NodeStatus(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """The status that a node sends to its peers several times a second."""

    is_ready: bool
    views: tuple[ViewStatus, ...]
    usage: tuple[ReplicaUsageReport, ...] = ()
    replica_updates: tuple[ReplicaUpdate, ...] = ()
    parts: tuple[PromptBlockRead, ...] = ()
    weight_targets: tuple[TargetWeightsAge, ...] = ()
    stores: tuple[PromptStoreUpdate, ...] = ()
    covers: Coverage = Coverage.GROUP
    nodes: tuple[NodeUpdate, ...] | None = None
    """The live nodes among those that it covers; None if the status has no list."""
    is_report: bool = False
    """Whether the receiver is the hub that the sender reports to."""
    restarts: tuple[ReplicaRestart, ...] = ()
    """The newest incarnations of replicas that have recently restarted."""
    crashes: tuple[ReplicaCrash, ...] = ()
    survivals: tuple[RequestSurvival, ...] = ()
    delegation: ShareDelegation | None = None
    """To whom the sender's group delegates its shares of limits; None if unstated."""
    replica_limits: tuple[ReplicaLimitUpdate, ...] = ()
    """Limits of replicas that have recently changed."""
    unreached: tuple[ServiceName, ...] = ()
    """Services of which the sender can reach no replica."""
    is_cut_off: bool = False
    """Whether the sender can reach no replica of any service."""
    brittleness: tuple[ReplicaLimitUpdate, ...] = ()
    """Replicas that have recently become brittle or sound; the rate is the number of
    rejections above which they end."""
    exchanges_origins: bool = False
    """Whether the sender understands messages about the origins of streams."""
    load: LoadReport | None = None
    """Speeds and work where replicas state their contention."""


class ViewRecords(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Records of one topic from `since` up to `end`."""

    topic: Topic
    since: int
    end: int
    is_whole: bool
    records: tuple[KeyedRecord, ...]
    """Those of an earlier era than the message are no longer in the store."""
    answer: StoreReadUpdate | None = None
    era: Era = 0
    """Era of the store in which `since` and `end` are offsets."""

    @property
    def position(self) -> LogPosition:
        """Return up to where the records cover the topic."""
        return LogPosition(self.era, self.end)


class LimitKind(enum.StrEnum):
    """What a limit is of."""

    CUSTOMER = "c"
    REPLICA = "r"


Credit = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
"""An amount in the unit of a limit, neither infinite nor NaN."""


Rank = Annotated[int, msgspec.Meta(ge=0, le=9)]
"""Priority of requests; 0 is the highest."""


class CreditAsk(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """A request to a limit's coordinator for credit; relayed by one hub at most."""

    origin: NodeName
    number: int
    subject: str
    wanted: Credit
    least: Credit
    """Cost of the first waiting request; a smaller grant is useless."""
    returned: Credit
    """Unused credit of earlier grants."""
    kind: LimitKind = LimitKind.CUSTOMER
    rank: Rank = 0
    """Rank of the requests that the credit is for."""


class CreditAnswer(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """A coordinator's answer to a credit request of a node."""

    origin: NodeName
    number: int
    subject: str
    granted: Credit
    denial_ms: DurationMs
    """Time until the coordinator grants credit again; 0 if it does now."""
    retry_ms: DurationMs
    kind: LimitKind = LimitKind.CUSTOMER
    rank: Rank = 0


class SoftwareVersionAge(msgspec.Struct, frozen=True, array_like=True):
    """A software version of a service, and when a replica of it was listed last."""

    service: ServiceName
    software_version: SoftwareVersion
    age_ms: DurationMs


class PlacedStreams(msgspec.Struct, frozen=True, array_like=True):
    """Streams that the sender has placed at one service and software version."""

    service: ServiceName
    software_version: SoftwareVersion
    keys: bytes
    """Keys of their tries, 8 bytes each."""


class OriginReport(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """Where the sender has placed streams."""

    placed: tuple[PlacedStreams, ...]
    versions: tuple[SoftwareVersionAge, ...] = ()
    """Versions of services that lately had several."""


StreamKeyBytes = Annotated[bytes, msgspec.Meta(min_length=8, max_length=8)]


class OriginAsk(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """A question for the origin of a stream; relayed by one hub at most."""

    key: StreamKeyBytes
    wants_confirmation: bool = False
    """Whether the sender needs to know all versions, which the store does not tell."""


class OriginAnswer(msgspec.Struct, frozen=True, array_like=True, tag="z"):
    """The answer to a question for an origin; no service if it is not known."""

    key: StreamKeyBytes
    service: ServiceName | None = None
    software_version: SoftwareVersion = SoftwareVersion("")
    is_ambiguous: bool = False
    confirmed: tuple[SoftwareVersionAge, ...] | None = None
    """All versions that recent streams may have, by a read of the store that was sent
    after the question; None if they are not known."""


OriginMessage = OriginReport | OriginAsk | OriginAnswer
LinkMessage = NodeStatus | ViewRecords | CreditAsk | CreditAnswer | OriginMessage


def encode_link_message(message: LinkMessage) -> bytes:
    """Encode one message."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_link_message(data: bytes) -> LinkMessage:
    """Decode one message, or raise MessageInvalidError."""
    message: LinkMessage = decode_cbor(data, LinkMessage)
    return message
