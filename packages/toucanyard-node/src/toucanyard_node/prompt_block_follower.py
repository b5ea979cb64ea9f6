"""Poll replicas and prompt stores for changes of the prompt blocks they hold."""

from __future__ import annotations

from typing import Final

import structlog
import trio

from toucanyard.names import EndpointName
from toucanyard.prompt_block_sources import PromptBlockHolder
from toucanyard.relay_core import RelayCore
from toucanyard.relay_events import HolderLost, PromptBlocksChanged
from toucanyard_node.relay_ports import PromptBlockReader
from toucanyard_node.relay_task import RelayClient

CHECK_INTERVAL_S: Final = 0.5
"""Interval between updates of the set of followed holders."""
MAX_POLL_WAIT_MS: Final = 1_000.0
"""How long a holder may delay its response until something changes."""
BATCH_INTERVAL_S: Final = 0.15
"""Pause between calls to one holder, so that changes are reported in batches."""
RETRY_DELAY_S: Final = 0.5
_LOG: Final = structlog.get_logger()


class PromptBlockFollower:
    """Tasks that poll holders. Invariant: at most one task per holder."""

    __slots__ = ("_client", "_core", "_follower", "_scopes")

    def __init__(
        self, core: RelayCore, client: RelayClient, follower: PromptBlockReader
    ) -> None:
        self._core = core
        self._client = client
        self._follower = follower
        self._scopes: dict[EndpointName, trio.CancelScope] = {}

    async def run(self) -> None:
        """Start and cancel tasks as the set of holders changes, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                now_ms = trio.current_time() * 1000
                wanted = self._core.sources.find_followed(self._core.index, now_ms)
                self._update(wanted, nursery)
                await trio.sleep(CHECK_INTERVAL_S)

    def _update(self, wanted: list[PromptBlockHolder], nursery: trio.Nursery) -> None:
        names = {holder.name for holder in wanted}
        for name in set(self._scopes) - names:
            self._scopes.pop(name).cancel()
        for holder in wanted:
            if holder.name not in self._scopes:
                scope = self._scopes[holder.name] = trio.CancelScope()
                nursery.start_soon(self._follow, holder, scope)

    async def _follow(self, holder: PromptBlockHolder, scope: trio.CancelScope) -> None:
        since, epoch = 0, -1
        is_lost = False
        with scope:
            while True:
                answer = await self._follower.read_prompt_blocks(
                    holder.address, since, MAX_POLL_WAIT_MS
                )
                self._client.report_statement(holder.name, answer.statement)
                page = answer.page
                if page is None:
                    if not is_lost:
                        _LOG.info("holder_lost", holder=holder.name)
                    is_lost = True
                    self._client.send_event(HolderLost(holder.name))
                    await trio.sleep(max(RETRY_DELAY_S, answer.retry_ms / 1000))
                    continue
                if is_lost:
                    _LOG.info("holder_back", holder=holder.name)
                is_lost = False
                is_reset = epoch not in (-1, page.epoch)
                epoch, since = page.epoch, page.next_number
                self._client.send_event(
                    PromptBlocksChanged(holder.name, page.changes, is_reset, epoch)
                )
                await trio.sleep(BATCH_INTERVAL_S)
