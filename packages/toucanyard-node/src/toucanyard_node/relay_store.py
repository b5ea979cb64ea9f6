"""Read the platform's store for the core and run its background jobs."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import structlog
import trio

from toucanyard.keyed_view import Topic
from toucanyard.log_position import START, LogPosition
from toucanyard.names import Fingerprint
from toucanyard.node_records import NodeRecord
from toucanyard.quarantine import (
    EraseQuarantine,
    QuarantinedRequest,
    WriteQuarantine,
)
from toucanyard.relay_core import RelayCore
from toucanyard.relay_events import (
    AnnounceNode,
    AppendLease,
    AppendTries,
    ConnectionProbed,
    EraseOrigin,
    LeaseAppended,
    LeaseRead,
    NodeAnnounced,
    OrderAnswered,
    ProbeConnection,
    QuarantineErased,
    QuarantineWritten,
    ReadLeases,
    ReadReplicaState,
    ReadStreamRecords,
    RelayEvent,
    ReplicaStateRead,
    StoreEraSeen,
    StoreFailed,
    TopicRead,
    WeightsOrder,
    WriteOrigin,
)
from toucanyard.store_schedule import POLL_LAG_MS
from toucanyard_node.http_client import ConnectionFailedError, connect
from toucanyard_node.relay_ports import (
    LeaseConflictError,
    RecordsGoneError,
    ReplicaControl,
    Store,
    StoreError,
    TopicPage,
)
from toucanyard_node.relay_task import BackgroundJob, RelayClient
from toucanyard_node.stream_record_jobs import StreamRecordJobs

CHECK_INTERVAL_S: Final = {Topic.REPLICAS: 0.05, Topic.NODES: 0.25, Topic.OPERATOR: 0.1}
"""Interval between checks whether a read of a topic is due."""
SPARSE_CHECK_INTERVAL_S: Final = 0.15
"""Minimum interval in a fleet without a full mesh, where few nodes read."""
MAX_SPARSE_CHECK_INTERVAL_S: Final = 0.3
"""Maximum interval there, since a reading node may have died meanwhile."""
PROBE_CONNECT_MS: Final = 150.0
"""Timeout of a probe's connect; a replica that can be reached accepts sooner."""
RETRY_DELAY_S: Final = 0.25
"""Pause after a failed read."""
MAX_RETRY_DELAY_S: Final = 1.0
_LOG: Final = structlog.get_logger()
T = TypeVar("T")


class _Poll:
    """A long poll in progress."""

    __slots__ = ("begun_ms", "missed_ms", "scope", "since", "topic")

    def __init__(self, topic: Topic, since: LogPosition, begun_ms: float) -> None:
        self.topic = topic
        self.since = since
        self.begun_ms = begun_ms
        self.scope = trio.CancelScope()
        self.missed_ms: float | None = None
        """When a record after `since` was first known without the poll returning it."""


class StoreReader:
    """Keeps the core's views of all topics up to date.

    Invariant: no record is skipped. A topic whose records were deleted before they were
    read is read again completely.
    """

    __slots__ = (
        "_client",
        "_core",
        "_era",
        "_failed_ms",
        "_is_down",
        "_needs_full_read",
        "_next_positions",
        "_poll",
        "_returned",
        "_running_reads",
        "_rng",
        "_store",
    )

    def __init__(
        self, core: RelayCore, client: RelayClient, store: Store, rng: random.Random
    ) -> None:
        self._core = core
        self._client = client
        self._store = store
        self._rng = rng
        self._needs_full_read = set(Topic)
        self._next_positions = dict.fromkeys(Topic, START)
        self._running_reads = Counter[Topic]()
        """Number of running reads per topic."""
        self._is_down = False
        self._era = 0
        """The last era that the core was told."""
        self._failed_ms = float("-inf")
        """When the last failed read ended."""
        self._returned = trio.Event()
        """Set when the store answers a read after others have failed."""
        self._poll: _Poll | None = None

    async def run(self) -> None:
        """Read until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_repeatedly, Topic.OPERATOR)
            for topic in Topic:
                nursery.start_soon(self._read_when_due, topic)

    async def read_now(self, topic: Topic) -> None:
        """Read a topic, though its view need not be old."""
        self._core.reads.record_read_started(topic, trio.current_time() * 1000)
        await self._read(topic, 0.0)

    async def _poll_repeatedly(self, topic: Topic) -> None:
        """Poll a rarely changing topic, so that changes arrive without delay."""
        pause_s = RETRY_DELAY_S
        while True:
            if await self._poll_once(topic):
                pause_s = RETRY_DELAY_S
                continue
            with trio.move_on_after(pause_s):
                await self._returned.wait()
            pause_s = min(2 * pause_s, MAX_RETRY_DELAY_S)

    async def _poll_once(self, topic: Topic) -> bool:
        """Return whether the poll was answered, or is lost and must be repeated."""
        now_ms = trio.current_time() * 1000
        self._core.reads.record_read_started(topic, now_ms)
        self._poll = poll = _Poll(topic, self._find_next_position(topic), now_ms)
        is_read = False
        with poll.scope:
            wait_ms = self._core.reads.compute_poll_wait(self._rng.random(), now_ms)
            is_read = await self._read(topic, wait_ms)
        self._poll = None
        if poll.scope.cancelled_caught:
            after_ms = round(trio.current_time() * 1000 - now_ms)
            _LOG.info("poll_lost", topic=topic.value, after_ms=after_ms)
            return True
        return is_read

    def _check_poll(self, now_ms: float) -> None:
        """Cancel a poll that misses a known record: its connection must be lost."""
        poll = self._poll
        if poll is None or self._core.exchange.views[poll.topic].end <= poll.since:
            return
        if poll.missed_ms is None:
            poll.missed_ms = now_ms
        elif now_ms - poll.missed_ms >= POLL_LAG_MS:
            poll.scope.cancel()

    def _find_next_position(self, topic: Topic) -> LogPosition:
        # Records received from a peer need not be read again.
        return max(self._core.exchange.views[topic].end, self._next_positions[topic])

    async def _read_when_due(self, topic: Topic) -> None:
        """Read a topic whenever its view becomes too old."""
        async with trio.open_nursery() as nursery:
            while True:
                now_ms = trio.current_time() * 1000
                self._report_era()
                if topic is Topic.OPERATOR:
                    self._check_poll(now_ms)
                if self._is_due(topic, now_ms):
                    self._core.reads.record_read_started(topic, now_ms)
                    self._running_reads[topic] += 1
                    nursery.start_soon(self._read_then_pause, topic)
                await trio.sleep(self._compute_check_interval(topic, now_ms))

    def _report_era(self) -> None:
        """Tell the core the store's era once any answer has stated a higher one."""
        if self._store.era > self._era:
            self._era = self._store.era
            self._client.send_event(StoreEraSeen(self._era))

    def _compute_check_interval(self, topic: Topic, now_ms: float) -> float:
        if self._core.node_directory.is_full_mesh():
            return CHECK_INTERVAL_S[topic]
        due_s = (self._core.reads.find_due(topic, now_ms) - now_ms) / 1000
        return min(
            max(due_s, SPARSE_CHECK_INTERVAL_S, CHECK_INTERVAL_S[topic]),
            MAX_SPARSE_CHECK_INTERVAL_S,
        )

    def _is_due(self, topic: Topic, now_ms: float) -> bool:
        is_due = self._core.reads.is_due(topic, now_ms)
        if self._running_reads[topic]:
            return is_due and self._core.reads.may_retry_read(topic, now_ms)
        if topic is Topic.OPERATOR:
            return is_due
        is_new = (
            topic in self._needs_full_read
            and self._core.exchange.views[topic].end == START
        )
        return is_new or is_due

    async def _read_then_pause(self, topic: Topic) -> None:
        if not await self._read(topic, 0.0):
            await trio.sleep(RETRY_DELAY_S)
        self._running_reads[topic] -= 1

    async def _read(self, topic: Topic, wait_ms: float) -> bool:
        asked_ms = trio.current_time() * 1000
        since = self._find_next_position(topic)
        is_first_read = topic in self._needs_full_read and since == START
        is_full_read = is_first_read or since.era < self._store.era
        try:
            if is_full_read:
                page = await self._store.read_newest(topic)
            else:
                page = await self._store.read_since(topic, since.offset, wait_ms)
            if not is_full_read and page.era != since.era:
                # The offset belongs to other records in a restored store.
                is_full_read = True
                page = await self._store.read_newest(topic)
        except RecordsGoneError:
            _LOG.info(
                "records_gone",
                topic=topic.value,
                since=since.offset,
                era=self._store.era,
            )
            page_or_none = await self._read_again(topic)
            if page_or_none is None:
                return False
            page, is_full_read = page_or_none, True
        except StoreError as error:
            self._record_failure(topic.value, error, asked_ms)
            return False
        self._record_success()
        self._needs_full_read.discard(topic)
        seen_ms = asked_ms
        if not is_full_read:
            # There was no earlier record than the one waited for, or none until the end
            # of the wait.
            now_ms = trio.current_time() * 1000
            seen_ms = now_ms if wait_ms and page.records else asked_ms + wait_ms
            seen_ms = min(seen_ms, now_ms)
        self._client.send_event(
            TopicRead(
                topic,
                page.records,
                page.end,
                is_full_read,
                seen_ms,
                wait_ms > 0.0,
                page.era,
            )
        )
        # The core may not have applied the page when the next read looks up its offset.
        before = self._next_positions[topic]
        self._next_positions[topic] = max(page.position, before)
        # A whole read that does not pass the position before would be sent again at
        # once, since the next read from there fails too.
        return not is_full_read or is_first_read or page.position > since

    async def _read_again(self, topic: Topic) -> TopicPage | None:
        asked_ms = trio.current_time() * 1000
        try:
            return await self._store.read_newest(topic)
        except StoreError as error:
            self._record_failure(topic.value, error, asked_ms)
            return None

    def _record_failure(self, purpose: str, error: StoreError, asked_ms: float) -> None:
        if not error.is_oversized:
            if not self._is_down:
                _LOG.warning("store_lost", purpose=purpose, reason=error.reason)
            self._is_down = True
            self._failed_ms = trio.current_time() * 1000
        self._client.send_event(StoreFailed(purpose, error.reason, asked_ms))

    def _record_success(self) -> None:
        if not self._is_down:
            return
        _LOG.info("store_back")
        self._is_down = False
        self._returned.set()
        self._returned = trio.Event()
        if self._poll is not None and self._poll.begun_ms <= self._failed_ms:
            # The store may have gone silent on its connection.
            self._poll.scope.cancel()


class BackgroundJobRunner:
    """Runs the core's jobs at the store and at replicas and reports the results."""

    __slots__ = ("_client", "_control", "_store", "_stream_records")

    def __init__(
        self,
        client: RelayClient,
        store: Store,
        control: ReplicaControl,
        stream_records: StreamRecordJobs,
    ) -> None:
        self._client = client
        self._store = store
        self._control = control
        self._stream_records = stream_records

    async def run(self, jobs: trio.MemoryReceiveChannel[BackgroundJob]) -> None:
        """Run jobs until cancelled, each in a separate task."""
        async with trio.open_nursery() as nursery:
            async for job in jobs:
                nursery.start_soon(self._run_job, job)

    async def _run_job(self, job: BackgroundJob) -> None:
        asked_ms = trio.current_time() * 1000
        try:
            event = await self._execute(job)
        except Exception as error:
            event = _build_failed(job, asked_ms)
            if event is None:
                raise
            # An error in a request to one replica must not end the calls at all others.
            _LOG.exception("replica_job_failed", job=job, error=repr(error)[:200])
        if event is not None:
            self._client.send_event(event)

    async def _execute(self, job: BackgroundJob) -> RelayEvent | None:
        match job:
            case ReadLeases(from_offset=offset):
                return await self._read_leases(offset)
            case AppendLease():
                return await self._append_lease(job)
            case ReadReplicaState(replica=replica, listed_as=listed_as):
                asked_ms = trio.current_time() * 1000
                answer = await self._control.read_state(job.address, listed_as)
                self._client.report_statement(replica, answer.statement)
                return ReplicaStateRead(replica, answer.state, asked_ms, answer.reach)
            case ProbeConnection():
                return await _probe_connection(job)
            case WeightsOrder():
                return await self._send_order(job)
            case WriteQuarantine(request=request):
                return await self._write_quarantine(request)
            case EraseQuarantine(fingerprint=fingerprint):
                return await self._erase_quarantine(fingerprint)
            case AnnounceNode(record=record):
                return await self._announce_node(record)
            case ReadStreamRecords() | WriteOrigin() | EraseOrigin() | AppendTries():
                await self._stream_records.run(job)
                return None

    async def _read_leases(self, offset: int) -> RelayEvent | None:
        asked_ms = trio.current_time() * 1000
        try:
            page = await self._store.read_leases(offset)
        except StoreError as error:
            return StoreFailed("turns", error.reason, asked_ms)
        return LeaseRead(page.records, page.end.offset, page.end.era)

    async def _append_lease(self, job: AppendLease) -> RelayEvent:
        sent_ms = trio.current_time() * 1000
        try:
            position = await self._store.append_lease(job.value, job.at)
        except LeaseConflictError as error:
            end = error.end
            return LeaseAppended(None, sent_ms, end.offset, end.era, job.era)
        except StoreError as error:
            self._client.send_event(StoreFailed("turn", error.reason, sent_ms))
            return LeaseAppended(None, sent_ms, None, self._store.era, job.era)
        _LOG.info(
            "turn_taken",
            offset=position.offset,
            era=position.era,
            at=job.at,
            at_era=job.era,
        )
        return LeaseAppended(position.offset, sent_ms, None, position.era, job.era)

    async def _write_quarantine(self, request: QuarantinedRequest) -> RelayEvent:
        asked_ms = trio.current_time() * 1000
        try:
            position = await self._store.write_quarantine(request)
        except StoreError as error:
            return StoreFailed("quarantine", error.reason, asked_ms)
        _LOG.info("quarantine_written", fingerprint=request.fingerprint)
        return QuarantineWritten(request.fingerprint, position.era)

    async def _erase_quarantine(self, fingerprint: Fingerprint) -> RelayEvent:
        asked_ms = trio.current_time() * 1000
        try:
            position = await self._store.erase_quarantine(fingerprint)
        except StoreError as error:
            return StoreFailed("quarantine", error.reason, asked_ms)
        _LOG.info("quarantine_erased", fingerprint=fingerprint)
        return QuarantineErased(fingerprint, position.era)

    async def _announce_node(self, record: NodeRecord) -> RelayEvent:
        asked_ms = trio.current_time() * 1000
        try:
            position = await self._store.append_node(record)
        except StoreError as error:
            return StoreFailed("announce", error.reason, asked_ms)
        return NodeAnnounced(position.era)

    async def _send_order(self, order: WeightsOrder) -> RelayEvent:
        reply = await self._control.send_order(order)
        self._client.report_statement(order.replica, reply.statement)
        _LOG.info(
            "order_sent",
            replica=order.replica,
            model=order.model,
            version=order.version,
            fence=order.fence,
            expected_orders=order.expected_order_count,
            status=reply.status,
        )
        return OrderAnswered(order, reply.status)


def _build_failed(job: BackgroundJob, asked_ms: float) -> RelayEvent | None:
    """Return the event of a request to a replica that got no answer.

    None for a job that isn't such a request.
    """
    match job:
        case ReadReplicaState(replica=replica):
            return ReplicaStateRead(replica, None, asked_ms)
        case ProbeConnection(replica=replica):
            return ConnectionProbed(replica, False, asked_ms)
        case WeightsOrder():
            return OrderAnswered(job, None)
        case _:
            return None


async def _probe_connection(probe: ProbeConnection) -> ConnectionProbed:
    begun_ms = trio.current_time() * 1000
    try:
        connection = await connect(probe.address, PROBE_CONNECT_MS)
    except ConnectionFailedError as error:
        _LOG.info("probe_failed", replica=probe.replica, reason=str(error)[:100])
        return ConnectionProbed(probe.replica, False, begun_ms)
    await connection.close()
    return ConnectionProbed(probe.replica, True, begun_ms)


async def retry_until_success(attempt: Callable[[], Awaitable[T]], purpose: str) -> T:
    """Return the result of a store call, retrying until it succeeds."""
    pause_s = RETRY_DELAY_S
    while True:
        try:
            return await attempt()
        except StoreError as error:
            _LOG.warning("store_call_failed", purpose=purpose, reason=error.reason)
        await trio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_RETRY_DELAY_S)
