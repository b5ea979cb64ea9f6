"""Append the core's records to the platform's log, gathered into few appends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import trio

from toucanyard.append_batch import AppendBatch, BatchGatherer
from toucanyard.core_events import AppendSettled, AppendToLog
from toucanyard.log_patience import LogPatience
from toucanyard.names import Address
from toucanyard.options import ClaimLimits
from toucanyard.platform_log import AppendResult
from toucanyard_node.log_client import AppendAnswer, append_records

_MAX_TRIES: Final = 3


async def write_log(
    address: Address,
    limits: ClaimLimits,
    outbox: trio.MemoryReceiveChannel[AppendToLog],
    emit: Callable[[AppendSettled], None],
    patience: LogPatience | None = None,
) -> None:
    """Append what comes, at most `max_appends_per_s` times a second."""
    gatherer = BatchGatherer(limits)
    if patience is None:
        patience = LogPatience(float(limits.append_timeout_ms))
    while True:
        await _gather(gatherer, outbox)
        batch = gatherer.take(trio.current_time() * 1000)
        if batch is not None:
            answer = await _append(address, limits, batch, patience)
            emit(AppendSettled(batch.record_ids, answer.result))


async def _gather(
    gatherer: BatchGatherer, outbox: trio.MemoryReceiveChannel[AppendToLog]
) -> None:
    """Take records in until a batch is due."""
    if len(gatherer) == 0:
        gatherer.add(await outbox.receive(), trio.current_time() * 1000)
    while (due_ms := gatherer.find_due_ms()) > trio.current_time() * 1000:
        with trio.move_on_at(due_ms / 1000):
            gatherer.add(await outbox.receive(), trio.current_time() * 1000)
    _take_waiting(gatherer, outbox)


def _take_waiting(
    gatherer: BatchGatherer, outbox: trio.MemoryReceiveChannel[AppendToLog]
) -> None:
    while True:
        try:
            record = outbox.receive_nowait()
        except trio.WouldBlock:
            return
        gatherer.add(record, trio.current_time() * 1000)


async def _append(
    address: Address,
    limits: ClaimLimits,
    batch: AppendBatch,
    patience: LogPatience,
) -> AppendAnswer:
    """Append one batch, again after a refusal that only the rate caused."""
    answer = await _append_once(address, batch, patience)
    for _ in range(_MAX_TRIES - 1):
        if not answer.is_over_rate:
            break
        await trio.sleep(1 / limits.max_appends_per_s)
        answer = await _append_once(address, batch, patience)
    return answer


async def _append_once(
    address: Address, batch: AppendBatch, patience: LogPatience
) -> AppendAnswer:
    began_s = trio.current_time()
    answer = await append_records(address, batch.texts, patience.timeout_ms)
    if answer.result is AppendResult.UNKNOWN:
        patience.note_silence()
    else:
        patience.note_answer((trio.current_time() - began_s) * 1000)
    return answer
