"""Name what a node that relays calls needs from outside.

Whoever speaks to callers' headers, the store and replicas implements it.

All names and formats of the outside stay behind them; what passes is typed.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from toucanyard.crash_watch import Reach
from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.names import Address, Fingerprint, ReplicaId
from toucanyard.node_records import NodeRecord
from toucanyard.quarantine import QuarantinedRequest
from toucanyard.relay_events import PromptBlockChange, ReplicaState, WeightsOrder
from toucanyard.relay_requests import Prompt, RelayDispatch, RelayRequest
from toucanyard_node.http_client import Headers, ResponseHead
from toucanyard_node.http_exchange import HttpRequest


class CallFacts(msgspec.Struct, frozen=True):
    """What a caller's headers say."""

    caller_id: str
    """The caller's name for this try."""
    key: str
    """Empty without one."""
    deadline_ms: int | None
    prompt: Prompt | None
    last_event_id: str
    tokens: int | None = None
    """Prompt tokens and the most output tokens; None if the caller doesn't say."""


class AnswerFacts(msgspec.Struct, frozen=True):
    """What a replica's headers say."""

    caller_id: str
    is_signed: bool
    """Whether the replica vouches for the answer."""
    is_not_run: bool
    """Whether the replica says that it did not run the call."""
    incarnation: str
    """Which replica answered; empty if it doesn't say."""
    weights_version: int | None
    limit_per_s: float | None = None
    """Requests a second that the replica takes from all nodes; None without a limit."""
    invalid_limit: str = ""
    """What stands in the limit's place and can't be read."""


class CallInvalidError(Exception):
    """A caller's headers are missing or can't be read."""


class CallCodec(Protocol):
    """Reads and writes the headers of calls and answers."""

    def read_call(self, http: HttpRequest) -> CallFacts:
        """Return what a call's headers say, or raise CallInvalidError."""
        ...

    def build_headers(
        self,
        http: HttpRequest,
        request: RelayRequest,
        dispatch: RelayDispatch,
        left_ms: int,
        last_event_id: str,
    ) -> Headers:
        """Return all headers of a call to a replica but those of its length."""
        ...

    def read_answer(self, head: ResponseHead) -> AnswerFacts:
        """Return what an answer's headers say."""
        ...

    def filter_answer(self, head: ResponseHead) -> Headers:
        """Return the headers of an answer that its caller gets."""
        ...


class StoreError(Exception):
    """A call to the store had no result; `is_refused` if it surely did nothing."""

    def __init__(self, reason: str, *, is_refused: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_refused = is_refused


class RecordsGoneError(Exception):
    """The store has forgotten the records that were asked for."""


class LeaseConflictError(Exception):
    """An append to the turns failed its condition."""

    def __init__(self, end: int) -> None:
        super().__init__(f"the topic ends at {end}")
        self.end = end


class TopicPage(msgspec.Struct, frozen=True):
    """Records of a topic and where it ends."""

    records: tuple[KeyedRecord, ...]
    end: int


class PromptBlockPage(msgspec.Struct, frozen=True):
    """What a holder of parts has told since it was last asked."""

    epoch: int
    """Changes when the holder starts anew."""
    next_number: int
    is_lost: bool
    """Whether something between is missing."""
    changes: tuple[PromptBlockChange, ...]


class PromptBlockReader(Protocol):
    """Asks holders of parts what they keep."""

    async def read_prompt_blocks(
        self, address: Address, since: int, wait_ms: float
    ) -> PromptBlockPage | None:
        """Return what has changed; None without an answer."""
        ...


class Store(Protocol):
    """The platform's store; every method may raise StoreError."""

    async def read_newest(self, topic: Topic) -> TopicPage:
        """Return the newest record of each key; `end` is from before the read."""
        ...

    async def read_since(self, topic: Topic, offset: int, wait_ms: float) -> TopicPage:
        """Return the records from an offset on, waiting for one if asked to.

        Raise RecordsGoneError if some of them are gone.
        """
        ...

    async def append_node(self, record: NodeRecord) -> int:
        """Write where a node can be reached; return the record's offset."""
        ...

    async def write_quarantine(self, request: QuarantinedRequest) -> None:
        """Write a request under quarantine, in place of an older record of it."""
        ...

    async def erase_quarantine(self, fingerprint: Fingerprint) -> None:
        """Remove the record of a request under quarantine."""
        ...

    async def read_leases(self, offset: int) -> tuple[Sequence[tuple[int, bytes]], int]:
        """Return the turns' records from an offset on, and where they end."""
        ...

    async def append_lease(self, value: bytes, at: int) -> int:
        """Append if the turns end there; return the offset or raise TurnTakenError."""
        ...


class StateAnswer(msgspec.Struct, frozen=True):
    """What came of asking a replica for its state."""

    reach: Reach
    state: ReplicaState | None = None


class ReplicaControl(Protocol):
    """Asks replicas for their state and gives them orders."""

    async def read_state(self, address: Address, listed_as: ReplicaId) -> StateAnswer:
        """Return a replica's state, or what was found instead."""
        ...

    async def send_order(self, order: WeightsOrder) -> int | None:
        """Send an order; return the status, or None without an answer."""
        ...
