"""Stop a node as planned without cutting a request."""

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


async def wait_for_key_handover(
    is_handover_done: Callable[[], bool], limit_ms: int
) -> None:
    """Wait until peers hold this node's ended keys and all are told so.

    Without this step a retry of what this node answered could only be told that the
    outcome is unknown. The limit keeps a stop from waiting for peers that are gone.
    """
    with trio.move_on_after(limit_ms / 1000):
        while not is_handover_done():
            await trio.sleep(_POLL_INTERVAL_S)
