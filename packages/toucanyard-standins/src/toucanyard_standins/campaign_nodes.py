"""Apply a campaign's faults to real processes, and reset them at the end."""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import suppress
from typing import Final

import msgspec
import trio

from toucanyard.options import Options
from toucanyard_node.http_client import ConnectionFailedError, fetch
from toucanyard_standins import engine_faults, plain_service
from toucanyard_standins.campaign_faults import (
    EngineFault,
    Fault,
    KillNode,
    LogOutage,
    PauseNode,
    PlatformFault,
    ServiceFault,
    SlowLog,
    StopNode,
)
from toucanyard_standins.deployment import Deployment, find_domain
from toucanyard_standins.harness import Harness
from toucanyard_standins.platform_faults import LoseAnswers, Outage, SlowPart
from toucanyard_standins.processes import ProcessHandle

_STOP_TIMEOUT_S: Final = 30.0
_UP_POLL_INTERVAL_S: Final = 0.1
_PLATFORM_RESETS: Final = (Outage(False), SlowPart(0), LoseAnswers(0))
_ENGINE_RESETS: Final = (
    engine_faults.CutAfterEvents(0, count=0),
    engine_faults.CrossAnswers(0),
    engine_faults.DelayAnswers(0, count=0),
)
_SERVICE_RESETS: Final = (
    plain_service.DieAfterExecution(0),
    plain_service.DelayAnswers(0, count=0),
    plain_service.CrossAnswers(0),
)


class CampaignNodes:
    """The nodes of a campaign by slot; a slot keeps its name across restarts.

    Invariant: at most one fault is active in a slot, so a process that exits was
    either stopped here or has failed.
    """

    def __init__(
        self, harness: Harness, deployment: Deployment, options: Options
    ) -> None:
        self._harness = harness
        self._deployment = deployment
        self._options = options
        self._busy_slots: set[int] = set()
        self.nodes = list(deployment.nodes)
        self.started: list[ProcessHandle] = list(deployment.nodes)
        self.interrupted: set[int] = set()
        """Ids of processes that were killed or paused."""
        self.problems: list[str] = []

    async def apply(self, fault: Fault) -> None:
        """Apply one fault until it ends; node faults of a busy slot are skipped."""
        match fault:
            case KillNode(node=slot) | StopNode(node=slot) | PauseNode(node=slot):
                if slot not in self._busy_slots:
                    self._busy_slots.add(slot)
                    await self._apply_to_node(fault)
                    self._busy_slots.remove(slot)
            case LogOutage(for_s):
                await self._apply_log_fault(Outage(True), Outage(False), for_s)
            case SlowLog(delay_ms, for_s):
                await self._apply_log_fault(SlowPart(delay_ms), SlowPart(0), for_s)
            case PlatformFault(fault=platform_fault):
                await self._control(self._deployment.platform, platform_fault)
            case EngineFault(engine, engine_fault):
                await self._control(self._deployment.engines[engine], engine_fault)
            case ServiceFault(service, service_fault):
                await self._control(self._deployment.services[service], service_fault)

    async def _apply_to_node(self, fault: KillNode | StopNode | PauseNode) -> None:
        slot = fault.node
        node = self.nodes[slot]
        if not node.is_running():
            self.problems.append(f"{node.name} ended by itself:\n{node.read_log()}")
        match fault:
            case PauseNode(for_s=for_s):
                self.interrupted.add(node.process.pid)
                node.pause()
                await trio.sleep(for_s)
                node.resume()
            case KillNode(down_s=down_s):
                self.interrupted.add(node.process.pid)
                await node.kill_and_wait()
                await self._restart(slot, down_s)
            case StopNode(down_s=down_s):
                if not await node.stop(_STOP_TIMEOUT_S):
                    self.problems.append(f"{node.name} did not stop")
                elif node.process.returncode != 0:
                    self.problems.append(f"{node.name} failed:\n{node.read_log()}")
                await self._restart(slot, down_s)

    async def _restart(self, slot: int, down_s: float) -> None:
        await trio.sleep(down_s)
        name = f"node-{slot}"
        node = await self._harness.start_node(name, find_domain(slot), self._options)
        self.nodes[slot] = node
        self.started.append(node)

    async def _apply_log_fault(
        self,
        begin: Outage | SlowPart,
        end: Outage | SlowPart,
        for_s: float,
    ) -> None:
        platform = self._deployment.platform
        await self._control(platform, begin)
        await trio.sleep(for_s)
        await self._control(platform, end)

    async def reset_faults(self) -> None:
        """Reset faults that may still be active."""
        deployment = self._deployment
        resets: tuple[tuple[Sequence[ProcessHandle], Sequence[msgspec.Struct]], ...] = (
            ((deployment.platform,), _PLATFORM_RESETS),
            (deployment.engines, _ENGINE_RESETS),
            (deployment.services, _SERVICE_RESETS),
        )
        for handles, faults in resets:
            for handle in handles:
                await wait_up(handle)
                for fault in faults:
                    await self._harness.control(handle, fault)

    async def _control(self, handle: ProcessHandle, fault: msgspec.Struct) -> None:
        """Apply a fault to a stand-in; do nothing if the stand-in is down."""
        with suppress(ConnectionFailedError):
            await self._harness.control(handle, fault)


async def wait_up(handle: ProcessHandle) -> None:
    """Wait until a stand-in responds."""
    while True:
        with suppress(ConnectionFailedError):
            await fetch(handle.address, "GET", "/control")
            return
        await trio.sleep(_UP_POLL_INTERVAL_S)
