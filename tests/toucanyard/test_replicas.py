from __future__ import annotations

from toucanyard.keyed_view import Topic
from toucanyard.names import EndpointName
from toucanyard.replicas import (
    DRAIN_MS,
    EXPIRY_GRACE_MS,
    FORGET_MS,
    MAX_BACKOFF_MS,
    MIN_BACKOFF_MS,
    REFUSAL_PAUSE_MS,
    RETURN_DETECTION_MS,
    SEND_MARGIN_MS,
    ReplicaDirectory,
)
from toucanyard.stated_weights import StatedSpan
from toucanyard.store_availability import StoreOutage
from toucanyard.store_schedule import compute_read_age

from .relay_examples import ENGINES, MODEL, build_replica


def build_directory(*names: str, drain_ms: float = DRAIN_MS) -> ReplicaDirectory:
    directory = ReplicaDirectory(drain_ms)
    for name in names:
        directory.apply(build_replica(name), 0.0)
    return directory


def list_usable(directory: ReplicaDirectory, now_ms: float) -> list[str]:
    return [each.replica.name for each in directory.find_usable(ENGINES, now_ms)]


def test_leaving_replica_never_comes_back() -> None:
    """A replica announces its leave; an older entry of it arrives late from a peer.

    If the entry were applied, the replica would get new calls until it exits.
    """
    directory = build_directory("a", "b")
    directory.apply(build_replica("a", is_draining=True), 0.0)
    directory.apply(build_replica("a"), 0.0)
    assert list_usable(directory, 0.0) == ["b"]


def test_vanished_replica_is_gone_at_once() -> None:
    directory = build_directory("a", "b", "c")
    directory.remove([EndpointName("a")], 0.0, listed_ms=-400.0)
    assert list_usable(directory, 0.0) == ["b", "c"]


def test_entries_that_lapsed_while_the_store_was_away_count_a_while() -> None:
    """The store is down, and leases of live replicas expire meanwhile.

    On its return the list is empty, and each call would be refused until the replicas
    have registered again. One that is still missing then is dead, and one that was
    removed meanwhile ends; both grace periods start at the store's return.
    """
    for drain_ms in (2_000.0, 4_000.0):
        directory = build_directory("a", "b", "c", drain_ms=drain_ms)
        directory.record_absence(StoreOutage(-5_000.0, 0.0))
        directory.remove([EndpointName("a")], 300.0, listed_ms=-5_000.0)
        end_ms = min(EXPIRY_GRACE_MS, drain_ms - SEND_MARGIN_MS - RETURN_DETECTION_MS)
        assert list_usable(directory, end_ms - 1) == ["a", "b", "c"]
        assert list_usable(directory, end_ms) == ["b", "c"]


def test_removed_replica_counts_no_more_once_the_store_proves_to_have_been_well() -> (
    None
):
    """A cut-off node reads a removal, then learns what its peers have read.

    By itself it concludes that the store was down; its peers' reads take precedence.
    """
    directory = build_directory("a", "b", "c")
    directory.record_absence(StoreOutage(-3_000.0, 0.0))
    directory.remove([EndpointName("a")], 100.0, listed_ms=-3_000.0)
    assert list_usable(directory, 200.0) == ["a", "b", "c"]
    directory.record_absence(None)
    assert list_usable(directory, 200.0) == ["b", "c"]


def test_replica_that_went_before_the_store_was_away_stays_gone() -> None:
    """A replica is removed; ten seconds later the store is down for a while.

    The store's return must not restore the replica: calls were sent to one that had
    been removed for 19 s.
    """
    directory = build_directory("a", "b", "c")
    directory.remove([EndpointName("a")], 0.0, listed_ms=-400.0)
    directory.record_absence(StoreOutage(10_000.0, 15_000.0))
    assert list_usable(directory, 15_100.0) == ["b", "c"]


def test_replica_whose_entry_another_writer_took_gets_no_grace_of_a_return() -> None:
    directory = build_directory("a", "b", "c")
    directory.remove([EndpointName("a")], 0.0, listed_ms=-400.0)
    directory.remove_foreign(EndpointName("a"), 100.0)
    directory.record_absence(StoreOutage(-400.0, 5_000.0))
    assert list_usable(directory, 5_100.0) == ["b", "c"]


def test_half_of_a_service_that_goes_at_once_counts_a_while() -> None:
    directory = build_directory("a", "b", "c")
    directory.remove([EndpointName("a"), EndpointName("b")], 0.0, listed_ms=-400.0)
    assert list_usable(directory, 1.0) == ["a", "b", "c"]
    directory.apply(build_replica("a"), 0.0)
    assert list_usable(directory, EXPIRY_GRACE_MS) == ["a", "c"]


def test_replicas_that_are_taken_away_together_are_not_used_when_they_end() -> None:
    """Two of three replicas are released; their entries vanish in one read of the list.

    The store was up. The replicas run for 2 s from then on, and this node may learn of
    the removal a second late; calls sent after that would reach an exiting process.
    """
    directory = build_directory("a", "b", "c")
    learned_late_ms = compute_read_age(Topic.REPLICAS, 2)
    both = [EndpointName("a"), EndpointName("b")]
    directory.remove(both, 0.0, listed_ms=-learned_late_ms)
    assert list_usable(directory, 2_000.0 - learned_late_ms) == ["c"]


def test_dead_replica_rests_longer_each_time_and_recovers() -> None:
    directory = build_directory("a", "b")
    known = directory.find(EndpointName("a"))
    assert known is not None
    known.record_failure(0.0, is_dead=True)
    assert list_usable(directory, MIN_BACKOFF_MS - 1) == ["b"]
    assert list_usable(directory, MIN_BACKOFF_MS) == ["a", "b"]
    for _ in range(9):
        known.record_failure(1_000.0, is_dead=True)
    assert list_usable(directory, 1_000 + MAX_BACKOFF_MS - 1) == ["b"]
    known.record_success()
    assert list_usable(directory, 1_000.0) == ["a", "b"]


def test_no_call_goes_to_a_dead_replica_while_the_others_load() -> None:
    """One replica has crashed and is still listed; all others load weights.

    If it were used for lack of others, each call would fail within milliseconds.
    """
    directory = build_directory("a", "b")
    dead, loading = (directory.find(EndpointName(each)) for each in "ab")
    assert dead is not None
    assert loading is not None
    dead.record_failure(0.0, is_dead=True)
    loading.record_refused_call(0.0)
    assert list_usable(directory, 1.0) == []
    assert list_usable(directory, REFUSAL_PAUSE_MS) == ["a", "b"]


def test_new_weights_end_the_pause_of_their_load() -> None:
    """A peer announces a load; the store shows its completion before the peer does.

    If the pause remained, the replica would idle for a second and its calls go to dead
    replicas.
    """
    directory = build_directory("a")
    known = directory.find(EndpointName("a"))
    assert known is not None
    known.loading_until_ms = 5_000.0
    directory.apply(build_replica("a"), 0.0)
    assert list_usable(directory, 0.0) == []
    directory.apply(build_replica("a", weights=((MODEL, 2),)), 0.0)
    assert list_usable(directory, 0.0) == ["a"]


def test_weights_never_fall() -> None:
    directory = build_directory("a")
    known = directory.find(EndpointName("a"))
    assert known is not None
    known.record_weights(MODEL, 3, StatedSpan(0.0, 0.0))
    directory.apply(build_replica("a", weights=((MODEL, 2),)), 0.0)
    assert known.weights == {MODEL: 3}


def test_replaced_and_old_replicas_are_forgotten() -> None:
    directory = build_directory("a", "b")
    directory.record_replaced(EndpointName("a"), 10.0)
    assert list_usable(directory, 10.0) == ["b"]
    assert directory.prune(10.0 + FORGET_MS) == []
    assert directory.prune(11.0 + FORGET_MS) == ["a"]
    assert directory.find(EndpointName("a")) is None
