"""Append the core's records to the platform's log in batches."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import trio

from toucanyard.adaptive_log_timeout import AdaptiveLogTimeout
from toucanyard.append_batch import AppendBatch, AppendBatcher
from toucanyard.core_events import AppendSettled, AppendToLog
from toucanyard.names import Address
from toucanyard.options import ClaimLimits
from toucanyard.platform_log import AppendResult
from toucanyard_node.log_client import AppendAnswer, append_records

_MAX_ATTEMPTS: Final = 3


async def write_log(
    address: Address,
    limits: ClaimLimits,
    outbox: trio.MemoryReceiveChannel[AppendToLog],
    emit: Callable[[AppendSettled], None],
    log_timeout: AdaptiveLogTimeout | None = None,
) -> None:
    """Append records from the outbox, at most `max_appends_per_s` times a second."""
    batcher = AppendBatcher(limits)
    if log_timeout is None:
        log_timeout = AdaptiveLogTimeout(float(limits.append_timeout_ms))
    while True:
        await _collect_records(batcher, outbox)
        batch = batcher.pop_due(trio.current_time() * 1000)
        if batch is not None:
            answer = await _append(address, limits, batch, log_timeout)
            emit(AppendSettled(batch.record_ids, answer.result))


async def _collect_records(
    batcher: AppendBatcher, outbox: trio.MemoryReceiveChannel[AppendToLog]
) -> None:
    """Collect records until a batch is due."""
    if len(batcher) == 0:
        batcher.add(await outbox.receive(), trio.current_time() * 1000)
    while (due_ms := batcher.find_due_ms()) > trio.current_time() * 1000:
        with trio.move_on_at(due_ms / 1000):
            batcher.add(await outbox.receive(), trio.current_time() * 1000)
    _drain_outbox(batcher, outbox)


def _drain_outbox(
    batcher: AppendBatcher, outbox: trio.MemoryReceiveChannel[AppendToLog]
) -> None:
    while True:
        try:
            record = outbox.receive_nowait()
        except trio.WouldBlock:
            return
        batcher.add(record, trio.current_time() * 1000)


async def _append(
    address: Address,
    limits: ClaimLimits,
    batch: AppendBatch,
    log_timeout: AdaptiveLogTimeout,
) -> AppendAnswer:
    """Append one batch; retry when the rate limit refused it."""
    answer = await _append_once(address, batch, log_timeout)
    for _ in range(_MAX_ATTEMPTS - 1):
        if not answer.is_rate_limited:
            break
        await trio.sleep(1 / limits.max_appends_per_s)
        answer = await _append_once(address, batch, log_timeout)
    return answer


async def _append_once(
    address: Address, batch: AppendBatch, log_timeout: AdaptiveLogTimeout
) -> AppendAnswer:
    started_s = trio.current_time()
    answer = await append_records(address, batch.texts, log_timeout.timeout_ms)
    if answer.result is AppendResult.UNKNOWN:
        log_timeout.record_timeout()
    else:
        log_timeout.record_answer((trio.current_time() - started_s) * 1000)
    return answer
