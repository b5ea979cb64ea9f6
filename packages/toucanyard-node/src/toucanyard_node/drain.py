"""Stop a node as planned without cutting a request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from toucanyard.options import Options
from toucanyard_node.http_server import HttpServer


class DrainState:
    """Whether the planned stop has begun; `locate` and the faces ask it."""

    __slots__ = ("_begun",)

    def __init__(self) -> None:
        self._begun = trio.Event()

    def is_draining(self) -> bool:
        """Tell whether the planned stop has begun."""
        return self._begun.is_set()

    def begin(self) -> None:
        """Begin the planned stop; a second call changes nothing."""
        self._begun.set()

    async def wait_begun(self) -> None:
        """Wait for the planned stop to begin."""
        await self._begun.wait()


async def drain(
    state: DrainState,
    server: HttpServer,
    options: Options,
    wait_idle: Callable[[], Awaitable[None]],
) -> bool:
    """Carry out a planned stop; return whether all requests came to their end.

    Callers keep a located address for a while, so the node serves new connections
    for that long after it has left `locate`; closing at once would refuse them. The
    minimal notice comes on top: peers name the node until its news has reached them.
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
