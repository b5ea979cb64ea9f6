from __future__ import annotations

import pytest
from hypothesis import given, settings, strategies as st

from toucanyard.order_messages import EndpointState, Order, OrderKind, OrderOutcome

from .order_fakes import OrderWorld


@pytest.mark.parametrize("checks_fence", [True, False])
def test_roll_out_keeps_capacity_and_loads_two_at_most(checks_fence: bool) -> None:
    world = OrderWorld(6, checks_fence)
    world.run(15_000)
    world.want("w2")
    world.run(60_000)
    assert world.find_versions() == {"w2"}
    assert 1 <= world.most_loading <= 2
    assert world.least_serving >= 4


def test_roll_out_of_a_large_pool_reads_little() -> None:
    """Two loads start per second, whatever the size of the pool. Reading all endpoints
    twice a second took 12% of the holder's core and 467 KB/s for minutes in a pool of
    880."""
    world = OrderWorld(120, checks_fence=True)
    world.run(30_000)
    world.want("w2")
    world.reads = 0
    world.run(80_000)
    assert world.find_versions() == {"w2"}
    assert world.most_loading == 2
    assert world.reads < 4_000


def test_paused_holder_does_nothing_when_it_wakes() -> None:
    """The holder is paused for longer than its lease, and another node takes over with
    a newer version. When the first resumes, it must recognize by its own clock that its
    lease has expired, before it sends or reads anything."""
    world = OrderWorld(4, checks_fence=False)
    world.run(15_000)
    holder = next(node for node in world.nodes if node.held)
    (fence,) = holder.held
    holder.paused_until_ms = world.now_ms + 60_000
    world.want("w2")
    holder.configuration = world.configuration
    world.run(61_000)
    assert world.find_versions() == {"w2"}
    assert world.most_holders == 1
    assert holder.held == set() or holder.held != {fence}
    for engine in world.engines.values():
        assert fence not in engine.fences


def test_late_order_of_an_earlier_holder_is_refused_where_fences_are_checked() -> None:
    """An order of the first holder arrives after a second holder took over. The second
    must raise the fence at each endpoint first, so that the late order can't start
    another load or restore old weights."""
    world = OrderWorld(4, checks_fence=True)
    world.run(15_000)
    first = next(node for node in world.nodes if node.held)
    (old_fence,) = first.held
    first.paused_until_ms = world.now_ms + 90_000
    world.run(20_000)
    assert all(engine.state.fence > old_fence for engine in world.engines.values())
    late = Order("late", old_fence, OrderKind.LOAD, "m", weights_version="w0")
    for engine in world.engines.values():
        assert engine.take(late) is OrderOutcome.STALE_FENCE


def test_endpoint_led_astray_is_brought_back() -> None:
    """An endpoint that doesn't check fences accepts a late order for old weights. The
    holder must detect it when it reads the state, and its new order must not be taken
    for the one that was already done."""
    world = OrderWorld(4, checks_fence=False)
    world.run(15_000)
    world.want("w2")
    world.run(60_000)
    engine = world.engines[next(iter(world.engines))]
    astray = Order("x", 0, OrderKind.LOAD, "m", weights_version="w0")
    assert engine.take(astray) is OrderOutcome.DONE
    world.run(20_000)
    assert world.find_versions() == {"w2"}


def test_lost_answers_and_crashes_do_not_stop_a_roll_out() -> None:
    world = OrderWorld(5, checks_fence=False, seed=4)
    world.bad_share = 0.4
    world.run(15_000)
    world.want("w2")
    for engine in world.engines.values():
        world.run(5_000)
        engine.crash()
    world.bad_share = 0.0
    world.run(90_000)
    assert world.find_versions() == {"w2"}


def test_all_nodes_restart_and_a_duty_is_taken_up_again() -> None:
    """Every node is replaced, so none knows who held the lease. It must neither be
    claimed while the last lease may be valid, nor stay without a holder."""
    world = OrderWorld(3, checks_fence=True)
    world.run(15_000)
    for number in range(3):
        world.restart(number)
    restarted_ms = world.now_ms
    world.run(9_000)
    assert not any(node.held for node in world.nodes)
    world.want("w2")
    world.run(90_000 - (world.now_ms - restarted_ms))
    assert world.find_versions() == {"w2"}
    assert world.most_holders == 1


def test_duty_given_up_in_a_planned_stop_is_taken_at_once() -> None:
    world = OrderWorld(3, checks_fence=True)
    world.run(15_000)
    holder = next(node for node in world.nodes if node.held)
    for append in holder.order_runner.leases.release(world.now_ms):
        world.records.append((world.now_ms, append.text))
    assert not holder.order_runner.leases.find_held(world.now_ms)
    holder.paused_until_ms = world.now_ms + 90_000
    world.run(4_000)
    assert any(node.held for node in world.nodes if node is not holder)


@settings(max_examples=40)
@given(
    st.booleans(),
    st.integers(0, 1_000),
    st.lists(
        st.tuples(
            st.sampled_from(["pause", "restart", "crash", "log", "want", "run"]),
            st.integers(0, 2),
            st.integers(1, 25),
        ),
        max_size=14,
    ),
)
def test_one_holder_two_loads_and_convergence_under_faults(
    checks_fence: bool, seed: int, steps: list[tuple[str, int, int]]
) -> None:
    """Nodes pause, resume and are replaced; engines crash; orders arrive late and
    answers are lost; the log becomes unavailable. Two leases must never be valid at
    once by their holders' clocks; where fences are checked, late orders must not start
    a third load; and after the faults, all endpoints get the desired weights."""
    world = OrderWorld(5, checks_fence, seed)
    world.bad_share = 0.2
    for number, (step, which, seconds) in enumerate(steps):
        match step:
            case "pause":
                until_ms = world.now_ms + seconds * 1_000
                world.nodes[which].paused_until_ms = until_ms
            case "restart":
                world.restart(which)
            case "crash":
                list(world.engines.values())[which].crash()
            case "log":
                world.is_log_up = not world.is_log_up
            case "want":
                world.want(f"w{number + 2}", nodes=which + 1)
            case _:
                world.run(seconds * 1_000)
        world.run(300)
    world.is_log_up, world.bad_share = True, 0.0
    world.want("final")
    world.run(150_000)
    assert world.most_holders <= 1
    assert world.find_versions() == {"final"}
    if checks_fence and not any(step == "crash" for step, _, _ in steps):
        assert world.most_loading <= 2


def test_state_that_crossed_an_order_is_not_taken_for_its_result() -> None:
    """A state requested before an order was sent arrives after it. It must not count as
    the order's result; otherwise a second order would be sent during the first."""
    world = OrderWorld(2, checks_fence=False)
    world.run(20_000)
    world.want("w2")
    holder = next(node for node in world.nodes if node.held)
    entry = next(iter(holder.order_runner._held_pools.values()))
    pool = world.configuration.pools[0]
    world.run(600)
    name = pool.endpoints[0].name
    state = EndpointState(world.engines[name].state.incarnation, "m", "w1")
    before_ms = world.now_ms - 10_000
    entry.orders.record_state(name, state, before_ms)
    assert entry.orders.plan(pool, world.now_ms + 9_000, world.now_ms) == []
