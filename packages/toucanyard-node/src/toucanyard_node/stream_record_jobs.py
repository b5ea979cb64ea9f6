"""Read and write the store's records of streams for the core."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import structlog
import trio

from toucanyard.keyed_view import Topic
from toucanyard.relay_events import (
    AppendTries,
    EraseOrigin,
    OriginErased,
    OriginWritten,
    ReadStreamRecords,
    RelayEvent,
    StoreFailed,
    StreamRecordsFailed,
    StreamRecordsRead,
    TriesAppended,
    WriteOrigin,
)
from toucanyard.stream_records import StreamAction
from toucanyard_node.relay_ports import (
    OriginPage,
    StoreError,
    StreamRecordStore,
    TriesPage,
)

_LOG: Final = structlog.get_logger()


class StreamRecordJobs:
    """Runs the core's jobs that concern the store's records of streams."""

    __slots__ = ("_read_topic", "_send_event", "_store")

    def __init__(
        self,
        store: StreamRecordStore,
        read_topic: Callable[[Topic], Awaitable[object]],
        send_event: Callable[[RelayEvent], None],
    ) -> None:
        """`read_topic` reads a topic and sends the core what it has read."""
        self._store = store
        self._read_topic = read_topic
        self._send_event = send_event

    async def run(self, job: StreamAction) -> None:
        """Run one job and send its result to the core."""
        match job:
            case ReadStreamRecords(tries_from=offset):
                await self._read(offset)
            case WriteOrigin(origin=origin):
                era = await self._try("origin", self._store.write_origin, origin)
                self._send_event(OriginWritten(origin, era is not None, era or 0))
                _LOG.info(
                    "origin_written",
                    service=origin.service,
                    software=origin.software_version,
                    is_done=era is not None,
                )
            case EraseOrigin(origin=origin):
                era = await self._try("origin", self._store.erase_origin, origin)
                self._send_event(OriginErased(origin, era is not None))
                _LOG.info(
                    "origin_erased",
                    service=origin.service,
                    software=origin.software_version,
                    is_done=era is not None,
                )
            case AppendTries(value=value):
                era = await self._try("tries", self._store.append_tries, value)
                self._send_event(TriesAppended(era is not None))

    async def _try(
        self, purpose: str, write: Callable[..., Awaitable[int]], value: object
    ) -> int | None:
        """Return the era of the store that accepted a value; None if it failed."""
        sent_ms = trio.current_time() * 1000
        try:
            return await write(value)
        except StoreError as error:
            self._send_event(StoreFailed(purpose, error.reason, sent_ms))
            return None

    async def _read(self, tries_from: int) -> None:
        """Read the list of replicas, the origins and the tries at the same time."""
        asked_ms = trio.current_time() * 1000
        origins: list[OriginPage] = []
        tries: list[TriesPage] = []

        async def read_origins() -> None:
            origins.append(await self._store.read_origins())

        async def read_tries() -> None:
            tries.append(await self._store.read_tries(tries_from))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_topic, Topic.REPLICAS)
            nursery.start_soon(self._catch, "origins", read_origins, asked_ms)
            nursery.start_soon(self._catch, "tries", read_tries, asked_ms)
        if not origins or not tries or origins[0].era != tries[0].era:
            self._send_event(StreamRecordsFailed())
            return
        self._send_event(
            StreamRecordsRead(
                asked_ms,
                origins[0].origins,
                tries[0].values,
                tries[0].end,
                origins[0].era,
            )
        )

    async def _catch(
        self, purpose: str, read: Callable[[], Awaitable[None]], asked_ms: float
    ) -> None:
        try:
            await read()
        except StoreError as error:
            self._send_event(StoreFailed(purpose, error.reason, asked_ms))
