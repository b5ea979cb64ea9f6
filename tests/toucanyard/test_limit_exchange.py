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


def find_home(fleet: LimitFleet) -> RelayCore:
    """Return the home of the large customer, after a call of it."""
    fleet.ask(next(iter(fleet.cores)), LARGE, 200)
    fleet.run_for(100.0)
    (home,) = [
        core
        for core in fleet.cores.values()
        if any(use.subject == LARGE for use in core.shares.list_uses())
    ]
    return home


def find_level(home: RelayCore) -> float:
    (level,) = [u.level for u in home.shares.list_uses() if u.subject == LARGE]
    return level


def find_granted(home: RelayCore) -> float:
    uses = home.shares.list_uses()
    return sum(each.granted_total for each in uses if each.subject == LARGE)


def ask(home: RelayCore, fleet: LimitFleet, number: int) -> CreditAnswer:
    """Let another node ask a home, and return the answer."""
    sender = next(c.identity for c in fleet.cores.values() if c is not home)
    question = CreditAsk(sender.node, number, LARGE, 5_000.0, 5_000.0, 0.0)
    (action,) = home.handle(LinkMessageRead(sender, question), fleet.now_ms)
    assert isinstance(action, SendToPeer)
    assert isinstance(action.message, CreditAnswer)
    return action.message


def test_question_that_comes_again_is_granted_once() -> None:
    """Guards against slow answers that use up a limit without a call."""
    fleet = LimitFleet(3, 3)
    home = find_home(fleet)
    ask(home, fleet, 69)
    before = find_level(home)
    assert ask(home, fleet, 70) == ask(home, fleet, 70)
    assert find_level(home) == before - 5_000.0
    ask(home, fleet, 71)
    assert find_level(home) == before - 10_000.0


def test_shares_of_a_dead_node_are_not_given_out() -> None:
    """Guards against shares that count at their home until they lapse."""
    fleet = LimitFleet(3, 3)
    home = find_home(fleet)
    fleet.kill([name for name in fleet.cores if name != home.identity.node][:3])
    fleet.run_for(300.0)
    (share,) = [u.share for u in home.shares.list_uses() if u.subject == LARGE]
    assert round(share, 3) == round(6 / 9, 3)


def test_node_without_a_hub_waits_before_it_uses_its_own_share() -> None:
    """Guards against a share that counts at the hub and at its node."""
    fleet = LimitFleet(3, 23)
    hubs = set(fleet.find_hubs())
    leaf = next(name for name in fleet.cores if name not in hubs)
    core = fleet.cores[leaf]
    fleet.cut_apart([leaf])
    fleet.run_for(SILENCE_MS + 500.0)
    assert core.node_directory.find_primary() is None
    assert core.shares.pledge is None
    fleet.run_for(2_000.0)
    assert core.shares.pledge is not None
    assert core.shares.pledge.nodes == 1
    assert set(core.shares.pledge.homes) == {leaf}


def test_node_that_knows_no_other_pledges_nothing() -> None:
    """Guards against a node that has just started and takes itself for the fleet."""
    fleet = Fleet("n0")
    limited = RoutedCustomer(LARGE, ("key",), limit=LIMIT)
    record = KeyedRecord("config", 0, put(build_table(customers=(limited,))))
    fleet.read("n0", Topic.OPERATOR, record)
    fleet.run(300.0)
    core = fleet.core("n0")
    assert core.shares.pledge is None
    fleet.read("n0", Topic.NODES, KeyedRecord("n0", 0, put(core.own_record)))
    fleet.run(300.0)
    assert core.shares.pledge is not None


def test_home_that_stops_is_a_home_no_more() -> None:
    """Guards against a planned stop that takes customers' credit with it."""
    fleet = LimitFleet(3, 3)
    home = find_home(fleet)
    home.is_stopping = True
    fleet.run_for(1_500.0)
    others = [core for core in fleet.cores.values() if core is not home]
    assert all(home.identity.node not in c.shares.list_homes() for c in others)


def test_limits_cost_nothing_where_there_are_none() -> None:
    """Guards against work and messages for limits that nobody set."""
    fleet = LimitFleet(3, 3)
    fleet.set_limit(None)
    fleet.run_for(500.0)
    core = fleet.cores[NodeName("n0")]
    assert core.shares.pledge is None
    assert not core.limits.accounts.has_questions()
    asked = core.limits.accounts.asked
    fleet.ask(NodeName("n0"), LARGE, 9_200)
    core.handle(TickPassed(), fleet.now_ms)
    assert core.limits.accounts.asked == asked


def test_tries_that_reach_no_replica_use_up_nothing() -> None:
    """Guards against replicas that are away and cost their callers the limit."""
    low = msgspec.structs.replace(LIMIT, rate_per_s=1.0, burst=20_000.0)
    fleet = LimitFleet(3, 3, low)
    fleet.set_limit(LIMIT)
    fleet.run_for(1_500.0)
    home = find_home(fleet)
    fleet.set_limit(low)
    fleet.run_for(300.0)
    before = find_level(home)
    for engine in list(fleet.engines.values()):
        engine.is_up = False
    fleet.ask(home.identity.node, LARGE, 9_200)
    fleet.run_for(1_500.0)
    assert not [s for s in fleet.list_runs() if s.call.request.tokens == 9_200]
    fleet.ask(home.identity.node, LARGE, 200)
    fleet.run_for(200.0)
    assert find_level(home) > before - 9_200.0


def test_restarted_node_is_not_given_the_answers_of_before() -> None:
    """Guards against credit that one incarnation used and the next gets again."""
    fleet = LimitFleet(3, 3)
    home = find_home(fleet)
    node = next(n for n in fleet.cores if n != home.identity.node)
    fleet.ask(node, LARGE, 200)
    fleet.run_for(50.0)
    fleet.kill([node])
    fleet.start_again([node])
    fleet.run_for(500.0)
    before = find_granted(home)
    fleet.ask(node, LARGE, 200)
    fleet.run_for(50.0)
    assert find_granted(home) == before + 200
