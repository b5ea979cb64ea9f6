"""Read the platform's store for the core, and run the errands that it asks for."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import structlog
import trio

from toucanyard.keyed_view import Topic
from toucanyard.names import Fingerprint
from toucanyard.quarantine import (
    EraseQuarantine,
    QuarantinedRequest,
    WriteQuarantine,
)
from toucanyard.relay_core import RelayCore
from toucanyard.relay_events import (
    AppendTurn,
    OrderAnswered,
    QuarantineErased,
    QuarantineWritten,
    ReadReplicaState,
    ReadTurns,
    RelayEvent,
    ReplicaStateRead,
    StoreFailed,
    TopicRead,
    TurnAppended,
    TurnRead,
    WeightsOrder,
)
from toucanyard_node.relay_ports import (
    RecordsGoneError,
    ReplicaControl,
    Store,
    StoreError,
    TopicPage,
    TurnTakenError,
)
from toucanyard_node.relay_task import Errand, RelayClient

LOOK_S: Final = {Topic.REPLICAS: 0.05, Topic.NODES: 0.25}
"""Time between two looks at whether a read of a topic is due."""
FAR_LOOK_S: Final = 0.15
"""The least such time in a fleet that is not meshed, where few of many nodes read."""
MAX_FAR_LOOK_S: Final = 0.3
"""The longest such time there: who reads may have died since the last look."""
RETRY_S: Final = 0.25
"""Pause after a failed read."""
MAX_RETRY_S: Final = 1.0
_LOG: Final = structlog.get_logger()
T = TypeVar("T")


class StoreReader:
    """Keep the core's views of all topics up to date.

    Invariant: no record is passed over: a topic whose records were forgotten before
    they were read is read whole again.
    """

    __slots__ = (
        "_client",
        "_core",
        "_is_down",
        "_needs_whole",
        "_next",
        "_reading",
        "_store",
    )

    def __init__(self, core: RelayCore, client: RelayClient, store: Store) -> None:
        self._core = core
        self._client = client
        self._store = store
        self._needs_whole = set(Topic)
        self._next = dict.fromkeys(Topic, 0)
        self._reading = Counter[Topic]()
        """Reads of each topic that are not over."""
        self._is_down = False

    async def run(self) -> None:
        """Read until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll, Topic.OPERATOR)
            nursery.start_soon(self._watch, Topic.NODES)
            nursery.start_soon(self._watch, Topic.REPLICAS)

    async def _poll(self, topic: Topic) -> None:
        """Read a topic that seldom changes by reads that wait for a record."""
        pause_s = RETRY_S
        while True:
            wait_ms = self._core.reads.compute_poll_wait(trio.current_time() * 1000)
            if await self._read(topic, wait_ms):
                pause_s = RETRY_S
                continue
            await trio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_S)

    async def _watch(self, topic: Topic) -> None:
        """Read a topic that changes all the time once what is known is too old."""
        async with trio.open_nursery() as nursery:
            while True:
                now_ms = trio.current_time() * 1000
                if self._is_due(topic, now_ms):
                    self._core.reads.note_begun(topic, now_ms)
                    self._reading[topic] += 1
                    nursery.start_soon(self._read_and_rest, topic)
                await trio.sleep(self._find_look(topic, now_ms))

    def _find_look(self, topic: Topic, now_ms: float) -> float:
        if self._core.roster.is_full_mesh():
            return LOOK_S[topic]
        due_s = (self._core.reads.find_due(topic, now_ms) - now_ms) / 1000
        return min(max(due_s, FAR_LOOK_S, LOOK_S[topic]), MAX_FAR_LOOK_S)

    def _is_due(self, topic: Topic, now_ms: float) -> bool:
        is_due = self._core.reads.is_due(topic, now_ms)
        if self._reading[topic]:
            return is_due and self._core.reads.may_ask_again(topic, now_ms)
        is_new = topic in self._needs_whole and not self._core.exchange.views[topic].end
        return is_new or is_due

    async def _read_and_rest(self, topic: Topic) -> None:
        if not await self._read(topic, 0.0):
            await trio.sleep(RETRY_S)
        self._reading[topic] -= 1

    async def _read(self, topic: Topic, wait_ms: float) -> bool:
        asked_ms = trio.current_time() * 1000
        view = self._core.exchange.views[topic]
        # What a peer has told makes reading everything needless.
        since = max(view.end, self._next[topic])
        is_whole = topic in self._needs_whole and not since
        try:
            if is_whole:
                page = await self._store.read_newest(topic)
            else:
                page = await self._store.read_since(topic, since, wait_ms)
        except RecordsGoneError:
            _LOG.info("records_gone", topic=topic.value, since=since)
            page_or_none = await self._read_again(topic)
            if page_or_none is None:
                return False
            page, is_whole = page_or_none, True
        except StoreError as error:
            self._note_failure(topic.value, error, asked_ms)
            return False
        self._note_success()
        self._needs_whole.discard(topic)
        # A read that waited is as new as its answer, since nothing came before it.
        seen_ms = trio.current_time() * 1000 if wait_ms and page.records else asked_ms
        self._client.tell(TopicRead(topic, page.records, page.end, is_whole, seen_ms))
        # The core may not have taken it in when the next read asks where to go on.
        self._next[topic] = max(page.end, self._next[topic])
        return True

    async def _read_again(self, topic: Topic) -> TopicPage | None:
        asked_ms = trio.current_time() * 1000
        try:
            return await self._store.read_newest(topic)
        except StoreError as error:
            self._note_failure(topic.value, error, asked_ms)
            return None

    def _note_failure(self, purpose: str, error: StoreError, asked_ms: float) -> None:
        if not self._is_down:
            _LOG.warning("store_lost", purpose=purpose, reason=error.reason)
        self._is_down = True
        self._client.tell(StoreFailed(purpose, error.reason, asked_ms))

    def _note_success(self) -> None:
        if self._is_down:
            _LOG.info("store_back")
        self._is_down = False


class Errands:
    """Do what the core asks for at the store and at replicas, and tell how it went."""

    __slots__ = ("_client", "_control", "_store")

    def __init__(
        self, client: RelayClient, store: Store, control: ReplicaControl
    ) -> None:
        self._client = client
        self._store = store
        self._control = control

    async def run(self, errands: trio.MemoryReceiveChannel[Errand]) -> None:
        """Do errands until cancelled, each in a task of its own."""
        async with trio.open_nursery() as nursery:
            async for errand in errands:
                nursery.start_soon(self._do, errand)

    async def _do(self, errand: Errand) -> None:
        event = await self._carry_out(errand)
        if event is not None:
            self._client.tell(event)

    async def _carry_out(self, errand: Errand) -> RelayEvent | None:
        match errand:
            case ReadTurns(from_offset=offset):
                return await self._read_turns(offset)
            case AppendTurn():
                return await self._append_turn(errand)
            case ReadReplicaState(replica=replica, listed_as=listed_as):
                asked_ms = trio.current_time() * 1000
                answer = await self._control.read_state(errand.address, listed_as)
                return ReplicaStateRead(replica, answer.state, asked_ms, answer.reach)
            case WeightsOrder():
                return await self._send_order(errand)
            case WriteQuarantine(request=request):
                return await self._write_quarantine(request)
            case EraseQuarantine(fingerprint=fingerprint):
                return await self._erase_quarantine(fingerprint)

    async def _read_turns(self, offset: int) -> RelayEvent | None:
        asked_ms = trio.current_time() * 1000
        try:
            records, end = await self._store.read_turns(offset)
        except StoreError as error:
            return StoreFailed("turns", error.reason, asked_ms)
        return TurnRead(tuple(records), end)

    async def _append_turn(self, errand: AppendTurn) -> RelayEvent:
        sent_ms = trio.current_time() * 1000
        try:
            offset = await self._store.append_turn(errand.value, errand.at)
        except TurnTakenError as error:
            return TurnAppended(None, sent_ms, error.end)
        except StoreError as error:
            self._client.tell(StoreFailed("turn", error.reason, sent_ms))
            return TurnAppended(None, sent_ms)
        _LOG.info("turn_taken", offset=offset, at=errand.at)
        return TurnAppended(offset, sent_ms)

    async def _write_quarantine(self, request: QuarantinedRequest) -> RelayEvent:
        asked_ms = trio.current_time() * 1000
        try:
            await self._store.write_quarantine(request)
        except StoreError as error:
            return StoreFailed("quarantine", error.reason, asked_ms)
        _LOG.info("quarantine_written", fingerprint=request.fingerprint)
        return QuarantineWritten(request.fingerprint)

    async def _erase_quarantine(self, fingerprint: Fingerprint) -> RelayEvent:
        asked_ms = trio.current_time() * 1000
        try:
            await self._store.erase_quarantine(fingerprint)
        except StoreError as error:
            return StoreFailed("quarantine", error.reason, asked_ms)
        _LOG.info("quarantine_erased", fingerprint=fingerprint)
        return QuarantineErased(fingerprint)

    async def _send_order(self, order: WeightsOrder) -> RelayEvent:
        status = await self._control.send_order(order)
        _LOG.info(
            "order_sent",
            replica=order.replica,
            model=order.model,
            version=order.version,
            fence=order.fence,
            expected_orders=order.expected_order_count,
            status=status,
        )
        return OrderAnswered(order, status)


async def keep_trying(attempt: Callable[[], Awaitable[T]], purpose: str) -> T:
    """Return what a call to the store gives, trying again until it does."""
    pause_s = RETRY_S
    while True:
        try:
            return await attempt()
        except StoreError as error:
            _LOG.warning("store_call_failed", purpose=purpose, reason=error.reason)
        await trio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_RETRY_S)
