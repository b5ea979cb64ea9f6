"""Bring the faults of a scenario about at their times."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from toucanyard.names import ReplicaId
from toucanyard_emulator.engine import Engine
from toucanyard_emulator.scenario import (
    Burst,
    Crash,
    CrashingRequest,
    Fault,
    Grey,
    HotSubject,
    LateOrders,
    NewWeights,
    NodesKilled,
    ScaleIn,
    ScaleOut,
    Slow,
    StoreDown,
)
from toucanyard_emulator.world import LEAD_MS, World


def plan_faults(world: World) -> None:
    """Put every fault of the world's scenario on its clock."""
    for number, fault in enumerate(world.scenario.faults):
        begin = _find_begin(world, fault, f"fault {number}")
        if begin is not None:
            world.clock.call_after(LEAD_MS + fault.at_s * 1000, begin)


def _find_begin(world: World, fault: Fault, purpose: str) -> Callable[[], None] | None:
    match fault:
        case Crash():
            return partial(_crash, world, fault, purpose)
        case Grey():
            return partial(_grey, world, fault, purpose)
        case Slow():
            return partial(_slow, world, fault, purpose)
        case ScaleIn() | ScaleOut():
            return partial(_scale, world, fault, purpose)
        case NewWeights():
            return world.name_weights
        case LateOrders():
            return partial(_delay_orders, world, fault)
        case StoreDown():
            return partial(_stop_store, world, fault, purpose)
        case NodesKilled():
            return partial(_kill_nodes, world, fault, purpose)
        case Burst() | HotSubject() | CrashingRequest():
            # The arrivals were drawn with them.
            return None


def _later(world: World, after_s: float, act: Callable[[], None]) -> None:
    world.clock.call_after(after_s * 1000, act)


def _crash(world: World, fault: Crash, purpose: str) -> None:
    for number, engine in enumerate(world.pool.draw_engines(fault.count, purpose)):
        version = engine.version
        listed_as = world.pool.find_listed_as(engine) if fault.keeps_id else None
        world.pool.stop_engine(engine, is_silent=fault.is_silent)
        back = partial(_start_again, world, number, version, listed_as)
        _later(world, fault.for_s, back)


def _start_again(
    world: World, number: int, version: int, listed_as: ReplicaId | None
) -> None:
    """Start a new life; one under its old id keeps its weights."""
    if listed_as is None:
        version = world.find_newest_version()
    world.pool.add_engine(number, version, listed_as)


def _grey(world: World, fault: Grey, purpose: str) -> None:
    def set_share(engine: Engine, share: float) -> None:
        engine.mute_share = share

    for engine in world.pool.draw_engines(fault.count, purpose):
        set_share(engine, fault.share)
        _later(world, fault.for_s, partial(set_share, engine, 0.0))


def _slow(world: World, fault: Slow, purpose: str) -> None:
    def set_factor(engine: Engine, factor: float) -> None:
        engine.slowness = factor

    for engine in world.pool.draw_engines(fault.count, purpose):
        set_factor(engine, fault.factor)
        _later(world, fault.for_s, partial(set_factor, engine, 1.0))


def _scale(world: World, fault: ScaleIn | ScaleOut, purpose: str) -> None:
    match fault:
        case ScaleIn(count=count):
            for engine in world.pool.draw_engines(count, purpose):
                world.pool.scale_in(engine)
        case ScaleOut(count=count):
            first = world.scenario.engines.replicas
            for number in range(first, first + count):
                world.pool.add_engine(number, world.find_newest_version(), None)


def _delay_orders(world: World, fault: LateOrders) -> None:
    def set_share(share: float) -> None:
        world.pool.late_order_share = share

    set_share(fault.share)
    _later(world, fault.for_s, partial(set_share, 0.0))


def _draw_nodes(world: World, count: int, purpose: str) -> list[int]:
    numbers = [node.number for node in world.nodes]
    random.Random(f"{world.seed} {purpose}").shuffle(numbers)
    return numbers[:count] if count else numbers


def _stop_store(world: World, fault: StoreDown, purpose: str) -> None:
    numbers = set(_draw_nodes(world, fault.nodes, purpose))
    world.store.down_nodes |= numbers
    _later(
        world, fault.for_s, partial(world.store.down_nodes.difference_update, numbers)
    )


def _kill_nodes(world: World, fault: NodesKilled, purpose: str) -> None:
    for number in _draw_nodes(world, fault.count, purpose):
        world.stop_node(number)
        after_s = fault.for_s + world.scenario.start_ms / 1000
        _later(world, after_s, partial(world.start_node, number))
