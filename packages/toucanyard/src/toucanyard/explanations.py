"""Keep a compact record of each decision, so that any of them can be asked about.

The node that decided keeps the record in a bounded ring, older ones packed; a request
id names that node, so another node knows whom to ask.
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
"""Newest records, which are not packed: most of their requests are still under way."""
BATCH: Final = 64
"""Records packed together; packing them takes about half a millisecond."""


class _Step(msgspec.Struct, frozen=True, gc=False, tag_field="kind"):
    """One step; the collector of cycles passes it over, as it can be in none.

    It would stop every stream for tens of milliseconds to look at all records.
    """


class Claimed(_Step, frozen=True, tag="claimed"):
    """The key was won, so this node alone may dispatch."""

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
    """An earlier try's answer was given again."""

    at_ms: float


Step = Claimed | Queued | Sent | Ended | Refused | Replayed


class DecisionRecord(msgspec.Struct, gc=False):
    """What was decided about one request, step by step."""

    request_id: RequestId
    customer: CustomerName
    configuration_version: int
    arrived_ms: float
    steps: tuple[Step, ...] = ()


class ExplanationRing:
    """Hold the newest records.

    Invariant: about `max_records` records, at most BATCH more, of at most MAX_STEPS
    steps each.
    """

    __slots__ = ("_late", "_open", "_packed")

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        max_batches = max(max_records - MAX_OPEN, BATCH) // BATCH
        self._open: OrderedDict[RequestId, DecisionRecord] = OrderedDict()
        self._packed = PackedRecords(DecisionRecord, max_batches)
        self._late: dict[RequestId, list[Step]] = {}

    def __len__(self) -> int:
        """Return how many records are held."""
        return len(self._open) + len(self._packed)

    def open(self, record: DecisionRecord) -> None:
        """Start a record, pack older ones and drop the oldest when the ring is full."""
        self._open[record.request_id] = record
        if len(self._open) >= MAX_OPEN + BATCH:
            oldest = [self._open.popitem(last=False) for _ in range(BATCH)]
            ids, records = zip(*oldest, strict=True)
            for dropped in self._packed.pack(ids, records):
                self._late.pop(dropped, None)

    def add_step(self, request_id: RequestId, step: Step) -> None:
        """Append one step to a record that is still held."""
        record = self._open.get(request_id)
        if record is not None:
            if len(record.steps) < MAX_STEPS:
                record.steps = (*record.steps, step)
        elif request_id in self._packed:
            # A stream may last longer than its record stays unpacked; how it ended is
            # what is asked about most.
            late = self._late.setdefault(request_id, [])
            if len(late) < MAX_STEPS:
                late.append(step)

    def find(self, request_id: RequestId) -> DecisionRecord | None:
        """Return the record of one request."""
        record = self._open.get(request_id)
        if record is not None:
            return record
        found = self._packed.find(request_id)
        if found is not None:
            late = self._late.get(request_id, [])
            found.steps = (*found.steps, *late)[:MAX_STEPS]
        return found
