"""Follow the platform's log and emit its records in order, without gaps."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import msgspec
import structlog
import trio

from toucanyard.adaptive_log_timeout import AdaptiveLogTimeout
from toucanyard.core_events import LogExpired, LogRead, LogReadRestarted, LogStateSeen
from toucanyard.log_start import StartSearch
from toucanyard.names import Address
from toucanyard_node.log_client import (
    READ_MARGIN_MS,
    LogExpiredError,
    LogPage,
    LogTimeoutError,
    LogUnavailableError,
    PageTooLargeError,
    read_records,
)

_PAGE_RECORDS: Final = 1_000
_PAGE_SHRINK_FACTOR: Final = 10
_RETRY_INTERVAL_MS: Final = 250
_INITIAL_MARGIN_MS: Final = READ_MARGIN_MS
"""Initial response timeout in addition to the requested wait."""
_MIN_SEARCH_RECORDS: Final = 10_000
"""Below this many records, reading all is faster than searching for a start."""
_LOG: Final = structlog.get_logger()

LogEvent = LogRead | LogExpired | LogReadRestarted | LogStateSeen


class StartWindow(msgspec.Struct, frozen=True):
    """Span of the log to read, and a check whether that was not enough."""

    span_ms: float
    needs_older: Callable[[], bool]


async def follow_log(
    address: Address,
    wait_ms: int,
    emit: Callable[[LogEvent], None],
    start_window: StartWindow | None = None,
    append_log_timeout: AdaptiveLogTimeout | None = None,
) -> None:
    """Read the log until cancelled, from its first record or within a start window.

    `append_log_timeout` adapts to the latency of reads, so that no append has to time
    out first.
    """
    reader = _LogFollower(address, wait_ms, emit, start_window, append_log_timeout)
    await reader.run()


class _LogFollower:
    """Read position and availability of the log.

    Invariant: after LogExpired and LogReadRestarted, reads continue without a gap.
    """

    def __init__(
        self,
        address: Address,
        wait_ms: int,
        emit: Callable[[LogEvent], None],
        start_window: StartWindow | None,
        append_log_timeout: AdaptiveLogTimeout | None,
    ) -> None:
        self._address = address
        self._append_log_timeout = append_log_timeout
        self._wait_ms = wait_ms
        self._emit = emit
        self._start_window = start_window
        self._start: int | None = 0 if start_window is None else None
        self._limit = _PAGE_RECORDS
        self._is_log_available: bool | None = None
        self._delay_ms = 0.0
        """Latency of the last response without records, beyond the requested wait."""
        self._log_timeout = AdaptiveLogTimeout(_INITIAL_MARGIN_MS)

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                if self._start is None:
                    self._start = await self._find_start()
                await self._read(self._start)
            except LogExpiredError as error:
                self._emit(LogExpired(error.oldest))
                self._start = error.oldest
            except LogUnavailableError as error:
                if self._is_log_available is not False:
                    _LOG.warning("log_unavailable", error=str(error)[:200])
                    self._emit(LogStateSeen(False))
                self._is_log_available = False
                await trio.sleep(_RETRY_INTERVAL_MS / 1000)

    async def _find_start(self) -> int:
        """Return the first offset to read; report skipped records as a gap."""
        assert self._start_window is not None
        oldest, head = await self._find_range()
        if head - oldest <= _MIN_SEARCH_RECORDS:
            self._start_window = None
            return 0
        newest = (await self._fetch_page(head - 1, 1, 0)).records
        if not newest:
            raise LogUnavailableError("found no record before the log's end")
        search = StartSearch(oldest, newest[0], self._start_window.span_ms)
        while (probe := search.find_probe()) is not None:
            try:
                records = (await self._fetch_page(probe, 1, 0)).records
            except LogExpiredError as error:
                search.raise_oldest(error.oldest)
                continue
            search.apply_probe(probe, records[0].at_ms if records else None)
        _LOG.info("log_start_found", offset=search.start, oldest=oldest, head=head)
        if search.start == oldest:
            self._start_window = None
            return 0
        self._emit(LogExpired(search.start))
        return search.start

    async def _find_range(self) -> tuple[int, int]:
        try:
            page = await self._fetch_page(0, 1, 0)
        except LogExpiredError as error:
            return error.oldest, error.head
        return 0, page.head

    async def _read(self, start: int) -> None:
        asked_ms = trio.current_time() * 1000
        # The configuration is confirmed as of the time of the request. With a slow log,
        # the wait in addition to the delay would make it stale between two responses.
        wait_ms = (
            max(0, self._wait_ms - int(self._delay_ms)) if self._is_log_available else 0
        )
        try:
            page = await self._fetch_page(start, self._limit, wait_ms)
        except PageTooLargeError:
            self._reduce_page_size(start, asked_ms)
            return
        self._limit = _PAGE_RECORDS
        self._process_page(start, page, asked_ms)

    async def _fetch_page(self, start: int, limit: int, wait_ms: int) -> LogPage:
        log_timeout = self._log_timeout
        started_ms = trio.current_time() * 1000
        try:
            page = await read_records(
                self._address, start, limit, wait_ms, log_timeout.timeout_ms
            )
        except LogTimeoutError:
            # A slow log must not time out after the same interval every time.
            log_timeout.record_timeout()
            raise
        duration_ms = trio.current_time() * 1000 - started_ms
        log_timeout.record_answer(max(duration_ms - wait_ms, 0.0))
        if not page.records:
            self._delay_ms = max(duration_ms - wait_ms, 0.0)
            if self._append_log_timeout is not None:
                self._append_log_timeout.record_other_answer(self._delay_ms)
        return page

    def _process_page(self, start: int, page: LogPage, asked_ms: float) -> None:
        end = page.records[-1].offset + 1 if page.records else start
        self._emit(LogRead(start, end, page.records, page.head, asked_ms))
        self._start = end
        if end < page.head:
            return
        if not self._is_log_available:
            self._is_log_available = True
            _LOG.info("log_available", offset=end)
            self._emit(LogStateSeen(True))
        self._restart_if_incomplete()

    def _restart_if_incomplete(self) -> None:
        """Restart at the first record if the window contained no checkpoint.

        Checkpoints can be missing, for example because a record of an unknown kind
        halted all nodes. Without the older patches this node has no configuration.
        """
        if self._start_window is None or not self._start_window.needs_older():
            return
        _LOG.warning("log_read_again")
        self._start_window = None
        self._start = 0
        self._is_log_available = None
        # Claims can't be confirmed until then, so keyed requests are refused at once.
        self._emit(LogStateSeen(False))
        self._emit(LogReadRestarted())

    def _reduce_page_size(self, start: int, asked_ms: float) -> None:
        _LOG.warning("log_page_too_large", offset=start, limit=self._limit)
        if self._limit == 1:
            # No valid record is that large. The end of the log is not known yet.
            self._emit(LogRead(start, start + 1, (), start + 2, asked_ms))
            self._start = start + 1
        self._limit = max(1, self._limit // _PAGE_SHRINK_FACTOR)
