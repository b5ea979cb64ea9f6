"""Interfaces of a relaying node to the platform, implemented by an adapter.

The adapter handles the headers of calls, the store and the replicas. It hides all
external names and formats; only typed values pass through these interfaces.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from toucanyard.crash_detector import Reachability
from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.log_position import LogPosition
from toucanyard.names import Address, Fingerprint, ReplicaId
from toucanyard.node_records import NodeRecord
from toucanyard.quarantine import QuarantinedRequest
from toucanyard.relay_events import PromptBlockChange, ReplicaState, WeightsOrder
from toucanyard.relay_requests import Prompt, RelayDispatch, RelayRequest
from toucanyard.replica_statements import NO_STATEMENT, ReplicaStatement
from toucanyard.stream_origins import StreamOrigin
from toucanyard_node.http_client import Headers, ResponseHead
from toucanyard_node.http_exchange import HttpRequest


class CallFacts(msgspec.Struct, frozen=True):
    """Values from the headers of a call."""

    caller_id: str
    """The caller's id of this attempt."""
    key: str
    """Empty if the call has no key."""
    deadline_ms: int | None
    prompt: Prompt | None
    last_event_id: str
    resumed_id: str = ""
    """The caller's id of the attempt that began the stream to be resumed."""
    tokens: int | None = None
    """Sum of prompt tokens and maximum output tokens; None if not declared."""


class AnswerFacts(msgspec.Struct, frozen=True):
    """Values from the headers of a replica's answer."""

    caller_id: str
    is_signed: bool
    """Whether the replica signed the answer."""
    is_not_run: bool
    """Whether the replica declares that it did not run the call."""
    incarnation: str
    """Which replica answered; empty if not declared."""
    weights_version: int | None
    statement: ReplicaStatement = NO_STATEMENT


class CallInvalidError(Exception):
    """Headers of a call are missing or cannot be parsed."""


class CallCodec(Protocol):
    """Parses and builds the headers of calls and answers."""

    def read_call(self, http: HttpRequest) -> CallFacts:
        """Parse the headers of a call, or raise CallInvalidError."""
        ...

    def build_headers(
        self,
        http: HttpRequest,
        request: RelayRequest,
        dispatch: RelayDispatch,
        remaining_ms: int,
        last_event_id: str,
    ) -> Headers:
        """Return all headers of a call to a replica except those of its length."""
        ...

    def read_answer(self, head: ResponseHead) -> AnswerFacts:
        """Parse the headers of an answer."""
        ...

    def filter_answer(self, head: ResponseHead) -> Headers:
        """Return the headers of an answer that are forwarded to the caller."""
        ...


class StoreError(Exception):
    """A store call failed; `is_refused` if it certainly had no effect.

    `is_oversized`: the store answers, but with more than a bound allows.
    """

    def __init__(
        self, reason: str, *, is_refused: bool = False, is_oversized: bool = False
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_refused = is_refused
        self.is_oversized = is_oversized


class RecordsGoneError(Exception):
    """The store has none of the requested records.

    It has deleted them, or they are those of a copy that has been replaced.
    """


class LeaseConflictError(Exception):
    """The condition of an append to the lease topic failed."""

    def __init__(self, end: LogPosition) -> None:
        super().__init__(f"the topic ends at {end.offset} in era {end.era}")
        self.end = end


class TopicPage(msgspec.Struct, frozen=True):
    """Records of a topic and its end offset."""

    records: tuple[KeyedRecord, ...]
    end: int
    era: int = 0
    """Era of the store that returned them."""

    @property
    def position(self) -> LogPosition:
        """Return up to where the records cover the topic."""
        return LogPosition(self.era, self.end)


class LeasePage(msgspec.Struct, frozen=True):
    """Records of the lease topic, each with its offset, and the topic's end."""

    records: tuple[tuple[int, bytes], ...]
    end: LogPosition


class PromptBlockPage(msgspec.Struct, frozen=True):
    """Changes reported by a holder of prompt blocks since the last call."""

    epoch: int
    """Changes when the holder restarts."""
    next_number: int
    is_lost: bool
    """Whether changes since the last call are missing."""
    changes: tuple[PromptBlockChange, ...]


class PromptBlockAnswer(msgspec.Struct, frozen=True):
    """Result of reading prompt blocks; no page if there was none."""

    page: PromptBlockPage | None
    statement: ReplicaStatement = NO_STATEMENT
    retry_ms: float = 0.0
    """Minimum time before the next call to this holder."""


class PromptBlockReader(Protocol):
    """Reads from holders which prompt blocks they store."""

    async def read_prompt_blocks(
        self, address: Address, since: int, wait_ms: float
    ) -> PromptBlockAnswer:
        """Return the changes since an event number."""
        ...


class Store(Protocol):
    """The platform's store; every method may raise StoreError."""

    @property
    def era(self) -> int:
        """Return the highest era that any answer has stated; 0 if none has."""
        ...

    async def read_newest(self, topic: Topic) -> TopicPage:
        """Return the newest record of each key; `end` was determined before."""
        ...

    async def read_since(self, topic: Topic, offset: int, wait_ms: float) -> TopicPage:
        """Return the records from an offset on, waiting for one if requested.

        Raise RecordsGoneError if some of them have been deleted.
        """
        ...

    async def append_node(self, record: NodeRecord) -> LogPosition:
        """Write the addresses of a node; return the position of the record."""
        ...

    async def write_quarantine(self, request: QuarantinedRequest) -> LogPosition:
        """Write a request under quarantine; return the position of the record."""
        ...

    async def erase_quarantine(self, fingerprint: Fingerprint) -> LogPosition:
        """Remove the record of a request; return the position of the removal."""
        ...

    async def read_leases(self, offset: int) -> LeasePage:
        """Return the lease records from an offset on, or from the first one left."""
        ...

    async def append_lease(self, value: bytes, at: int) -> LogPosition:
        """Append at offset `at`, or raise LeaseConflictError; return the position."""
        ...


class OriginPage(msgspec.Struct, frozen=True):
    """All recorded origins of streams, and the era of the store that listed them."""

    origins: tuple[StreamOrigin, ...]
    era: int


class TriesPage(msgspec.Struct, frozen=True):
    """Encoded tries that nodes have appended, and the offset after the last one."""

    values: tuple[bytes, ...]
    end: int
    era: int


class StreamRecordStore(Protocol):
    """The store's records of streams; every method may raise StoreError.

    The writing methods return the era of the store that accepted the record.
    """

    async def read_origins(self) -> OriginPage:
        """Return all recorded origins."""
        ...

    async def write_origin(self, origin: StreamOrigin) -> int:
        """Record an origin."""
        ...

    async def erase_origin(self, origin: StreamOrigin) -> int:
        """Remove the record of an origin."""
        ...

    async def read_tries(self, offset: int) -> TriesPage:
        """Return the tries from an offset on, or from the first one left."""
        ...

    async def append_tries(self, value: bytes) -> int:
        """Append encoded tries."""
        ...


class StateAnswer(msgspec.Struct, frozen=True):
    """Result of reading the state of a replica."""

    reach: Reachability
    state: ReplicaState | None = None
    statement: ReplicaStatement = NO_STATEMENT


class OrderReply(msgspec.Struct, frozen=True):
    """A replica's response to an order; no status if there was none."""

    status: int | None
    statement: ReplicaStatement = NO_STATEMENT


class ReplicaControl(Protocol):
    """Reads the state of replicas and sends them orders."""

    async def read_state(self, address: Address, listed_as: ReplicaId) -> StateAnswer:
        """Return the state of a replica, or why it could not be read."""
        ...

    async def send_order(self, order: WeightsOrder) -> OrderReply:
        """Send an order and return the replica's response."""
        ...
