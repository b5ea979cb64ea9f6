"""Run work to its end although the task that wants the result may go away."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import trio

T = TypeVar("T")
Spawn = Callable[[Callable[[], Awaitable[None]]], None]
"""Start a task that outlives the caller's connection."""


class _PendingResult(Generic[T]):
    """Where the result goes; `is_wanted` turns false when the waiter leaves."""

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
    """Return what `work` returns; when cancelled, let it end without the caller.

    A request with a key is the case: its caller may hang up and ask again, and must
    then find the one answer, not a try that was cut off with an unknown outcome.
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
