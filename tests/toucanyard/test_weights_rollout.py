from __future__ import annotations

import pytest

from toucanyard.crash_detector import Reachability
from toucanyard.failed_loads import HALT_MS, MAX_FAILED_LOADS
from toucanyard.leases import Lease
from toucanyard.names import DomainName, EndpointName, NodeName
from toucanyard.relay_events import (
    OrderAnswered,
    ReadReplicaState,
    ReplicaState,
    ReplicaStateRead,
    WeightsOrder,
)
from toucanyard.relay_policy import RolloutPolicy
from toucanyard.replicas import KnownReplica, Replica
from toucanyard.stated_weights import StatedSpan
from toucanyard.weights_rollout import (
    ANNOUNCE_MS,
    LOST_MS,
    MANY_REPLICAS,
    SILENT_MS,
    SKIP_MS,
    UNLIMITED,
    RolloutBudget,
    WeightsRollout,
)

from .relay_examples import MODEL, build_replica

POLICY = RolloutPolicy()
LEASE = Lease(7, float("inf"))
STEP_MS = 20.0
LOAD_MS = 400.0
BACK_MS = 2_000.0
DEADLINE_MS = 12_000.0
"""Time in which new weights have to be in place."""


class Fleet:
    """Replicas that load weights when ordered, and the rollout that orders them."""

    def __init__(self, *names: str, domains: int = 1) -> None:
        self.rollout = WeightsRollout(NodeName("n1"), POLICY)
        self.domains = {
            name: DomainName(f"d{number * domains // len(names)}")
            for number, name in enumerate(names)
        }
        self.known = [KnownReplica(self.build(name)) for name in names]
        self.versions = dict.fromkeys(names, 1)
        self.counts = dict.fromkeys(names, 0)
        self.busy_until = dict.fromkeys(names, 0.0)
        self.loading: dict[str, int] = {}
        self.running: dict[EndpointName, int] = {}
        self.dead: set[str] = set()
        self.mute: set[str] = set()
        self.crashing: set[int] = set()
        """Versions that crash each replica which loads them."""
        self.crashes: list[tuple[float, str]] = []
        self.back_ms: dict[str, float] = {}
        self.orders: list[tuple[float, WeightsOrder]] = []
        self.now_ms = 0.0
        self.budget = UNLIMITED

    def build(self, name: str) -> Replica:
        domain = self.domains[name.partition("@")[0]]
        return build_replica(name, domain=domain)

    def crash_domain(self, domain: str) -> None:
        """Let all replicas of a domain crash at once, by a cause outside."""
        for each in self.known:
            name = each.replica.name
            if each.replica.domain == domain and name not in self.dead:
                self.loading.pop(name, None)
                self.crash(name)

    def run(self, version: int, for_ms: float) -> None:
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self.finish()
            actions = self.rollout.plan(
                MODEL,
                version,
                self.known,
                LEASE,
                self.running,
                self.now_ms,
                budget=self.budget,
            )
            for action in actions:
                match action:
                    case ReadReplicaState(replica=name):
                        self.record(self.read(name))
                    case WeightsOrder():
                        self.take(action)

    def record(self, read: ReplicaStateRead) -> None:
        if read.state is not None:
            known = next(e for e in self.known if e.replica.name == read.replica)
            for model, version in read.state.weights:
                known.record_weights(
                    model, version, StatedSpan(read.asked_ms, self.now_ms)
                )
        self.rollout.record_state(read)

    def finish(self) -> None:
        for name, version in list(self.loading.items()):
            if self.now_ms >= self.busy_until[name]:
                del self.loading[name]
                if version in self.crashing:
                    self.crash(name)
                else:
                    self.versions[name] = version
        for name, back_ms in list(self.back_ms.items()):
            if self.now_ms >= back_ms:
                self.start_again(name)

    def crash(self, name: str) -> None:
        self.crashes.append((self.now_ms, name))
        self.dead.add(name)
        self.back_ms[name] = self.now_ms + BACK_MS

    def start_again(self, name: str) -> None:
        """Start another incarnation, with the weights of the previous one."""
        del self.back_ms[name]
        incarnation = f"{name.partition('@')[0]}@{round(self.now_ms)}"
        number = [each.replica.name for each in self.known].index(EndpointName(name))
        self.known[number] = KnownReplica(self.build(incarnation))
        self.versions[incarnation] = self.versions.pop(name)
        self.counts[incarnation], self.busy_until[incarnation] = 0, 0.0

    def read(self, name: EndpointName) -> ReplicaStateRead:
        if name in self.back_ms:
            return ReplicaStateRead(name, None, self.now_ms, Reachability.NO_LISTENER)
        if name in self.dead:
            return ReplicaStateRead(name, None, self.now_ms)
        state = ReplicaState(
            ((MODEL, self.versions[name]),),
            name in self.loading,
            self.counts[name],
            0,
            0,
        )
        return ReplicaStateRead(name, state, self.now_ms)

    def take(self, order: WeightsOrder) -> None:
        self.orders.append((self.now_ms, order))
        name = order.replica
        status: int | None = 202
        if name in self.dead or name in self.mute:
            status = None
        elif name in self.loading or order.expected_order_count != self.counts[name]:
            status = 409
        if name not in self.dead and status != 409:
            self.counts[name] += 1
            self.loading[name] = order.version
            self.busy_until[name] = self.now_ms + LOAD_MS
        self.rollout.record_answer(OrderAnswered(order, status), self.now_ms)


def test_all_replicas_get_the_weights_two_at_a_time() -> None:
    fleet = Fleet(*"abcde")
    most = 0
    for _ in range(200):
        fleet.run(2, STEP_MS)
        most = max(most, len(fleet.rollout.list_changing()))
    assert set(fleet.versions.values()) == {2}
    assert most == POLICY.min_changing
    assert len(fleet.orders) == 5


def test_replica_is_announced_before_it_is_ordered() -> None:
    """A replica that received the order rejects new calls.

    Nodes that don't know of it continue to send calls, and those that may be sent only
    once fail.
    """
    fleet = Fleet(*"abc")
    # One step for the reports that show which replicas respond.
    fleet.run(2, 2 * STEP_MS)
    announced = [each for each in fleet.known if each.is_loading(fleet.now_ms)]
    assert len(announced) == POLICY.min_changing
    announced_ms = fleet.now_ms
    assert not fleet.orders
    fleet.run(2, ANNOUNCE_MS + 2 * STEP_MS)
    assert len(fleet.orders) == POLICY.min_changing
    assert all(at_ms >= announced_ms + ANNOUNCE_MS for at_ms, _ in fleet.orders)


def test_idle_replica_goes_first_and_a_busy_one_gets_time_to_end() -> None:
    fleet = Fleet(*"abc")
    fleet.running = {EndpointName("a"): 9, EndpointName("b"): 3}
    fleet.run(2, 3_000.0)
    at_ms = {order.replica: at for at, order in fleet.orders}
    assert at_ms[EndpointName("c")] < at_ms[EndpointName("b")]
    assert at_ms[EndpointName("b")] >= POLICY.drain_ms
    under_calls = {order.replica: order.is_under_calls for _, order in fleet.orders}
    assert under_calls[EndpointName("b")]
    assert not under_calls[EndpointName("c")]


def test_order_without_an_answer_is_not_doubled() -> None:
    """A replica accepts an order and its answer is lost.

    If the order were repeated at once, a second, needless load would follow.
    """
    fleet = Fleet("a")
    fleet.mute = {"a"}
    fleet.run(2, LOST_MS + 2_000.0)
    assert fleet.versions == {"a": 2}
    assert len(fleet.orders) == 1


def test_order_that_never_arrived_is_given_again() -> None:
    fleet = Fleet("a")
    fleet.run(2, ANNOUNCE_MS + 5 * STEP_MS)
    assert len(fleet.orders) == 1
    fleet.loading.clear()
    fleet.run(2, LOST_MS + 1_000.0)
    assert fleet.versions == {"a": 2}
    assert [order.expected_order_count for _, order in fleet.orders] == [0, 1]


def test_dead_replica_does_not_hold_up_the_others() -> None:
    fleet = Fleet(*"abcd")
    fleet.dead = {"a", "b"}
    fleet.run(2, SILENT_MS + 1_500.0)
    assert fleet.versions == {"a": 1, "b": 1, "c": 2, "d": 2}
    fleet.dead = set()
    fleet.run(2, SKIP_MS + 1_500.0)
    assert set(fleet.versions.values()) == {2}


def test_newer_weights_skip_those_that_are_not_ordered_yet() -> None:
    fleet = Fleet(*"abcde")
    fleet.run(2, ANNOUNCE_MS + 3 * STEP_MS)
    fleet.run(3, 6_000.0)
    assert set(fleet.versions.values()) == {3}
    ordered = [order.version for _, order in fleet.orders]
    assert ordered.count(2) == POLICY.min_changing
    assert ordered.count(3) == 5


def test_stale_fence_ends_the_turn() -> None:
    fleet = Fleet("a")
    fleet.run(2, ANNOUNCE_MS + 3 * STEP_MS)
    order = fleet.orders[0][1]
    assert fleet.rollout.record_answer(OrderAnswered(order, 412), fleet.now_ms)
    fleet.rollout.stop(fleet.known)
    assert fleet.rollout.list_changing() == []
    assert not fleet.known[0].is_loading(fleet.now_ms)


def count_at_once(fleet: Fleet) -> int:
    """Return the most replicas that were out of use at one moment."""
    most = 0
    for _ in range(200):
        fleet.run(2, STEP_MS)
        loading = [each for each in fleet.known if each.is_loading(fleet.now_ms)]
        most = max(most, len(loading))
    return most


def test_share_is_of_the_replicas_that_calls_can_use() -> None:
    """Two of six replicas are unavailable when new weights are set.

    If the other four loaded two at a time, two with cold caches would be left for all
    calls; first events then took two seconds.
    """
    fleet = Fleet(*"abcdef")
    for known in fleet.known[:2]:
        known.record_failure(0.0, is_dead=True)
        known.backoff_until_ms = float("inf")
        fleet.dead.add(known.replica.name)
    assert count_at_once(fleet) == 1
    versions = [fleet.versions[name] for name in "cdef"]
    assert versions == [2] * 4


def test_all_healthy_change_two_at_a_time() -> None:
    fleet = Fleet(*"abcdef")
    assert count_at_once(fleet) == 2
    assert set(fleet.versions.values()) == {2}


def test_late_rollout_takes_as_many_as_without_pacing() -> None:
    """Four of six replicas are left, and the deadline for new weights is near.

    One at a time, the last one would miss the deadline, after which calls may no longer
    start on it.
    """
    fleet = Fleet(*"abcdef")
    for known in fleet.known[:2]:
        known.backoff_until_ms = float("inf")
        fleet.dead.add(known.replica.name)
    fleet.budget = RolloutBudget(1_000.0)
    assert count_at_once(fleet) == POLICY.min_changing


def test_many_replicas_are_not_all_asked_for_reports() -> None:
    """A pool of thousands gets new weights.

    Two reports per second from each replica would be the holder's largest cost.
    """
    fleet = Fleet(*(f"r{number}" for number in range(MANY_REPLICAS + 1)))
    actions = fleet.rollout.plan(MODEL, 2, fleet.known, LEASE, {}, 0.0)
    reads = [each for each in actions if isinstance(each, ReadReplicaState)]
    changing = fleet.rollout.list_changing()
    assert {each.replica for each in reads} <= set(changing)
    assert len(changing) < MANY_REPLICAS


def test_weights_that_crash_replicas_are_not_loaded_into_one_after_another() -> None:
    """Guards against a rollout that continues although it crashes each replica."""
    fleet = Fleet(*"abcdef")
    fleet.crashing = {2}
    fleet.run(2, HALT_MS)
    most = MAX_FAILED_LOADS + POLICY.min_changing - 1
    assert MAX_FAILED_LOADS <= len(fleet.crashes) <= most
    assert fleet.rollout.is_halted(2, fleet.now_ms)


def test_halted_weights_are_tried_again_by_one_replica_at_a_time() -> None:
    """Guards against weights that stay halted after the replicas were repaired."""
    fleet = Fleet(*"abcdef")
    fleet.crashing = {2}
    fleet.run(2, HALT_MS)
    before = len(fleet.crashes)
    fleet.run(2, HALT_MS)
    assert len(fleet.crashes) <= before + POLICY.min_changing
    fleet.crashing = set()
    fleet.run(2, HALT_MS + 10_000.0)
    assert set(fleet.versions.values()) == {2}


def test_newer_weights_are_loaded_though_older_ones_were_halted() -> None:
    fleet = Fleet(*"abcdef")
    fleet.crashing = {2}
    fleet.run(2, 10_000.0)
    fleet.run(3, 10_000.0)
    assert set(fleet.versions.values()) == {3}


def test_replicas_that_crash_by_themselves_do_not_halt_a_rollout() -> None:
    """Guards against a rollout that halts although the weights have been loaded."""
    fleet = Fleet(*"abcdef")
    fleet.run(2, 1_500.0)
    assert 2 in fleet.versions.values()
    for _ in range(MAX_FAILED_LOADS):
        fleet.run(2, 300.0)
        for name in list(fleet.loading)[:1]:
            del fleet.loading[name]
            fleet.crash(name)
    fleet.run(2, 10_000.0)
    assert set(fleet.versions.values()) == {2}


def list_old(fleet: Fleet) -> list[str]:
    return [name for name, version in fleet.versions.items() if version < 2]


@pytest.mark.parametrize("domains", [1, 3])
@pytest.mark.parametrize("after_ms", [100.0, 300.0, 400.0])
def test_crash_of_a_domain_does_not_halt_new_weights(
    domains: int, after_ms: float
) -> None:
    """Guards against a crash of a domain that is taken for a fault of the weights."""
    fleet = Fleet(*"abcdefghijkl", domains=domains)
    fleet.run(2, after_ms)
    fleet.crash_domain("d0")
    fleet.run(2, DEADLINE_MS)
    assert not list_old(fleet)


def test_crash_of_a_second_domain_does_not_halt_new_weights() -> None:
    """Guards against crashes of two domains in turn that count as two failed tries."""
    fleet = Fleet(*"abcdefghijkl", domains=3)
    fleet.run(2, 300.0)
    fleet.crash_domain("d0")
    fleet.run(2, 300.0)
    fleet.crash_domain("d1")
    fleet.run(2, DEADLINE_MS)
    assert not list_old(fleet)


@pytest.mark.parametrize("domains", [1, 2, 3, 12])
def test_weights_that_crash_replicas_end_few_of_them(domains: int) -> None:
    """Guards against a rollout that tells crashes of a domain from bad weights late."""
    fleet = Fleet(*"abcdefghijkl", domains=domains)
    fleet.crashing = {2}
    fleet.run(2, HALT_MS - 10_000.0)
    assert len(fleet.crashes) <= 5
    assert fleet.rollout.is_halted(2, fleet.now_ms)
    fleet.run(3, DEADLINE_MS)
    assert set(fleet.versions.values()) == {3}


@pytest.mark.parametrize("domains", [1, 3])
def test_entries_at_which_nobody_listens_excuse_no_bad_weights(domains: int) -> None:
    """Guards against entries of another writer that count as crashes beside a load."""
    names = "abcdefghijkl"
    fleet = Fleet(*names, domains=domains)
    for name in names[::4]:
        fleet.dead.add(name)
        fleet.back_ms[name] = float("inf")
    fleet.crashing = {2}
    fleet.run(2, HALT_MS - 10_000.0)
    assert len(fleet.crashes) <= 5
    assert fleet.rollout.is_halted(2, fleet.now_ms)
