from __future__ import annotations

import pytest

from toucanyard.keyed_view import Topic
from toucanyard.store_availability import AnsweredRead, StoreAvailability, StoreOutage
from toucanyard.store_schedule import (
    MAX_RANK,
    RETRY_MS,
    compute_outage_threshold,
    compute_read_age,
)

AWAY_MS = 1_800.0


def build_availability(*reads_ms: float) -> StoreAvailability:
    """Return the availability as known to a node that has read at these times."""
    availability = StoreAvailability()
    for read_id, asked_ms in enumerate(reads_ms):
        availability.record_read(AnsweredRead(read_id + 1, asked_ms, asked_ms), AWAY_MS)
    return availability


def test_store_that_answers_again_and_again_was_never_away() -> None:
    availability = build_availability(0.0, 400.0, 1_300.0, 3_000.0)
    assert availability.find_outage() is None
    assert availability.find_last_read() == AnsweredRead(4, 3_000.0, 0.0)


def test_store_that_answered_nobody_for_long_was_away_until_it_did() -> None:
    availability = build_availability(0.0, 400.0, 5_000.0, 5_400.0)
    assert availability.find_outage() == StoreOutage(400.0, 5_000.0)


def test_first_answer_of_all_is_no_return() -> None:
    assert build_availability(9_000.0).find_outage() is None


@pytest.mark.parametrize(
    ("since_ms", "outage"),
    [
        (0.0, None),
        (2_100.0, None),
        (4_500.0, StoreOutage(400.0, 4_500.0)),
        (5_100.0, StoreOutage(400.0, 5_000.0)),
    ],
)
def test_what_peers_have_read_fills_a_break_or_moves_its_end(
    since_ms: float, outage: StoreOutage | None
) -> None:
    """A node reads nothing from 0.4 s to 5 s; a peer reports its own reads.

    If these cover the gap, only the node was partitioned; if they cover its end, the
    store returned before this node knew of it.
    """
    availability = build_availability(0.0, 400.0, 5_000.0)
    availability.record_read(AnsweredRead(77, 5_200.0, since_ms), AWAY_MS)
    assert availability.find_outage() == outage


def test_answers_from_before_the_break_change_nothing() -> None:
    availability = build_availability(0.0, 5_000.0)
    availability.record_read(AnsweredRead(77, 1_000.0, 0.0), AWAY_MS)
    assert availability.find_outage() == StoreOutage(0.0, 5_000.0)
    assert availability.asked_ms == 5_000.0


def test_read_that_is_told_again_makes_the_list_no_younger() -> None:
    availability = build_availability(0.0, 400.0)
    availability.record_read(AnsweredRead(2, 900.0, 900.0), AWAY_MS)
    assert availability.asked_ms == 400.0
    availability.record_read(AnsweredRead(2, 350.0, 350.0), AWAY_MS)
    assert availability.asked_ms == 350.0
    availability.record_read(AnsweredRead(3, 700.0, 700.0), AWAY_MS)
    availability.record_read(AnsweredRead(2, 1_200.0, 1_200.0), AWAY_MS)
    assert availability.asked_ms == 700.0


@pytest.mark.parametrize("is_full_mesh", [True, False])
def test_store_is_away_only_when_every_node_would_have_read(is_full_mesh: bool) -> None:
    """Nodes of low rank are partitioned; the node of the highest rank reads last.

    Its read must not look like the end of an outage for all nodes.
    """
    last_ms = compute_read_age(Topic.REPLICAS, MAX_RANK + 9, is_full_mesh=is_full_mesh)
    away_ms = compute_outage_threshold(Topic.REPLICAS, is_full_mesh=is_full_mesh)
    assert away_ms > last_ms + RETRY_MS


def test_restore_before_any_answered_read_is_no_outage() -> None:
    """Guards against an outage of infinite length, which can't be logged."""
    availability = StoreAvailability()
    availability.record_restore(100.0)
    assert availability.find_outage() is None


def test_restore_is_an_outage_however_short_it_was() -> None:
    """Guards against taking replicas that the copy lacks for removed ones."""
    availability = StoreAvailability()
    availability.record_read(AnsweredRead(1, 900.0, 0.0), 1_800.0)
    availability.record_restore(1_000.0)
    outage = availability.find_outage()
    assert outage is not None
    assert outage.before_ms == 900.0
    assert outage.returned_ms == 1_000.0
