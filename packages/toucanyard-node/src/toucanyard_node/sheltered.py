"""Run work to its end although the task that wants the result may go away."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import trio

T = TypeVar("T")
Spawn = Callable[[Callable[[], Awaitable[None]]], None]
"""Start a task that outlives the caller's connection."""


class _Box(Generic[T]):
    """Where the result goes; `is_wanted` turns false when the waiter leaves."""

    __slots__ = ("done", "error", "is_wanted", "values")

    def __init__(self) -> None:
        self.done = trio.Event()
        self.error: Exception | None = None
        self.is_wanted = True
        self.values: list[T] = []


async def run_sheltered(
    spawn: Spawn,
    work: Callable[[], Awaitable[T]],
    when_unwanted: Callable[[T], Awaitable[None]],
) -> T:
    """Return what `work` returns; when cancelled, let it end without the caller.

    A request with a key is the case: its caller may hang up and ask again, and must
    then find the one answer, not a try that was cut off with an unknown outcome.
    """
    box: _Box[T] = _Box()

    async def run() -> None:
        try:
            value = await work()
        except Exception as error:
            box.error = error
            box.done.set()
            raise
        box.values.append(value)
        box.done.set()
        if not box.is_wanted:
            await when_unwanted(value)

    spawn(run)
    try:
        await box.done.wait()
    except trio.Cancelled:
        box.is_wanted = False
        if box.values:
            value = box.values[0]
            spawn(lambda: when_unwanted(value))
        raise
    if box.error is not None:
        raise box.error
    return box.values[0]
