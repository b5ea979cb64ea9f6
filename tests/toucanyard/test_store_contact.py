from __future__ import annotations

import pytest

from toucanyard.keyed_view import Topic
from toucanyard.store_contact import Absence, Answered, StoreContact
from toucanyard.store_schedule import (
    MAX_RANK,
    RETRY_MS,
    compute_away,
    compute_wanted_age,
)

AWAY_MS = 1_800.0


def build_contact(*reads_ms: float) -> StoreContact:
    """Return the contact of a node that has read at these times."""
    contact = StoreContact()
    for read_id, asked_ms in enumerate(reads_ms):
        contact.note(Answered(read_id + 1, asked_ms, asked_ms), AWAY_MS)
    return contact


def test_store_that_answers_again_and_again_was_never_away() -> None:
    contact = build_contact(0.0, 400.0, 1_300.0, 3_000.0)
    assert contact.find_absence() is None
    assert contact.find_answered() == Answered(4, 3_000.0, 0.0)


def test_store_that_answered_nobody_for_long_was_away_until_it_did() -> None:
    contact = build_contact(0.0, 400.0, 5_000.0, 5_400.0)
    assert contact.find_absence() == Absence(400.0, 5_000.0)


def test_first_answer_of_all_is_no_return() -> None:
    assert build_contact(9_000.0).find_absence() is None


@pytest.mark.parametrize(
    ("since_ms", "absence"),
    [
        (0.0, None),
        (2_100.0, None),
        (4_500.0, Absence(400.0, 4_500.0)),
        (5_100.0, Absence(400.0, 5_000.0)),
    ],
)
def test_what_peers_have_read_fills_a_break_or_moves_its_end(
    since_ms: float, absence: Absence | None
) -> None:
    """A node reads nothing from 0.4 s to 5 s; a peer tells of its own answers.

    If they reach back to the break's begin the node was alone in being cut off; if only
    a part of the way, the store came back before this node knew.
    """
    contact = build_contact(0.0, 400.0, 5_000.0)
    contact.note(Answered(77, 5_200.0, since_ms), AWAY_MS)
    assert contact.find_absence() == absence


def test_answers_from_before_the_break_change_nothing() -> None:
    contact = build_contact(0.0, 5_000.0)
    contact.note(Answered(77, 1_000.0, 0.0), AWAY_MS)
    assert contact.find_absence() == Absence(0.0, 5_000.0)
    assert contact.asked_ms == 5_000.0


def test_read_that_is_told_again_makes_the_list_no_younger() -> None:
    contact = build_contact(0.0, 400.0)
    contact.note(Answered(2, 900.0, 900.0), AWAY_MS)
    assert contact.asked_ms == 400.0
    contact.note(Answered(2, 350.0, 350.0), AWAY_MS)
    assert contact.asked_ms == 350.0
    contact.note(Answered(3, 700.0, 700.0), AWAY_MS)
    contact.note(Answered(2, 1_200.0, 1_200.0), AWAY_MS)
    assert contact.asked_ms == 700.0


@pytest.mark.parametrize("is_full_mesh", [True, False])
def test_store_is_away_only_when_every_node_would_have_read(is_full_mesh: bool) -> None:
    """The nodes that read first are cut off; the last in order reads as late as it may.

    What it reads then must not look like the return of a store that nobody reached.
    """
    last_ms = compute_wanted_age(
        Topic.REPLICAS, MAX_RANK + 9, is_full_mesh=is_full_mesh
    )
    away_ms = compute_away(Topic.REPLICAS, is_full_mesh=is_full_mesh)
    assert away_ms > last_ms + RETRY_MS
