"""Run work to completion even if the waiting task is cancelled."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import trio

T = TypeVar("T")
Spawn = Callable[[Callable[[], Awaitable[None]]], None]
"""Starts a task that outlives the caller's connection."""


class _PendingResult(Generic[T]):
    """Holds the result; `is_awaited` becomes false if the waiter is cancelled."""

    __slots__ = ("done", "error", "is_awaited", "values")

    def __init__(self) -> None:
        self.done = trio.Event()
        self.error: Exception | None = None
        self.is_awaited = True
        self.values: list[T] = []


async def run_shielded(
    spawn: Spawn,
    work: Callable[[], Awaitable[T]],
    on_abandoned: Callable[[T], Awaitable[None]],
) -> T:
    """Return the result of `work`; when cancelled, let it finish in the background.

    Used for requests with an idempotency key. Their caller may disconnect and retry,
    and must then get the answer of the first attempt, instead of an unknown outcome
    because that attempt was cancelled. `on_abandoned` gets a result without a waiter.
    """
    pending: _PendingResult[T] = _PendingResult()

    async def run() -> None:
        try:
            value = await work()
        except Exception as error:
            pending.error = error
            pending.done.set()
            raise
        pending.values.append(value)
        pending.done.set()
        if not pending.is_awaited:
            await on_abandoned(value)

    spawn(run)
    try:
        await pending.done.wait()
    except trio.Cancelled:
        pending.is_awaited = False
        if pending.values:
            value = pending.values[0]
            spawn(lambda: on_abandoned(value))
        raise
    if pending.error is not None:
        raise pending.error
    return pending.values[0]
