"""Follow the platform's log and pass its records on in order, without gaps."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import structlog
import trio

from toucanyard.core_events import LogExpired, LogRead, LogStateSeen
from toucanyard.names import Address
from toucanyard_node.log_client import (
    LogExpiredError,
    LogUnavailableError,
    PageTooLargeError,
    read_records,
)

_LIMIT: Final = 1_000
_SHRINK: Final = 10
_AGAIN_MS: Final = 250
_LOG: Final = structlog.get_logger()

LogEvent = LogRead | LogExpired | LogStateSeen


async def follow_log(
    address: Address, wait_ms: int, emit: Callable[[LogEvent], None]
) -> None:
    """Read the log from its first record on until cancelled."""
    start = 0
    limit = _LIMIT
    is_up: bool | None = None
    while True:
        asked_ms = trio.current_time() * 1000
        try:
            page = await read_records(address, start, limit, wait_ms if is_up else 0)
        except LogExpiredError as error:
            emit(LogExpired(error.oldest))
            start = error.oldest
            continue
        except PageTooLargeError:
            _LOG.warning("log_page_too_large", offset=start, limit=limit)
            if limit == 1:
                # No record of use is that large. Where the log ends is not known yet.
                emit(LogRead(start, start + 1, (), start + 2, asked_ms))
                start += 1
            limit = max(1, limit // _SHRINK)
            continue
        except LogUnavailableError as error:
            if is_up is not False:
                _LOG.warning("log_unavailable", error=str(error)[:200])
                emit(LogStateSeen(False))
            is_up = False
            await trio.sleep(_AGAIN_MS / 1000)
            continue
        limit = _LIMIT
        end = page.records[-1].offset + 1 if page.records else start
        emit(LogRead(start, end, page.records, page.head, asked_ms))
        start = end
        if not is_up and end >= page.head:
            is_up = True
            _LOG.info("log_available", offset=end)
            emit(LogStateSeen(True))
