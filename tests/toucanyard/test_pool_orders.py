from __future__ import annotations

import msgspec

from toucanyard.configuration import Endpoint, Pool
from toucanyard.names import Address, DomainName, EndpointName, Incarnation, PoolName
from toucanyard.order_messages import EndpointState, OrderKind, OrderOutcome, SendOrder
from toucanyard.orders import PoolOrders, ReadReason

LATER_MS = 60_000.0


class Plan:
    """One pool whose desired weights are w2 while w1 is loaded, under fence 5."""

    def __init__(self, endpoints: int, checks_fence: bool = False) -> None:
        self.state = EndpointState(
            Incarnation("i"), "m", "w1", checks_fence=checks_fence, fence=5
        )
        self.pool = Pool(
            PoolName("p"),
            "m",
            "w2",
            tuple(
                Endpoint(
                    EndpointName(f"e{n}"), Address(f"10.0.0.{n}:1"), DomainName("")
                )
                for n in range(endpoints)
            ),
        )
        self.orders = PoolOrders(self.pool.name, 5, 0.0)

    def read(self, number: int, asked_ms: float, **changes: object) -> None:
        state = msgspec.structs.replace(self.state, **changes)
        self.orders.record_state(EndpointName(f"e{number}"), state, asked_ms)

    def read_all(self, asked_ms: float, count: int) -> None:
        for number in range(count):
            self.read(number, asked_ms)

    def plan(self, now_ms: float) -> list[SendOrder]:
        return self.orders.plan(self.pool, LATER_MS, now_ms)


def test_order_is_conditional_on_the_weights_that_were_read() -> None:
    """An order that arrives late must not revert newer weights."""
    plan = Plan(1)
    plan.read_all(5_000.0, 1)
    assert plan.orders.plan(plan.pool, 5_100.0, 5_100.0) == []
    (sent,) = plan.plan(5_100.0)
    assert sent.order.kind is OrderKind.LOAD
    assert sent.order.expected_weights_version == "w1"
    assert sent.until_ms == LATER_MS


def test_no_load_before_each_endpoint_knows_the_number() -> None:
    """An order of the earlier holder may still be in transit to an endpoint that
    doesn't have the new fence. It would start a third load."""
    plan = Plan(4, checks_fence=True)
    plan.read_all(100.0, 4)
    plan.read(3, 200.0, fence=4)
    (raising,) = plan.plan(300.0)
    assert raising.endpoint == "e3" and raising.order.kind is OrderKind.ROLE
    plan.orders.record_outcome(
        raising.endpoint, raising.order.order_id, OrderOutcome.DONE, 400.0
    )
    plan.read_all(1_500.0, 4)
    assert {each.order.kind for each in plan.plan(1_600.0)} == {OrderKind.LOAD}


def test_endpoint_not_read_yet_may_be_loading_for_the_earlier_holder() -> None:
    plan = Plan(4)
    plan.read_all(100.0, 3)
    assert plan.plan(200.0) == []
    plan.read_all(16_000.0, 3)
    assert plan.plan(16_100.0)


def test_load_without_an_answer_counts_until_a_state_shows_its_end() -> None:
    """Two loads were ordered and both answers were lost. Both may still start; a third
    load would overload the weight store."""
    plan = Plan(7)
    plan.read_all(100.0, 7)
    sent = plan.plan(200.0)
    assert len(sent) == 2
    for each in sent:
        plan.orders.record_outcome(
            each.endpoint, each.order.order_id, OrderOutcome.LOST, 300.0
        )
    plan.read_all(1_900.0, 7)
    assert plan.plan(2_000.0) == []
    plan.read_all(2_500.0, 7)
    assert len(plan.plan(2_600.0)) == 2


def test_state_that_crossed_an_order_does_not_lead_to_another() -> None:
    plan = Plan(1)
    plan.read_all(100.0, 1)
    (sent,) = plan.plan(200.0)
    plan.orders.record_outcome(
        sent.endpoint, sent.order.order_id, OrderOutcome.DONE, 900
    )
    plan.read_all(800.0, 1)
    assert plan.plan(2_500.0) == []
    plan.read_all(2_600.0, 1)
    assert len(plan.plan(2_700.0)) == 1


def test_replica_just_loaded_is_cold_and_does_not_count_as_capacity() -> None:
    """Its cache is empty. If the others loaded at once, every prompt would go to
    replicas that have to recompute it."""
    plan = Plan(3)
    plan.read_all(100.0, 3)
    plan.read(0, 1_000.0, weights_version="w2")
    plan.read(1, 1_000.0, weights_version="w2")
    plan.read(2, 1_000.0)
    assert plan.plan(1_100.0) == []
    for number in (0, 1):
        plan.read(number, 7_000.0, weights_version="w2")
    plan.read(2, 7_000.0)
    assert [each.endpoint for each in plan.plan(7_100.0)] == ["e2"]


def test_dead_endpoints_do_not_hold_up_a_roll_out() -> None:
    plan = Plan(6)
    plan.read_all(100.0, 6)
    for endpoint in plan.pool.endpoints:
        plan.orders.record_read_sent(endpoint.name, 600.0)
    plan.read_all(700.0, 2)
    plan.read_all(3_000.0, 2)
    assert plan.plan(3_100.0) == []
    plan.read_all(20_000.0, 2)
    assert len(plan.plan(20_100.0)) == 1


def test_replicas_that_get_no_work_are_no_capacity() -> None:
    """Peers report most replicas as dead long before the holder reads them again. If
    they counted as warm, the holder would load the few that still serve."""
    plan = Plan(5)
    plan.read_all(100.0, 5)
    plan.orders.set_unusable({EndpointName(f"e{number}") for number in (1, 2, 3)})
    serving = {EndpointName("e0"), EndpointName("e4")}
    assert not serving & {each.endpoint for each in plan.plan(200.0)}
    plan = Plan(5)
    plan.read_all(100.0, 5)
    assert plan.plan(200.0)[0].endpoint in serving


def test_loads_that_end_at_once_do_not_start_more_than_two_in_a_second() -> None:
    """Small weights load immediately. Without a rate limit, the loads of a large pool
    would overload the weight store, and all would wait."""
    plan = Plan(20)
    plan.read_all(100.0, 20)
    first = plan.plan(200.0)
    assert len(first) == 2
    for each in first:
        plan.orders.record_outcome(
            each.endpoint, each.order.order_id, OrderOutcome.DONE, 250.0
        )
    for number in (0, 1):
        plan.read(number, 300.0, weights_version="w2")
    assert plan.plan(400.0) == []
    assert len(plan.plan(800.0)) == 1


def test_stale_number_ends_the_duty() -> None:
    plan = Plan(1)
    plan.read_all(100.0, 1)
    (sent,) = plan.plan(200.0)
    assert plan.orders.record_outcome(
        sent.endpoint, sent.order.order_id, OrderOutcome.STALE_FENCE, 300.0
    )
    assert not plan.orders.group_by_read_reason(plan.pool, 300.0)[ReadReason.NONE]
