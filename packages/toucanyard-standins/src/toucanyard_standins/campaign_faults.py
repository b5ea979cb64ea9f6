"""Generate the faults of a campaign from a seed; faults may overlap in time."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard_standins import engine_faults, plain_service
from toucanyard_standins.network_faults import CutConnections, SilenceConnections
from toucanyard_standins.platform_faults import LoseAnswers

_PAUSE_S: Final = (0.2, 4.0)
_OUTAGE_S: Final = (0.5, 5.0)
_DOWN_S: Final = (0.1, 3.0)
_MAX_EVENTS: Final = 30
_MAX_APPENDS: Final = 3
_SLOW_LOG_MS: Final = 1_500


class KillNode(msgspec.Struct, frozen=True):
    """Kill a node's process and start another one later."""

    node: int
    down_s: float


class StopNode(msgspec.Struct, frozen=True):
    """Stop a node as planned and start another one later."""

    node: int
    down_s: float


class PauseNode(msgspec.Struct, frozen=True):
    """Suspend a node's process for some time."""

    node: int
    for_s: float


class LogOutage(msgspec.Struct, frozen=True):
    """Let the log respond with 503 for some time."""

    for_s: float


class SlowLog(msgspec.Struct, frozen=True):
    """Delay each response of the log for some time."""

    delay_ms: int
    for_s: float


class PlatformFault(msgspec.Struct, frozen=True):
    """Apply one fault to the platform."""

    fault: LoseAnswers | SilenceConnections | CutConnections


class EngineFault(msgspec.Struct, frozen=True):
    """Apply one fault to an engine."""

    engine: int
    fault: engine_faults.EngineFault


class ServiceFault(msgspec.Struct, frozen=True):
    """Apply one fault to a replica of a plain service."""

    service: int
    fault: plain_service.ServiceFault


Fault = (
    KillNode
    | StopNode
    | PauseNode
    | LogOutage
    | SlowLog
    | PlatformFault
    | EngineFault
    | ServiceFault
)


class FaultGenerator:
    """A generator of random faults."""

    __slots__ = ("_engines", "_nodes", "_rng", "_services")

    def __init__(
        self, rng: random.Random, nodes: int, engines: int, services: int
    ) -> None:
        self._rng = rng
        self._nodes = nodes
        self._engines = engines
        self._services = services

    def draw(self) -> Fault:
        """Return the next fault; faults of nodes have twice the weight of others."""
        draws = (
            self._draw_node,
            self._draw_node,
            self._draw_platform,
            self._draw_engine,
            self._draw_service,
        )
        return self._rng.choice(draws)()

    def _draw_node(self) -> Fault:
        node = self._rng.randrange(self._nodes)
        match self._rng.randrange(3):
            case 0:
                return KillNode(node, self._rng.uniform(*_DOWN_S))
            case 1:
                return StopNode(node, self._rng.uniform(*_DOWN_S))
            case _:
                return PauseNode(node, self._rng.uniform(*_PAUSE_S))

    def _draw_platform(self) -> Fault:
        rng = self._rng
        faults: Sequence[Fault] = (
            LogOutage(rng.uniform(*_OUTAGE_S)),
            SlowLog(rng.randrange(100, _SLOW_LOG_MS), rng.uniform(*_OUTAGE_S)),
            PlatformFault(LoseAnswers(rng.randint(1, _MAX_APPENDS))),
            PlatformFault(LoseAnswers(rng.randint(1, _MAX_APPENDS), is_silent=True)),
            PlatformFault(SilenceConnections()),
            PlatformFault(CutConnections()),
        )
        return rng.choice(faults)

    def _draw_engine(self) -> Fault:
        rng = self._rng
        events = rng.randint(1, _MAX_EVENTS)
        down_ms = int(rng.uniform(*_DOWN_S) * 1000)
        faults: Sequence[engine_faults.EngineFault] = (
            engine_faults.DieAfterEvents(events, down_ms),
            engine_faults.CutAfterEvents(events, rng.randint(1, 3)),
            engine_faults.SilenceAfterEvents(events),
            engine_faults.CrossAnswers(rng.randint(1, 3)),
            engine_faults.DelayAnswers(rng.randrange(100, 3_000), 2),
            engine_faults.Crash(down_ms),
            SilenceConnections(),
        )
        return EngineFault(rng.randrange(self._engines), rng.choice(faults))

    def _draw_service(self) -> Fault:
        rng = self._rng
        down_ms = int(rng.uniform(*_DOWN_S) * 1000)
        faults: Sequence[plain_service.ServiceFault] = (
            plain_service.DieAfterExecution(rng.randint(1, 2), down_ms),
            plain_service.DelayAnswers(rng.randrange(100, 3_000), rng.randint(1, 3)),
            plain_service.CrossAnswers(rng.randint(1, 2)),
            SilenceConnections(),
            CutConnections(),
        )
        return ServiceFault(rng.randrange(self._services), rng.choice(faults))
