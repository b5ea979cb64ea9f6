from __future__ import annotations

import random

from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.names import EndpointName, NodeName, RequestId
from toucanyard.node_directory import MAX_ADDRESSES
from toucanyard.prompt_block_sources import (
    MAX_STORE_SILENCE_MS,
    STORE_FOLLOWERS,
    compute_store_name,
)
from toucanyard.relay_core import IDLE_TICK_MS, LARGE_FLEET_TICK_MS
from toucanyard.relay_events import CallArrived, PromptBlocksChanged, StopBegun
from toucanyard.status_schedule import URGENT_MS

from .relay_examples import (
    DESK,
    ENGINES,
    STORE,
    build_prompt,
    build_replica,
    build_request,
)
from .relay_fleet import PlannedFleet, put

PROPAGATION_MS = 1_200.0
"""Time in which a change on one node is known everywhere: three hops of a status."""


def build_fleet(domains: int = 3, nodes_each: int = 12) -> PlannedFleet:
    fleet = PlannedFleet(domains, nodes_each)
    replicas = [
        KeyedRecord(name, at, put(build_replica(name)))
        for at, name in enumerate("abcd")
    ]
    for name in fleet.cores:
        fleet.read(name, Topic.REPLICAS, *replicas)
    fleet.run(3_000.0)
    return fleet


def count_running(fleet: PlannedFleet, name: NodeName) -> int:
    usage = fleet.cores[name].flow.usage
    return sum(usage.compute(EndpointName(e), fleet.now_ms).running for e in "abcd")


def send_calls(
    fleet: PlannedFleet,
    names: list[NodeName],
    shared_tokens: int = 2_500,
    own_tokens: int = 600,
) -> None:
    for name in names:
        own = f"own-{name}"
        request = build_request(
            f"call-{name}",
            service=ENGINES,
            prompt=build_prompt(("book", shared_tokens), (own, own_tokens)),
            arrived_ms=fleet.now_ms,
            deadline_ms=fleet.now_ms + 60_000.0,
        )
        fleet.handle(name, CallArrived(request))


def test_every_node_knows_the_calls_of_all_and_counts_each_once() -> None:
    """Each node of a large fleet sends one call.

    Nodes that knew only some of the calls would send the next ones to replicas that are
    full; calls counted twice would make free replicas look full.
    """
    fleet = build_fleet()
    names = list(fleet.cores)
    send_calls(fleet, names)
    fleet.run(PROPAGATION_MS)
    assert {count_running(fleet, name) for name in names} == {len(names)}
    for name in names:
        request_id = RequestId(f"call-{name}")
        core = fleet.cores[name]
        list(core.flow.leave(request_id, fleet.now_ms))
    fleet.run(PROPAGATION_MS)
    assert {count_running(fleet, name) for name in names} == {0}


def test_calls_are_known_again_after_all_hubs_died() -> None:
    """All hubs of a fleet lose power at once while calls run.

    The remaining nodes choose other hubs to report to by themselves.
    """
    fleet = build_fleet()
    fleet.dead = set(fleet.find_hubs())
    alive = [name for name in fleet.cores if name not in fleet.dead]
    fleet.run(6_000.0)
    send_calls(fleet, alive)
    fleet.run(PROPAGATION_MS)
    assert {count_running(fleet, name) for name in alive} == {len(alive)}


def test_log_tells_to_whom_a_node_reports() -> None:
    """A hub fails; the log must show it to whoever looks into unexpected placement."""
    fleet = build_fleet()
    leaf = next(name for name in fleet.cores if name not in fleet.find_hubs())
    primary = fleet.cores[leaf].node_directory.find_primary()
    assert primary is not None
    fleet.log_entries.clear()
    fleet.dead = {primary}
    fleet.run(500.0)
    entries = [
        record.fields
        for name, record in fleet.log_entries
        if name == leaf and record.event == "hub_changed"
    ]
    assert [(each["before"], bool(each["hub"])) for each in entries] == [
        (primary, True)
    ]


def test_part_that_is_being_read_is_known_to_all_soon() -> None:
    """A replica begins to read a long prompt block.

    If it were reported with the next full status of each hop, the block would be known
    only after it has been read, and every node would have sent it elsewhere meanwhile.
    """
    fleet = build_fleet()
    sender = list(fleet.cores)[-1]
    send_calls(fleet, [sender])
    fleet.run(350.0)
    for core in fleet.cores.values():
        assert any(
            core.flow.block_index.count_leading(
                EndpointName(name), "m/1/", build_prompt().parts[:1], float("inf")
            )
            for name in "abcd"
        )


def test_long_call_is_counted_by_all_soon() -> None:
    """One of 36 nodes sends a long prompt to an idle replica.

    Reading it takes the replica 80 ms or more. Nodes that learned of it with the next
    status of each hop, half a second later, would consider the replica idle and also
    send their long prompts there; the last one would miss its target.
    """
    fleet = build_fleet()
    for core in fleet.cores.values():
        # The next regular statuses are 250 ms away.
        list(core.statuses.send(core.is_ready(), fleet.now_ms))
    # The shared block is small, so only the call's own length triggers an early status.
    send_calls(fleet, [list(fleet.cores)[-1]], shared_tokens=600, own_tokens=4_000)
    fleet.run(3 * URGENT_MS)
    assert {count_running(fleet, name) for name in fleet.cores} == {1}


def test_part_that_is_read_is_known_to_all() -> None:
    """A node in one domain has a replica read a prompt block.

    A node that does not know this sends the next call elsewhere, where the block is
    read again.
    """
    fleet = build_fleet()
    sender = list(fleet.cores)[-1]
    send_calls(fleet, [sender])
    fleet.run(PROPAGATION_MS)
    dispatched = [
        name
        for name in "abcd"
        if fleet.cores[sender].flow.usage.compute(EndpointName(name), 0.0).running
    ]
    for core in fleet.cores.values():
        held = core.flow.block_index.count_leading(
            EndpointName(dispatched[0]), "m/1/", build_prompt().parts[:1], float("inf")
        )
        assert held == 2_500


def test_callers_are_told_of_all_nodes_but_those_that_stop() -> None:
    """A node that reports to a hub is stopped.

    Callers cache an address for three seconds, so all nodes must omit it at once.
    """
    fleet = build_fleet()
    everyone = {core.own_record.callers for core in fleet.cores.values()}
    for core in fleet.cores.values():
        assert set(core.find_addresses(fleet.now_ms)) == everyone
    stopped = next(n for n in fleet.cores if n not in fleet.find_hubs())
    fleet.handle(stopped, StopBegun())
    fleet.run(400.0)
    left = everyone - {fleet.cores[stopped].own_record.callers}
    for core in fleet.cores.values():
        assert set(core.find_addresses(fleet.now_ms)) == left


def test_dead_nodes_are_named_to_no_caller_after_a_while() -> None:
    fleet = build_fleet()
    fleet.dead = set(random.Random(1).sample(list(fleet.cores), 18))
    fleet.run(5_000.0)
    left = {
        core.own_record.callers
        for name, core in fleet.cores.items()
        if name not in fleet.dead
    }
    for name, core in fleet.cores.items():
        if name not in fleet.dead:
            assert set(core.find_addresses(fleet.now_ms)) == left


def test_answers_name_no_more_addresses_than_callers_take() -> None:
    fleet = build_fleet(3, 24)
    counts = {len(core.find_addresses(fleet.now_ms)) for core in fleet.cores.values()}
    assert counts == {MAX_ADDRESSES}


def test_store_that_two_nodes_ask_is_known_to_all_and_forgotten_as_it_ends() -> None:
    """Two nodes of a large fleet query a prompt store, which then stops answering.

    Every node may use it while it answers; fetching from a dead store costs each call
    some hundred ms, so all must stop.
    """
    fleet = build_fleet()
    address = STORE.address
    for core in fleet.cores.values():
        assert not core.sources.find_stores(core.index, fleet.now_ms)
    followers = [
        name
        for name, core in fleet.cores.items()
        if any(
            each.address == address
            for each in core.sources.find_followed(core.index, fleet.now_ms)
        )
    ]
    assert len(followers) == STORE_FOLLOWERS
    for _ in range(8):
        for name in followers:
            event = PromptBlocksChanged(
                compute_store_name(STORE), (), is_reset=False, epoch=1
            )
            fleet.handle(name, event)
        fleet.run(250.0)
    for core in fleet.cores.values():
        assert core.sources.find_stores(core.index, fleet.now_ms)
    fleet.run(MAX_STORE_SILENCE_MS + 250.0)
    for core in fleet.cores.values():
        assert not core.sources.find_stores(core.index, fleet.now_ms)


def test_store_that_starts_anew_is_empty_for_all() -> None:
    fleet = build_fleet()
    name, follower = compute_store_name(STORE), next(iter(fleet.cores))
    parts = build_prompt().parts[:1]
    fleet.handle(follower, PromptBlocksChanged(name, (), is_reset=False, epoch=1))
    fleet.run(PROPAGATION_MS)
    for core in fleet.cores.values():
        core.flow.block_index.record(name, "m/1/", parts, 0.0, STORE.memory_tokens)
    fleet.handle(follower, PromptBlocksChanged(name, (), is_reset=False, epoch=2))
    fleet.run(PROPAGATION_MS)
    for core in fleet.cores.values():
        block_index = core.flow.block_index
        assert block_index.count_leading(name, "m/1/", parts, float("inf")) == 0


def test_replica_that_leaves_is_known_to_all_within_the_way_of_a_push() -> None:
    fleet = build_fleet()
    reader = list(fleet.cores)[-1]
    desk = KeyedRecord("x", 10, put(build_replica("x", service=DESK)))
    leaving = build_replica("x", service=DESK, is_draining=True)
    fleet.read(reader, Topic.REPLICAS, desk)
    for core in fleet.cores.values():
        assert core.directory.find_usable(DESK, fleet.now_ms)
    fleet.read(reader, Topic.REPLICAS, KeyedRecord("x", 11, put(leaving)))
    for core in fleet.cores.values():
        assert not core.directory.find_usable(DESK, fleet.now_ms)


def test_bytes_of_a_node_do_not_grow_with_the_fleet() -> None:
    """The fleet has twice the nodes, without calls.

    If each node sent a status to every other one, its traffic would double.
    """
    means = []
    for nodes_each in (10, 20):
        fleet = build_fleet(3, nodes_each)
        fleet.sent_bytes.clear()
        fleet.run(2_000.0)
        hubs = fleet.find_hubs()
        leaves = [name for name in fleet.cores if name not in hubs]
        means.append(sum(fleet.sent_bytes[each] for each in leaves) / len(leaves))
    assert means[1] < 1.2 * means[0]


def test_paused_replica_is_told_to_all_and_ends_once() -> None:
    """A replica refuses one node's call, since it is about to load weights.

    All nodes send their calls elsewhere. Forwarding the pause must not extend it, or it
    would circulate among the hubs forever.
    """
    fleet = build_fleet()
    sender = list(fleet.cores)[-1]
    now_ms = fleet.now_ms
    known = fleet.cores[sender].directory.find(EndpointName("a"))
    assert known is not None
    known.record_refused_call(now_ms)
    fleet.cores[sender].gossip.record_change(EndpointName("a"), now_ms)
    fleet.cores[sender].statuses.mark_due()
    fleet.run(300.0)
    for core in fleet.cores.values():
        other = core.directory.find(EndpointName("a"))
        assert other is not None
        assert other.is_loading(fleet.now_ms)
    fleet.run(700.0)
    for core in fleet.cores.values():
        other = core.directory.find(EndpointName("a"))
        assert other is not None
        assert not other.is_loading(fleet.now_ms)


def test_news_goes_to_each_node_once_and_not_back_to_its_teller() -> None:
    """One of 195 nodes has a call refused by a replica that is about to load weights.

    The node sends this to its hub, which forwards it to its group and the other hubs,
    which forward it to theirs. If each receiver sent it to its own hubs again, a
    rollout of weights to 64 replicas would keep all hubs busy with statuses and delay
    calls there.
    """
    fleet = build_fleet(5, 39)
    quiet_statuses = count_statuses(fleet, 400.0)
    sender = next(name for name in fleet.cores if name not in fleet.find_hubs())
    core = fleet.cores[sender]
    known = core.directory.find(EndpointName("a"))
    assert known is not None
    known.record_refused_call(fleet.now_ms)
    core.gossip.record_change(EndpointName("a"), fleet.now_ms)
    core.statuses.mark_due()
    update_statuses = count_statuses(fleet, 400.0) - quiet_statuses
    hubs = len(fleet.find_hubs())
    assert update_statuses <= len(fleet.cores) + hubs * hubs


def count_statuses(fleet: PlannedFleet, for_ms: float) -> int:
    """Return the number of statuses that all nodes send in `for_ms`."""
    before = fleet.sent_statuses
    fleet.run(for_ms)
    return fleet.sent_statuses - before


def test_nodes_that_have_nothing_to_do_rest_between_statuses() -> None:
    """In a fleet of 36 nodes one has a call, and six are hubs.

    These need short ticks to keep statuses, queues and orders on time; the ticks of all
    other nodes were most of the cost of a fleet without calls.
    """
    fleet = build_fleet()
    hubs = set(fleet.find_hubs())
    busy = next(name for name in fleet.cores if name not in hubs)
    send_calls(fleet, [busy])
    for name, core in fleet.cores.items():
        is_busy = name == busy or name in hubs
        assert core.compute_tick() == (LARGE_FLEET_TICK_MS if is_busy else IDLE_TICK_MS)
