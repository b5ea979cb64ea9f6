"""Append the core's records to the platform's log, gathered into few appends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import trio

from toucanyard.core_events import AppendSettled, AppendToLog
from toucanyard.names import Address
from toucanyard.options import ClaimLimits
from toucanyard_node.log_client import append_records

_MAX_BATCH: Final = 500


async def write_log(
    address: Address,
    limits: ClaimLimits,
    outbox: trio.MemoryReceiveChannel[AppendToLog],
    emit: Callable[[AppendSettled], None],
) -> None:
    """Append what comes, at most `max_appends_per_s` times a second."""
    gap_s = 1 / limits.max_appends_per_s
    async for first in outbox:
        started_s = trio.current_time()
        await trio.sleep(limits.gather_ms / 1000)
        batch = [first, *_take_waiting(outbox)]
        texts = [each.text for each in batch]
        result = await append_records(address, texts, limits.append_timeout_ms)
        emit(AppendSettled(tuple(each.record_id for each in batch), result))
        await trio.sleep_until(started_s + gap_s)


def _take_waiting(outbox: trio.MemoryReceiveChannel[AppendToLog]) -> list[AppendToLog]:
    taken: list[AppendToLog] = []
    while len(taken) < _MAX_BATCH:
        try:
            taken.append(outbox.receive_nowait())
        except trio.WouldBlock:
            break
    return taken
