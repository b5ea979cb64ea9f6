"""Keep in the platform's store what nodes must know of streams beyond their lifetime.

The store holds the origins at which streams were begun, each recorded once, and, while
the streams of a route may have several origins, the tries that have begun. A node that
does not know a try reads both, and the replicas and routes: an answer shows what held
when its read was sent, however long this node has been out of step.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import Final

import cbor2
import msgspec

from toucanyard.cbor_messages import MessageInvalidError, decode_cbor
from toucanyard.keyed_view import Topic
from toucanyard.link_messages import PlacedStreams
from toucanyard.log_entries import LogEntry
from toucanyard.names import NodeName, ServiceName
from toucanyard.relay_events import (
    AppendTries,
    EraseOrigin,
    OriginErased,
    OriginWritten,
    ReadStreamRecords,
    StreamRecordsFailed,
    StreamRecordsRead,
    TriesAppended,
    WriteOrigin,
)
from toucanyard.software_versions import SoftwareVersions
from toucanyard.stream_origins import (
    KEY_BYTES,
    StreamKey,
    StreamOrigin,
    StreamOrigins,
)

MAX_WAIT_MS: Final = 500.0
"""Longest time for which a call waits for an answer to a read of the store."""
RETRY_MS: Final = 300.0
"""Time between two reads of which the first one failed."""
FAILING_MS: Final = 1_000.0
"""Time after a failed read in which no call waits for the next one."""
WRITE_RETRY_MS: Final = 1_000.0
"""The same for writes."""
READ_MS: Final = 100.0
"""Time between two reads in a full mesh; calls that arrive meanwhile share the next."""
LARGE_FLEET_READ_MS: Final = 250.0
"""The same in a larger fleet, whose nodes share the store's rate."""
APPEND_MS: Final = 25.0
"""Time between two appends of tries in a full mesh."""
LARGE_FLEET_APPEND_MS: Final = 500.0
"""The same in a larger fleet, whose nodes share the store's rate."""
MAX_TRIES: Final = 20_000
"""Tries kept for an append that has not succeeded, or until a second origin appears."""
MAX_APPENDED: Final = 8_000
"""Tries of one append."""
MAX_APPENDED_AGE_MS: Final = 20_000.0
"""Age up to which tries from before a second origin are appended once it appears."""
ERASE_MARGIN_MS: Final = 30_000.0
"""How long after its last possible stream an origin stays recorded, as far as the node
knows that erases it."""
REVIEW_MS: Final = 60_000.0
"""Time between two reads of the node that erases origins."""

_MAX_REASON: Final = 200
"""Maximum number of characters of an error reason in the log."""

StreamAction = ReadStreamRecords | WriteOrigin | EraseOrigin | AppendTries
StreamEvent = (
    StreamRecordsRead
    | StreamRecordsFailed
    | OriginWritten
    | OriginErased
    | TriesAppended
)


class RecordedTries(msgspec.Struct, frozen=True, array_like=True):
    """Tries that one node has begun, as they are appended to the store."""

    node: NodeName
    placed: tuple[PlacedStreams, ...]


class _Try(msgspec.Struct, frozen=True, gc=False):
    origin: StreamOrigin
    route: str
    services: tuple[ServiceName, ...]
    begun_ms: float


class StreamRecords:
    """What one node reads from the store about streams, and writes there.

    Invariants: one read and one append are open at a time; the number of tries kept is
    bounded; no call waits for a read for longer than MAX_WAIT_MS.
    """

    __slots__ = (
        "_append",
        "_appended_ms",
        "_asked_ms",
        "_era",
        "_failed_ms",
        "_is_full_mesh",
        "_is_open",
        "_is_wanted",
        "_log_entries",
        "_node",
        "_origins",
        "_recorded",
        "_topic_read_ms",
        "_tries",
        "_tries_from",
        "_unwritten",
        "_versions",
        "appended_count",
        "read_count",
        "records_read_ms",
    )

    def __init__(
        self,
        node: NodeName,
        versions: SoftwareVersions,
        origins: StreamOrigins,
        is_full_mesh: Callable[[], bool],
    ) -> None:
        self._node = node
        self._versions = versions
        self._origins = origins
        self._is_full_mesh = is_full_mesh
        self._is_wanted = True
        """Whether a read is to be sent; the first one is at the start."""
        self._is_open = False
        self._asked_ms = float("-inf")
        """When the last read was sent."""
        self._failed_ms: float | None = None
        """When the last read failed; None if it was answered."""
        self._era = 0
        self._tries_from = 0
        self._recorded: dict[StreamOrigin, float | None] = {}
        """Recorded origins, and since when no stream can have them."""
        self._unwritten: dict[StreamOrigin, float] = {}
        """Origins to be recorded, and when to try next."""
        self._tries: dict[StreamKey, _Try] = {}
        self._append: tuple[StreamKey, ...] = ()
        """The tries of the open append."""
        self._appended_ms = float("-inf")
        self._log_entries: list[LogEntry] = []
        self._topic_read_ms = dict.fromkeys(
            (Topic.OPERATOR, Topic.REPLICAS), float("-inf")
        )
        """When the newest answered read of a topic was sent."""
        self.records_read_ms = float("-inf")
        """When the newest answered read of the records of streams was sent."""
        self.read_count = 0
        self.appended_count = 0
        """Tries that the store has accepted."""

    # Reads.

    def request(self) -> None:
        """Ask for a read that is sent now or later."""
        self._is_wanted = True

    def is_read_since(self, since_ms: float) -> bool:
        """Return whether a read that was sent since a time has been answered."""
        return self.find_read_time() >= since_ms

    def find_read_time(self) -> float:
        """Return up to when this node knows of all origins that streams may have."""
        return min(self.records_read_ms, *self._topic_read_ms.values())

    def is_failing(self, now_ms: float) -> bool:
        """Return whether the store most likely does not answer now."""
        is_silent = self._is_open and now_ms - self._asked_ms >= MAX_WAIT_MS
        failed_ms = self._failed_ms
        return is_silent or (failed_ms is not None and now_ms - failed_ms < FAILING_MS)

    def may_be_read(self, since_ms: float, now_ms: float) -> bool:
        """Return whether a call that asked at a time should wait for an answer."""
        return now_ms < since_ms + MAX_WAIT_MS and not self.is_failing(now_ms)

    def record_topic_read(self, topic: Topic, asked_ms: float) -> None:
        """Record that the store has answered a read of replicas or routes."""
        if topic in self._topic_read_ms:
            before_ms = self._topic_read_ms[topic]
            self._topic_read_ms[topic] = max(before_ms, asked_ms)

    def _find_due_read(self, now_ms: float) -> Iterator[StreamAction]:
        if not self._is_wanted or self._is_open:
            return
        if self._failed_ms is not None and now_ms < self._failed_ms + RETRY_MS:
            return
        pause_ms = READ_MS if self._is_full_mesh() else LARGE_FLEET_READ_MS
        if now_ms < self._asked_ms + pause_ms:
            return
        self._is_wanted = False
        self._is_open = True
        self._asked_ms = now_ms
        self.read_count += 1
        yield ReadStreamRecords(self._tries_from)

    # Tries of this node.

    def count_tries(self) -> int:
        """Return how many begun tries are kept."""
        return len(self._tries)

    def record_origin(self, origin: StreamOrigin, now_ms: float) -> None:
        """Record that streams may begin at an origin; the store keeps it."""
        if self._recorded.get(origin, now_ms) is not None:
            self._unwritten.setdefault(origin, now_ms)

    def record_begun(
        self,
        key: StreamKey,
        origin: StreamOrigin,
        route: str,
        services: tuple[ServiceName, ...],
        now_ms: float,
    ) -> None:
        """Record a try that has brought its first event: its origin is final."""
        self._tries.pop(key, None)
        self._tries[key] = _Try(origin, route, services, now_ms)
        if len(self._tries) > MAX_TRIES:
            del self._tries[next(iter(self._tries))]

    def _find_due_append(self, now_ms: float) -> Iterator[StreamAction]:
        """Append new tries of routes whose streams may have several origins."""
        is_mesh = self._is_full_mesh()
        interval_ms = APPEND_MS if is_mesh else LARGE_FLEET_APPEND_MS
        if self._append or not self._tries or now_ms - self._appended_ms < interval_ms:
            return
        self._appended_ms = now_ms
        routes = {(each.route, each.services) for each in self._tries.values()}
        is_several = {
            route: len(self._versions.find_origins(*route, now_ms)) > 1
            for route in routes
        }
        keys = [
            key
            for key, each in self._tries.items()
            if is_several[each.route, each.services]
            and now_ms - each.begun_ms <= MAX_APPENDED_AGE_MS
        ]
        self._append = tuple(keys[:MAX_APPENDED])
        if self._append:
            yield AppendTries(self._encode_tries(self._append))

    def _encode_tries(self, keys: Sequence[StreamKey]) -> bytes:
        by_origin: dict[StreamOrigin, list[StreamKey]] = {}
        for key in keys:
            by_origin.setdefault(self._tries[key].origin, []).append(key)
        placed = tuple(
            PlacedStreams(origin.service, origin.software_version, b"".join(found))
            for origin, found in by_origin.items()
        )
        tries = RecordedTries(self._node, placed)
        return cbor2.dumps(msgspec.to_builtins(tries, builtin_types=(bytes,)))

    # Results.

    def apply(self, event: StreamEvent, now_ms: float) -> None:
        """Handle the result of a read or a write."""
        match event:
            case StreamRecordsRead():
                self._apply_read(event, now_ms)
            case StreamRecordsFailed():
                self._is_open = False
                self._failed_ms = now_ms
                # What happened before the start of this node has to be known.
                self._is_wanted |= self.records_read_ms == float("-inf")
            case OriginWritten(origin=origin, is_done=True, era=era):
                self._unwritten.pop(origin, None)
                if era >= self._era:
                    self._recorded[origin] = None
            case OriginWritten(origin=origin):
                self._unwritten[origin] = now_ms + WRITE_RETRY_MS
            case OriginErased(origin=origin, is_done=is_done):
                if is_done:
                    self._recorded.pop(origin, None)
            case TriesAppended(is_done=is_done):
                self._finish_append(now_ms, is_done=is_done)

    def _finish_append(self, now_ms: float, *, is_done: bool) -> None:
        if not is_done:
            self._appended_ms = now_ms + WRITE_RETRY_MS
        else:
            self.appended_count += len(self._append)
            for key in self._append:
                self._tries.pop(key, None)
        self._append = ()

    def _apply_read(self, read: StreamRecordsRead, now_ms: float) -> None:
        self._is_open = False
        self._failed_ms = None
        if read.era != self._era:
            # The offset from which the tries were read is one of another copy.
            self.enter_era(read.era, now_ms)
            self._is_wanted = True
            return
        self.records_read_ms = max(self.records_read_ms, read.asked_ms)
        self._tries_from = read.tries_end
        self._recorded = {origin: self._recorded.get(origin) for origin in read.origins}
        self._versions.apply_recorded(read.origins, now_ms)
        for value in read.tries:
            self._apply_tries(value, now_ms)

    def enter_era(self, era: int, now_ms: float) -> None:
        """Read anew, and write again what a restored store may have lost."""
        if era <= self._era:
            return
        self._era = era
        self._tries_from = 0
        self._is_wanted = True
        placed = {each.origin for each in self._tries.values()}
        placed.update(
            origin
            for origin in self._recorded
            if self._versions.is_recent(origin, now_ms)
        )
        self._recorded.clear()
        self._unwritten.update(dict.fromkeys(placed, now_ms))

    def _apply_tries(self, value: bytes, now_ms: float) -> None:
        try:
            tries: RecordedTries = decode_cbor(value, RecordedTries)
        except MessageInvalidError as error:
            fields: dict[str, object] = {
                "topic": "tries",
                "reason": str(error)[:_MAX_REASON],
            }
            self._log_entries.append(LogEntry("record_invalid", fields))
            return
        for streams in tries.placed:
            origin = StreamOrigin(streams.service, streams.software_version)
            for begin in range(0, len(streams.keys) - KEY_BYTES + 1, KEY_BYTES):
                key = streams.keys[begin : begin + KEY_BYTES]
                self._origins.record_stored(key, origin, tries.node, now_ms)

    # Time.

    def settle(self, now_ms: float) -> Iterator[StreamAction | LogEntry]:
        """Return the reads and writes that are due, and what to log."""
        entries, self._log_entries = self._log_entries, []
        yield from entries
        yield from self._find_due_read(now_ms)
        for origin, due_ms in self._unwritten.items():
            if now_ms >= due_ms:
                self._unwritten[origin] = float("inf")
                yield WriteOrigin(origin)
        yield from self._find_due_append(now_ms)

    def refresh(self, now_ms: float, *, may_erase: bool) -> Iterator[StreamAction]:
        """Forget old tries; erase origins that no stream has, and record new ones."""
        oldest_ms = now_ms - MAX_APPENDED_AGE_MS
        open_keys = set(self._append)
        for key, each in list(self._tries.items()):
            if each.begun_ms >= oldest_ms:
                break
            if key not in open_keys:
                del self._tries[key]
        yield from self._review_recorded(now_ms, may_erase=may_erase)
        if may_erase:
            # Streams may begin at a listed version while the store accepts no record.
            for origin in self._versions.list_recent(now_ms):
                self.record_origin(origin, now_ms)
        if may_erase and now_ms - self._asked_ms >= REVIEW_MS:
            self.request()

    def _review_recorded(
        self, now_ms: float, *, may_erase: bool
    ) -> Iterator[StreamAction]:
        # This node need not have seen an origin that others have placed streams at.
        erased_ms = now_ms - self._versions.memory_ms - ERASE_MARGIN_MS
        for origin, unused_ms in list(self._recorded.items()):
            if self._versions.is_recent(origin, now_ms):
                if unused_ms is not None:
                    # Another node may have erased it meanwhile.
                    del self._recorded[origin]
            elif unused_ms is None:
                self._recorded[origin] = now_ms
            elif unused_ms <= erased_ms and may_erase:
                yield EraseOrigin(origin)
