from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.digests import Digest, GossipUpdate, Restarted, Suspected
from toucanyard.membership import GOSSIP_TTL_MS
from toucanyard.membership_events import (
    DigestArrived,
    EndpointReported,
    EndpointRestarted,
    FetchConfiguration,
    PeerConfirmed,
    Ticked,
    VmListRead,
)
from toucanyard.names import EndpointName, Incarnation, NodeName

from .membership_fakes import TIMINGS, Fleet, build_vms


def test_leaving_endpoint_gets_no_work_though_the_list_lags() -> None:
    """One node reads the VM list before the others. Within the bound even the node four
    links away must stop using the leaving endpoint."""
    fleet = Fleet(5, 3)
    fleet.read_list(0, leaving=["e1"])
    fleet.run(TIMINGS.max_leaving_ms)
    for node in range(5):
        assert fleet.find_usable(node) == ["e0", "e2"]


def test_urgent_news_does_not_wait_for_the_interval_at_every_hop() -> None:
    """Two nodes are eleven links apart. If each hop took one interval, the update on a
    leaving VM would arrive too late."""
    fleet = Fleet(12, 3)
    fleet.read_list(0, leaving=["e1"])
    fleet.run(2 * TIMINGS.digest_interval_ms)
    assert fleet.find_usable(11) == ["e0", "e2"]


def test_leaving_news_ends_when_nobody_confirms_it() -> None:
    """An address is reused by a new VM. Old updates on the previous VM must not keep it
    idle forever."""
    fleet = Fleet(2, 3)
    fleet.read_list(0, leaving=["e1"])
    fleet.run(1_000)
    fleet.read_list(0)
    later_ms = GOSSIP_TTL_MS + 2_000
    assert not fleet.nodes[1].is_leaving(fleet.endpoints[1], later_ms)
    fleet.run(later_ms)
    assert fleet.find_usable(1) == ["e0", "e1", "e2"]


def test_own_error_counts_at_once_and_an_answer_ends_it() -> None:
    fleet = Fleet(1, 3)
    fleet.fail(0, 1)
    assert fleet.find_usable(0) == ["e0", "e2"]
    fleet.report(0, 1)
    assert fleet.find_usable(0) == ["e0", "e1", "e2"]


def test_doubt_without_polls_ends_by_itself() -> None:
    """This node reaches an endpoint only by callers' traffic. If an error excluded the
    endpoint forever, no traffic would ever show that it has recovered."""
    fleet = Fleet(1, 3)
    fleet.fail(0, 1, times=9)
    fleet.run(TIMINGS.condemn_window_ms + 200)
    assert "e1" in fleet.find_usable(0)


def test_one_source_condemns_nobody_and_two_do() -> None:
    """A node with a faulty network suspects endpoints that work. It must not exclude an
    endpoint for other nodes until a second source suspects it."""
    fleet = Fleet(4, 9)
    fleet.fail(0, 1, times=3)
    fleet.run(2_000)
    assert "e1" in fleet.find_usable(3)
    fleet.fail(1, 1, times=3)
    fleet.run(2_000)
    assert "e1" not in fleet.find_usable(3)
    fleet.report(1, 1)
    fleet.run(2_000)
    assert "e1" in fleet.find_usable(3)


def test_own_answer_outweighs_what_others_say() -> None:
    fleet = Fleet(3, 9)
    fleet.fail(0, 1, times=3)
    fleet.fail(1, 1, times=3)
    fleet.run(1_000)
    assert "e1" not in fleet.find_usable(2)
    fleet.report(2, 1)
    assert "e1" in fleet.find_usable(2)


def test_condemning_is_limited_to_a_share_of_the_pool() -> None:
    """Two nodes behind a broken switch suspect half of the pool. The rest of the fleet,
    which has not tried these endpoints, must not overload the other half."""
    fleet = Fleet(3, 12)
    for node in (0, 1):
        for endpoint in range(12):
            fleet.report(node, endpoint)
        for endpoint in range(6):
            fleet.fail(node, endpoint, times=3)
    fleet.run(3_000)
    assert len(fleet.find_usable(2)) == 8


def test_node_that_sees_everyone_dead_accuses_nobody_and_still_tries() -> None:
    """Two nodes lose their own networks and all endpoints fail for them. If they
    reported this, the third node would stop using endpoints that work."""
    fleet = Fleet(3, 9)
    for node in (0, 1):
        for endpoint in range(9):
            fleet.report(node, endpoint)
        for times in range(3):
            for endpoint in range(9):
                fleet.fail(node, endpoint)
            fleet.run(200 + times)
    fleet.run(2_000)
    assert fleet.nodes[0].is_self_suspect(fleet.now_ms)
    assert fleet.nodes[2].find_condemned(fleet.now_ms) == []
    assert len(fleet.find_usable(0)) == 9


def test_restart_is_learned_from_peers_and_clears_old_accusations() -> None:
    fleet = Fleet(4, 9)
    for node in range(4):
        fleet.report(node, 1, "old")
    for node in range(3):
        fleet.fail(node, 1, times=3)
    fleet.run(3_000)
    assert fleet.nodes[3].find_condemned(fleet.now_ms) == ["e1"]
    fleet.report(0, 1, "new")
    fleet.run(1_000)
    restarted = EndpointRestarted(fleet.endpoints[1].name, Incarnation("new"))
    assert fleet.actions.count(restarted) == 4
    assert fleet.nodes[3].find_condemned(fleet.now_ms) == []


def test_late_answer_of_a_dead_incarnation_is_not_believed() -> None:
    """A load report requested before a crash arrives after one of the new process.
    Applying it would restore the state of a cache that is lost."""
    fleet = Fleet(1, 1)
    node, name = fleet.nodes[0], fleet.endpoints[0].name
    node.handle(EndpointReported(name, Incarnation("new"), 500.0), 600.0)
    late = EndpointReported(name, Incarnation("old"), 100.0)
    assert node.handle(late, 700.0) == []
    assert node.find_incarnation(name) == "new"


def test_list_that_lost_most_entries_idles_nobody() -> None:
    """The platform's list is empty or truncated. Endpoints that answer must stay in
    use, while a single endpoint that is missing must not."""
    fleet = Fleet(1, 6)
    node = fleet.nodes[0]
    node.handle(VmListRead(()), 0.0)
    node.handle(VmListRead(build_vms(fleet.endpoints[:1], fleet.names)), 0.0)
    assert len(fleet.find_usable(0)) == 6
    node.handle(VmListRead(build_vms(fleet.endpoints[:5], fleet.names)), 0.0)
    assert fleet.find_usable(0) == ["e0", "e1", "e2", "e3", "e4"]


def test_delayed_digest_confirms_only_from_the_echo_on() -> None:
    """A digest is delayed by 9 s in a buffer. Its confirmation does not cover the time
    since; counting it from its arrival would hide a network partition."""
    fleet = Fleet(2, 1)
    digest = Digest(NodeName("n1"), 5.0, 1_000.0, 3, 7, 200.0)
    actions = fleet.nodes[0].handle(DigestArrived(NodeName("n1"), digest), 10_000.0)
    assert PeerConfirmed(NodeName("n1"), 3, 7, 800.0) in actions
    assert FetchConfiguration(NodeName("n1"), 1) in actions
    again = fleet.nodes[0].handle(DigestArrived(NodeName("n1"), digest), 10_100.0)
    assert not any(isinstance(each, FetchConfiguration) for each in again)


@given(
    st.floats(),
    st.floats(),
    st.floats(),
    st.integers(),
    st.lists(
        st.builds(
            Suspected,
            endpoint=st.sampled_from(["e0", "x"]).map(EndpointName),
            source=st.text(max_size=3).map(NodeName),
            age_ms=st.integers() | st.just(10**400),
        )
        | st.builds(
            Restarted,
            endpoint=st.just(EndpointName("e0")),
            incarnation=st.text(max_size=3).map(Incarnation),
            age_ms=st.integers(-5, 5),
        ),
        max_size=4,
    ),
)
def test_no_digest_makes_it_fail_or_look_younger_than_it_is(
    sent_ms: float,
    echo_ms: float,
    age_ms: float,
    version: int,
    updates: list[GossipUpdate],
) -> None:
    fleet = Fleet(2, 1)
    digest = Digest(
        NodeName("n1"), sent_ms, echo_ms, version, 0, age_ms, tuple(updates)
    )
    node, now_ms = fleet.nodes[0], 1_000.0
    for action in node.handle(DigestArrived(NodeName("n1"), digest), now_ms):
        if isinstance(action, PeerConfirmed):
            assert action.confirmed_ms <= min(now_ms, echo_ms)
    node.handle(Ticked(), 2_000.0)
    assert fleet.find_usable(0) == ["e0"]


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 5), st.sampled_from("ofrl")),
        max_size=40,
    )
)
def test_leaving_is_never_usable_and_something_always_is(
    steps: list[tuple[int, int, str]],
) -> None:
    fleet = Fleet(3, 6)
    leaving: set[str] = set()
    for node, endpoint, step in steps:
        match step:
            case "o":
                fleet.report(node, endpoint, str(endpoint))
            case "f":
                fleet.fail(node, endpoint, times=2)
            case "r":
                fleet.run(300)
            case _:
                leaving.add(f"e{endpoint}")
                fleet.read_list(node, sorted(leaving))
        if step == "l":
            assert not leaving & set(fleet.find_usable(node))
    fleet.run(3_000)
    for node in range(3):
        usable = set(fleet.find_usable(node))
        assert not leaving & usable
        assert usable or len(leaving) == 6


def test_watching_follows_the_nodes_and_the_configuration() -> None:
    """When a node leaves, its endpoints must get other watchers, and a new endpoint
    must get some, although each node caches its assignment."""
    fleet = Fleet(4, 80)
    shares = [len(node.find_watched(fleet.endpoints)) for node in fleet.nodes]
    assert sum(shares) == 80 * 3
    fleet.names.pop()
    for node in range(3):
        fleet.read_list(node)
        assert len(fleet.nodes[node].find_watched(fleet.endpoints)) == 80
    assert len(fleet.nodes[0].find_watched(fleet.endpoints[:70])) == 70


def test_one_node_follows_the_events_of_each_endpoint_and_another_takes_over() -> None:
    """Three nodes would read the same cache events three times. If the one that reads
    them drops out of the list, another must take over its endpoints; where endpoints
    are few, every node still follows all of them."""
    fleet = Fleet(5, 80)
    followed = [node.find_followed(fleet.endpoints) for node in fleet.nodes]
    assert sorted(each.name for share in followed for each in share) == sorted(
        each.name for each in fleet.endpoints
    )
    fleet.names.pop()
    for node in range(4):
        fleet.read_list(node)
    taken_over = [node.find_followed(fleet.endpoints) for node in fleet.nodes[:4]]
    assert sum(map(len, taken_over)) == 80
    assert fleet.nodes[0].find_followed(fleet.endpoints[:64]) == [*fleet.endpoints[:64]]
