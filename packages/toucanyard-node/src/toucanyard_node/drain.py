"""Shut down a node gracefully, without interrupting requests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import trio

from toucanyard.options import Options
from toucanyard_node.http_server import (
    HttpServer,
)

_POLL_INTERVAL_S: Final = 0.02


class DrainState:
    """Whether draining has begun; read by `locate` and the HTTP servers."""

    __slots__ = ("_begun",)

    def __init__(self) -> None:
        self._begun = trio.Event()

    def is_draining(self) -> bool:
        """Return whether draining has begun."""
        return self._begun.is_set()

    def begin(self) -> None:
        """Begin draining; further calls have no effect."""
        self._begun.set()

    async def wait_begun(self) -> None:
        """Wait until draining begins."""
        await self._begun.wait()


async def drain(
    state: DrainState,
    server: HttpServer,
    options: Options,
    wait_idle: Callable[[], Awaitable[None]],
) -> bool:
    """Drain the server; return whether all requests finished in time.

    Callers cache located addresses, so the node accepts new connections for that cache
    time after it has left `locate`; closing the listener at once would refuse them.
    The minimum notice period is added, because peers return the node's address until
    they have received its gossip update.
    """
    state.begin()
    notice_ms = options.drain.min_notice_ms + options.callers.locate_ttl_ms
    await trio.sleep(notice_ms / 1000)
    server.stop()
    with trio.move_on_after(options.drain.max_drain_ms / 1000):
        await server.wait_stopped()
        await wait_idle()
        return True
    return False


async def wait_for_key_handover(
    is_handover_done: Callable[[], bool], limit_ms: int
) -> None:
    """Wait until peers store this node's ended keys and all nodes were informed.

    Otherwise a retry of a request that this node answered could only get the reply
    that its outcome is unknown. The limit bounds the wait if peers are unreachable.
    """
    with trio.move_on_after(limit_ms / 1000):
        while not is_handover_done():
            await trio.sleep(_POLL_INTERVAL_S)
