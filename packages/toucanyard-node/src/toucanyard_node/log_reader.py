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
    read_records,
)

_LIMIT: Final = 1_000
_AGAIN_MS: Final = 250
_LOG: Final = structlog.get_logger()

LogEvent = LogRead | LogExpired | LogStateSeen


async def follow_log(
    address: Address, wait_ms: int, emit: Callable[[LogEvent], None]
) -> None:
    """Read the log from its first record on until cancelled."""
    start = 0
    is_up: bool | None = None
    while True:
        asked_ms = trio.current_time() * 1000
        try:
            page = await read_records(address, start, _LIMIT, wait_ms if is_up else 0)
        except LogExpiredError as error:
            emit(LogExpired(error.oldest))
            start = error.oldest
            continue
        except LogUnavailableError as error:
            if is_up is not False:
                _LOG.warning("log_unavailable", error=str(error)[:200])
                emit(LogStateSeen(False))
            is_up = False
            await trio.sleep(_AGAIN_MS / 1000)
            continue
        end = page.records[-1].offset + 1 if page.records else start
        emit(LogRead(start, end, page.records, page.head, asked_ms))
        start = end
        if not is_up and end >= page.head:
            is_up = True
            _LOG.info("log_available", offset=end)
            emit(LogStateSeen(True))
