"""Carry out a campaign's faults on real processes, and undo them in the end."""

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
_UP_POLL_S: Final = 0.1
_PLATFORM_ENDS: Final = (Outage(False), SlowPart(0), LoseAnswers(0))
_ENGINE_ENDS: Final = (
    engine_faults.CutAfterEvents(0, count=0),
    engine_faults.CrossAnswers(0),
    engine_faults.DelayAnswers(0, count=0),
)
_SERVICE_ENDS: Final = (
    plain_service.DieAfterExecution(0),
    plain_service.DelayAnswers(0, count=0),
    plain_service.CrossAnswers(0),
)


class CampaignNodes:
    """The nodes of a campaign by place; a place keeps its name through restarts.

    Invariant: at most one fault is under way at a place, so a process that ends is
    either ended here or ended by itself.
    """

    def __init__(
        self, harness: Harness, deployment: Deployment, options: Options
    ) -> None:
        self._harness = harness
        self._deployment = deployment
        self._options = options
        self._busy: set[int] = set()
        self.nodes = list(deployment.nodes)
        self.started: list[ProcessHandle] = list(deployment.nodes)
        self.disturbed: set[int] = set()
        """Processes that were killed or paused."""
        self.problems: list[str] = []

    async def apply(self, fault: Fault) -> None:
        """Carry out one fault to its end; a place that is busy is left alone."""
        match fault:
            case KillNode(node=place) | StopNode(node=place) | PauseNode(node=place):
                if place not in self._busy:
                    self._busy.add(place)
                    await self._apply_to_node(fault)
                    self._busy.remove(place)
            case LogOutage(for_s):
                await self._hold_log(Outage(True), Outage(False), for_s)
            case SlowLog(delay_ms, for_s):
                await self._hold_log(SlowPart(delay_ms), SlowPart(0), for_s)
            case PlatformFault(fault=platform_fault):
                await self._control(self._deployment.platform, platform_fault)
            case EngineFault(engine, engine_fault):
                await self._control(self._deployment.engines[engine], engine_fault)
            case ServiceFault(service, service_fault):
                await self._control(self._deployment.services[service], service_fault)

    async def _apply_to_node(self, fault: KillNode | StopNode | PauseNode) -> None:
        place = fault.node
        node = self.nodes[place]
        if not node.is_running():
            self.problems.append(f"{node.name} ended by itself:\n{node.read_log()}")
        match fault:
            case PauseNode(for_s=for_s):
                self.disturbed.add(node.process.pid)
                node.pause()
                await trio.sleep(for_s)
                node.go_on()
            case KillNode(down_s=down_s):
                self.disturbed.add(node.process.pid)
                await node.end()
                await self._start_again(place, down_s)
            case StopNode(down_s=down_s):
                if not await node.stop(_STOP_TIMEOUT_S):
                    self.problems.append(f"{node.name} did not stop")
                elif node.process.returncode != 0:
                    self.problems.append(f"{node.name} failed:\n{node.read_log()}")
                await self._start_again(place, down_s)

    async def _start_again(self, place: int, down_s: float) -> None:
        await trio.sleep(down_s)
        name = f"node-{place}"
        node = await self._harness.start_node(name, find_domain(place), self._options)
        self.nodes[place] = node
        self.started.append(node)

    async def _hold_log(
        self,
        begin: Outage | SlowPart,
        end: Outage | SlowPart,
        for_s: float,
    ) -> None:
        platform = self._deployment.platform
        await self._control(platform, begin)
        await trio.sleep(for_s)
        await self._control(platform, end)

    async def end_faults(self) -> None:
        """End what faults may have left switched on."""
        deployment = self._deployment
        ends: tuple[tuple[Sequence[ProcessHandle], Sequence[msgspec.Struct]], ...] = (
            ((deployment.platform,), _PLATFORM_ENDS),
            (deployment.engines, _ENGINE_ENDS),
            (deployment.services, _SERVICE_ENDS),
        )
        for handles, faults in ends:
            for handle in handles:
                await wait_up(handle)
                for fault in faults:
                    await self._harness.control(handle, fault)

    async def _control(self, handle: ProcessHandle, fault: msgspec.Struct) -> None:
        """Switch a stand-in's fault; one that is down at the moment misses it."""
        with suppress(ConnectionFailedError):
            await self._harness.control(handle, fault)


async def wait_up(handle: ProcessHandle) -> None:
    """Wait until a stand-in that was down answers again."""
    while True:
        with suppress(ConnectionFailedError):
            await fetch(handle.address, "GET", "/control")
            return
        await trio.sleep(_UP_POLL_S)
