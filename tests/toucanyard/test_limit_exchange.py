from __future__ import annotations

import msgspec

from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.link_messages import CreditAnswer, CreditAsk
from toucanyard.names import NodeName
from toucanyard.relay_core import RelayCore
from toucanyard.relay_events import LinkMessageRead, SendToPeer, TickPassed
from toucanyard.routes import RoutedCustomer

from .limit_fleet import LARGE, LIMIT, SILENCE_MS, LimitFleet
from .relay_examples import build_table
from .relay_fleet import Fleet, put


def find_coordinator(fleet: LimitFleet) -> RelayCore:
    """Let the large customer make a call, and return its limit's coordinator."""
    fleet.send_call(next(iter(fleet.cores)), LARGE, 200)
    fleet.run_for(100.0)
    (coordinator,) = [
        core
        for core in fleet.cores.values()
        if any(use.subject == LARGE for use in core.shares.list_usage())
    ]
    return coordinator


def find_level(coordinator: RelayCore) -> float:
    (level,) = [u.level for u in coordinator.shares.list_usage() if u.subject == LARGE]
    return level


def find_granted(coordinator: RelayCore) -> float:
    usage = coordinator.shares.list_usage()
    return sum(each.granted_total for each in usage if each.subject == LARGE)


def send_call(coordinator: RelayCore, fleet: LimitFleet, number: int) -> CreditAnswer:
    """Let another node request credit from a coordinator, and return the answer."""
    sender = next(c.identity for c in fleet.cores.values() if c is not coordinator)
    credit_request = CreditAsk(sender.node, number, LARGE, 5_000.0, 5_000.0, 0.0)
    (action,) = coordinator.handle(
        LinkMessageRead(sender, credit_request), fleet.now_ms
    )
    assert isinstance(action, SendToPeer)
    assert isinstance(action.message, CreditAnswer)
    return action.message


def test_question_that_comes_again_is_granted_once() -> None:
    """Guards against slow answers that exhaust a limit without any call."""
    fleet = LimitFleet(3, 3)
    coordinator = find_coordinator(fleet)
    send_call(coordinator, fleet, 69)
    before = find_level(coordinator)
    assert send_call(coordinator, fleet, 70) == send_call(coordinator, fleet, 70)
    assert find_level(coordinator) == before - 5_000.0
    send_call(coordinator, fleet, 71)
    assert find_level(coordinator) == before - 10_000.0


def test_shares_of_a_dead_node_are_not_given_out() -> None:
    """Guards against a dead node's share that counts until its delegation expires."""
    fleet = LimitFleet(3, 3)
    coordinator = find_coordinator(fleet)
    fleet.kill([name for name in fleet.cores if name != coordinator.identity.node][:3])
    fleet.run_for(300.0)
    (share,) = [u.share for u in coordinator.shares.list_usage() if u.subject == LARGE]
    assert round(share, 3) == round(6 / 9, 3)


def test_node_without_a_hub_waits_before_it_uses_its_own_share() -> None:
    """Guards against a share that counts at the hub and at the node itself."""
    fleet = LimitFleet(3, 23)
    hubs = set(fleet.find_hubs())
    leaf = next(name for name in fleet.cores if name not in hubs)
    core = fleet.cores[leaf]
    fleet.partition_network([leaf])
    fleet.run_for(SILENCE_MS + 500.0)
    assert core.node_directory.find_primary() is None
    assert core.shares.delegation is None
    fleet.run_for(2_000.0)
    assert core.shares.delegation is not None
    assert core.shares.delegation.nodes == 1
    assert set(core.shares.delegation.coordinators) == {leaf}


def test_node_that_knows_no_other_pledges_nothing() -> None:
    """Guards against a freshly started node that regards itself as the whole fleet."""
    fleet = Fleet("n0")
    limited = RoutedCustomer(LARGE, ("key",), limit=LIMIT)
    record = KeyedRecord("config", 0, put(build_table(customers=(limited,))))
    fleet.read("n0", Topic.OPERATOR, record)
    fleet.run(300.0)
    core = fleet.core("n0")
    assert core.shares.delegation is None
    fleet.read("n0", Topic.NODES, KeyedRecord("n0", 0, put(core.own_record)))
    fleet.run(300.0)
    assert core.shares.delegation is not None


def test_home_that_stops_is_a_home_no_more() -> None:
    """Guards against a planned stop during which customers get no credit."""
    fleet = LimitFleet(3, 3)
    coordinator = find_coordinator(fleet)
    coordinator.is_stopping = True
    fleet.run_for(1_500.0)
    others = [core for core in fleet.cores.values() if core is not coordinator]
    assert all(
        coordinator.identity.node not in c.shares.list_coordinators() for c in others
    )


def test_limits_cost_nothing_where_there_are_none() -> None:
    """Guards against work and messages when no limits are set."""
    fleet = LimitFleet(3, 3)
    fleet.set_limit(None)
    fleet.run_for(500.0)
    core = fleet.cores[NodeName("n0")]
    assert core.shares.delegation is None
    assert not core.limits.accounts.has_requests()
    request_count = core.limits.accounts.request_count
    fleet.send_call(NodeName("n0"), LARGE, 9_200)
    core.handle(TickPassed(), fleet.now_ms)
    assert core.limits.accounts.request_count == request_count


def test_tries_that_reach_no_replica_use_up_nothing() -> None:
    """Guards against unreachable replicas that use up their callers' limits."""
    low = msgspec.structs.replace(LIMIT, rate_per_s=1.0, burst=20_000.0)
    fleet = LimitFleet(3, 3, low)
    fleet.set_limit(LIMIT)
    fleet.run_for(1_500.0)
    coordinator = find_coordinator(fleet)
    fleet.set_limit(low)
    fleet.run_for(300.0)
    before = find_level(coordinator)
    for engine in list(fleet.engines.values()):
        engine.is_up = False
    fleet.send_call(coordinator.identity.node, LARGE, 9_200)
    fleet.run_for(1_500.0)
    assert not [s for s in fleet.list_runs() if s.call.request.tokens == 9_200]
    fleet.send_call(coordinator.identity.node, LARGE, 200)
    fleet.run_for(200.0)
    assert find_level(coordinator) > before - 9_200.0


def test_restarted_node_is_not_given_the_answers_of_before() -> None:
    """Guards against granting a new incarnation the credit its predecessor used."""
    fleet = LimitFleet(3, 3)
    coordinator = find_coordinator(fleet)
    node = next(n for n in fleet.cores if n != coordinator.identity.node)
    fleet.send_call(node, LARGE, 200)
    fleet.run_for(50.0)
    fleet.kill([node])
    fleet.start_again([node])
    fleet.run_for(500.0)
    before = find_granted(coordinator)
    fleet.send_call(node, LARGE, 200)
    fleet.run_for(50.0)
    assert find_granted(coordinator) == before + 200


def test_earlier_request_that_arrives_again_returns_nothing() -> None:
    """Guards against returned credit that counts twice if requests overtake others."""
    fleet = LimitFleet(3, 3)
    coordinator = find_coordinator(fleet)
    sender = next(c.identity for c in fleet.cores.values() if c is not coordinator)
    requests = [
        CreditAsk(sender.node, number, LARGE, 5_000.0, 5_000.0, returned)
        for number, returned in ((69, 0.0), (70, 4_000.0), (71, 0.0))
    ]
    for each in requests:
        coordinator.handle(LinkMessageRead(sender, each), fleet.now_ms)
    before = find_level(coordinator)
    for each in requests[:2]:
        assert not coordinator.handle(LinkMessageRead(sender, each), fleet.now_ms)
    assert find_level(coordinator) == before
