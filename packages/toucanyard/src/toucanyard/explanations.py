"""Keep a compact record of each decision, to explain it on request.

The deciding node keeps the record in a bounded ring, older ones compressed. A request
id contains that node's name, so that other nodes know where to ask.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import msgspec

from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import CustomerName, EndpointName, RequestId
from toucanyard.packed_records import PackedRecords
from toucanyard.placement import Score
from toucanyard.requests import DispatchEnding

MAX_RECORDS: Final = 20_000
MAX_STEPS: Final = 24
MAX_OPEN: Final = 2_048
"""Newest records, which are not compressed: most of their requests are still in
progress."""
BATCH: Final = 64
"""Records compressed together, which takes about half a millisecond."""


class _Step(msgspec.Struct, frozen=True, gc=False, tag_field="kind"):
    """One step of a decision, excluded from cyclic garbage collection.

    A step can't be part of a reference cycle, and traversing all records would pause
    every stream for tens of milliseconds.
    """


class Claimed(_Step, frozen=True, tag="claimed"):
    """The node has won the claim on the key, so it alone may dispatch the request."""

    at_ms: float


class Queued(_Step, frozen=True, tag="queued"):
    """The request waits for a slot."""

    at_ms: float


class Sent(_Step, frozen=True, tag="sent"):
    """The request was sent to an endpoint; `scores` starts with the chosen one."""

    at_ms: float
    endpoint: EndpointName
    attempt: int
    shared_blocks: int
    scores: tuple[Score, ...]


class Ended(_Step, frozen=True, tag="ended"):
    """One dispatch ended."""

    at_ms: float
    endpoint: EndpointName
    ending: DispatchEnding
    first_token_ms: float | None
    cached_tokens: int
    prompt_tokens: int


class Refused(_Step, frozen=True, tag="refused"):
    """The request was refused."""

    at_ms: float
    error: ErrorKind
    ending: Ending
    text: str
    retry_after_ms: int


class Replayed(_Step, frozen=True, tag="replayed"):
    """The answer of an earlier attempt was returned again."""

    at_ms: float


Step = Claimed | Queued | Sent | Ended | Refused | Replayed


class DecisionRecord(msgspec.Struct, gc=False):
    """Decisions about one request, step by step."""

    request_id: RequestId
    customer: CustomerName
    configuration_version: int
    arrived_ms: float
    steps: tuple[Step, ...] = ()


class ExplanationRing:
    """Holds the newest records.

    Invariant: at most about `max_records` records (BATCH more) of at most MAX_STEPS
    steps each.
    """

    __slots__ = ("_late_steps", "_open", "_packed")

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        max_batches = max(max_records - MAX_OPEN, BATCH) // BATCH
        self._open: OrderedDict[RequestId, DecisionRecord] = OrderedDict()
        self._packed = PackedRecords(DecisionRecord, max_batches)
        self._late_steps: dict[RequestId, list[Step]] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._open) + len(self._packed)

    def open(self, record: DecisionRecord) -> None:
        """Start a record, compress older ones and drop the oldest if full."""
        self._open[record.request_id] = record
        if len(self._open) >= MAX_OPEN + BATCH:
            oldest = [self._open.popitem(last=False) for _ in range(BATCH)]
            ids, records = zip(*oldest, strict=True)
            for dropped in self._packed.pack(ids, records):
                self._late_steps.pop(dropped, None)

    def add_step(self, request_id: RequestId, step: Step) -> None:
        """Append a step to a record that is still held."""
        record = self._open.get(request_id)
        if record is not None:
            if len(record.steps) < MAX_STEPS:
                record.steps = (*record.steps, step)
        elif request_id in self._packed:
            # A stream may outlast the time that its record stays uncompressed, and its
            # end is what operators ask for most.
            late_steps = self._late_steps.setdefault(request_id, [])
            if len(late_steps) < MAX_STEPS:
                late_steps.append(step)

    def find(self, request_id: RequestId) -> DecisionRecord | None:
        """Return the record of one request."""
        record = self._open.get(request_id)
        if record is not None:
            return record
        found = self._packed.find(request_id)
        if found is not None:
            late_steps = self._late_steps.get(request_id, [])
            found.steps = (*found.steps, *late_steps)[:MAX_STEPS]
        return found
