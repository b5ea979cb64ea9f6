"""Keep a compact record of each decision, so that any of them can be asked about.

The node that decided keeps the record in a bounded ring; a request id names that
node, so another node knows whom to ask.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import msgspec

from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import CustomerName, EndpointName, RequestId
from toucanyard.placement import Score
from toucanyard.requests import EndingSeen

MAX_RECORDS: Final = 20_000
MAX_STEPS: Final = 24


class _Step(msgspec.Struct, frozen=True, gc=False, tag_field="kind"):
    """One step; the collector of cycles passes it over, as it can be in none.

    It would stop every stream for tens of milliseconds to look at all records.
    """


class Claimed(_Step, frozen=True, gc=False, tag="claimed"):
    """The key was won, so this node alone may dispatch."""

    at_ms: float


class Queued(_Step, frozen=True, gc=False, tag="queued"):
    """The request waits for a slot."""

    at_ms: float


class Sent(_Step, frozen=True, gc=False, tag="sent"):
    """The request was sent to an endpoint; `scores` starts with the chosen one."""

    at_ms: float
    endpoint: EndpointName
    attempt: int
    shared_blocks: int
    scores: tuple[Score, ...]


class Ended(_Step, frozen=True, gc=False, tag="ended"):
    """One dispatch ended."""

    at_ms: float
    endpoint: EndpointName
    ending: EndingSeen
    first_token_ms: float | None
    cached_tokens: int
    prompt_tokens: int


class Refused(_Step, frozen=True, gc=False, tag="refused"):
    """The request was refused."""

    at_ms: float
    error: ErrorKind
    ending: Ending
    text: str
    retry_after_ms: int


class Replayed(_Step, frozen=True, gc=False, tag="replayed"):
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

    Invariant: never more than `max_records` records of at most MAX_STEPS steps.
    """

    __slots__ = ("_max_records", "_records")

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self._max_records = max_records
        self._records: OrderedDict[RequestId, DecisionRecord] = OrderedDict()

    def open(self, record: DecisionRecord) -> None:
        """Start a record, and drop the oldest when the ring is full."""
        self._records[record.request_id] = record
        while len(self._records) > self._max_records:
            self._records.popitem(last=False)

    def add_step(self, request_id: RequestId, step: Step) -> None:
        """Append one step to a record that is still held."""
        record = self._records.get(request_id)
        if record is not None and len(record.steps) < MAX_STEPS:
            record.steps = (*record.steps, step)

    def find(self, request_id: RequestId) -> DecisionRecord | None:
        """Return the record of one request."""
        return self._records.get(request_id)
