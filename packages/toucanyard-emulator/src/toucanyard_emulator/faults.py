"""Inject the faults of a scenario at their scheduled times."""

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
    GrayFailure,
    HotSubject,
    LateOrders,
    NewWeights,
    NodesKilled,
    ScaleIn,
    ScaleOut,
    Slowdown,
    StoreDown,
    StoreRestored,
)
from toucanyard_emulator.simulation import WARM_UP_MS, Simulation


def schedule_faults(simulation: Simulation) -> None:
    """Schedule all faults of the scenario on the clock of the simulation."""
    for number, fault in enumerate(simulation.scenario.faults):
        action = _build_fault_action(simulation, fault, f"fault {number}")
        if action is not None:
            simulation.clock.call_after(WARM_UP_MS + fault.at_s * 1000, action)


def _build_fault_action(
    simulation: Simulation, fault: Fault, purpose: str
) -> Callable[[], None] | None:
    match fault:
        case Crash():
            return partial(_inject_crash, simulation, fault, purpose)
        case GrayFailure():
            return partial(_inject_gray_failure, simulation, fault, purpose)
        case Slowdown():
            return partial(_inject_slowdown, simulation, fault, purpose)
        case ScaleIn() | ScaleOut():
            return partial(_scale, simulation, fault, purpose)
        case NewWeights():
            return simulation.set_target_weights
        case LateOrders():
            return partial(_delay_orders, simulation, fault)
        case StoreDown() | StoreRestored():
            return partial(_disturb_store, simulation, fault, purpose)
        case NodesKilled():
            return partial(_kill_nodes, simulation, fault, purpose)
        case Burst() | HotSubject() | CrashingRequest():
            # These faults are part of the generated arrivals.
            return None


def _schedule(
    simulation: Simulation, after_s: float, callback: Callable[[], None]
) -> None:
    simulation.clock.call_after(after_s * 1000, callback)


def _inject_crash(simulation: Simulation, fault: Crash, purpose: str) -> None:
    for number, engine in enumerate(
        simulation.pool.choose_engines(fault.count, purpose)
    ):
        version = engine.version
        listed_as = simulation.pool.find_listed_as(engine) if fault.keeps_id else None
        simulation.pool.stop_engine(engine, is_silent=fault.is_silent)
        back = partial(_restart_engine, simulation, number, version, listed_as)
        _schedule(simulation, fault.for_s, back)


def _restart_engine(
    simulation: Simulation, number: int, version: int, listed_as: ReplicaId | None
) -> None:
    """Start a new incarnation; one that keeps its id also keeps its weights."""
    if listed_as is None:
        version = simulation.get_newest_version()
    simulation.pool.add_engine(number, version, listed_as)


def _inject_gray_failure(
    simulation: Simulation, fault: GrayFailure, purpose: str
) -> None:
    def set_share(engine: Engine, share: float) -> None:
        engine.unanswered_share = share

    for engine in simulation.pool.choose_engines(fault.count, purpose):
        set_share(engine, fault.share)
        _schedule(simulation, fault.for_s, partial(set_share, engine, 0.0))


def _inject_slowdown(simulation: Simulation, fault: Slowdown, purpose: str) -> None:
    def set_factor(engine: Engine, factor: float) -> None:
        engine.slowdown = factor

    for engine in simulation.pool.choose_engines(fault.count, purpose):
        set_factor(engine, fault.factor)
        _schedule(simulation, fault.for_s, partial(set_factor, engine, 1.0))


def _scale(simulation: Simulation, fault: ScaleIn | ScaleOut, purpose: str) -> None:
    match fault:
        case ScaleIn(count=count):
            for engine in simulation.pool.choose_engines(count, purpose):
                simulation.pool.scale_in(engine)
        case ScaleOut(count=count):
            first = simulation.scenario.engines.replicas
            for number in range(first, first + count):
                simulation.pool.add_engine(
                    number, simulation.get_newest_version(), None
                )


def _delay_orders(simulation: Simulation, fault: LateOrders) -> None:
    def set_share(share: float) -> None:
        simulation.pool.late_order_share = share

    set_share(fault.share)
    _schedule(simulation, fault.for_s, partial(set_share, 0.0))


def _choose_nodes(simulation: Simulation, count: int, purpose: str) -> list[int]:
    numbers = [node.number for node in simulation.nodes]
    random.Random(f"{simulation.seed} {purpose}").shuffle(numbers)
    return numbers[:count] if count else numbers


def _disturb_store(
    simulation: Simulation, fault: StoreDown | StoreRestored, purpose: str
) -> None:
    match fault:
        case StoreDown():
            _stop_store(simulation, fault, purpose)
        case StoreRestored():
            _begin_restore(simulation, fault)


def _stop_store(simulation: Simulation, fault: StoreDown, purpose: str) -> None:
    numbers = set(_choose_nodes(simulation, fault.nodes, purpose))
    simulation.store.down_nodes |= numbers
    _schedule(
        simulation,
        fault.for_s,
        partial(simulation.store.down_nodes.difference_update, numbers),
    )


def _begin_restore(simulation: Simulation, fault: StoreRestored) -> None:
    store = simulation.store
    numbers = {node.number for node in simulation.nodes}

    def leave() -> None:
        store.down_nodes |= numbers
        _schedule(simulation, fault.for_s, come_back)

    def come_back() -> None:
        lost = store.restore()
        store.down_nodes -= numbers
        _schedule(simulation, fault.again_s, lambda: store.write_again(lost))

    store.take_copy()
    _schedule(simulation, fault.lost_s, leave)


def _kill_nodes(simulation: Simulation, fault: NodesKilled, purpose: str) -> None:
    for number in _choose_nodes(simulation, fault.count, purpose):
        simulation.stop_node(number)
        after_s = fault.for_s + simulation.scenario.start_ms / 1000
        _schedule(simulation, after_s, partial(simulation.start_node, number))
