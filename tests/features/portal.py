"""Run trio functions from behave's synchronous steps.

All steps of one scenario use one trio run in a thread, so that processes, streams and
background callers persist between steps.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import trio

from toucanyard_standins.harness import Harness, open_harness

T = TypeVar("T")


class Portal:
    def __init__(self) -> None:
        self._ready: queue.Queue[Harness | BaseException] = queue.Queue()
        self._token: trio.lowlevel.TrioToken
        self._stop: trio.Event
        self._nursery: trio.Nursery
        self._thread = threading.Thread(target=self._run)

    def start(self) -> Harness:
        self._thread.start()
        started = self._ready.get()
        if isinstance(started, BaseException):
            raise started
        return started

    def call(self, function: Callable[..., Awaitable[T]], *arguments: Any) -> T:
        return trio.from_thread.run(function, *arguments, trio_token=self._token)

    def spawn(self, function: Callable[..., Awaitable[None]], *arguments: Any) -> None:
        """Start a background task that runs during later steps."""

        async def start() -> None:
            self._nursery.start_soon(function, *arguments)

        self.call(start)

    def stop(self) -> None:
        async def set_stop() -> None:
            self._stop.set()

        self.call(set_stop)
        self._thread.join()

    def _run(self) -> None:
        try:
            trio.run(self._main)
        except BaseException as error:
            self._ready.put(error)

    async def _main(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        self._stop = trio.Event()
        async with open_harness() as harness, trio.open_nursery() as nursery:
            self._nursery = nursery
            self._ready.put(harness)
            await self._stop.wait()
            nursery.cancel_scope.cancel()
