from __future__ import annotations

import random

from toucanyard.names import CustomerName, Fingerprint
from toucanyard.quarantine import (
    MAX_ENTRIES,
    RANK_DELAY_MS,
    WRITE_DELAY_MS,
    EraseQuarantine,
    Quarantine,
    QuarantinedRequest,
    WriteQuarantine,
)

REQUEST = QuarantinedRequest(Fingerprint("f"), "7a", CustomerName("c"), "r", ())
STORED_MS = 60_000.0
"""When the record is lost; long after the entry began."""


def build_quarantine(rank: int = 0) -> Quarantine:
    return Quarantine(lambda *_: rank, random.Random(1))


def list_due(quarantine: Quarantine, now_ms: float) -> list[object]:
    return list(quarantine.tick(now_ms))


def test_lost_record_is_written_again_by_one_node_after_another() -> None:
    """Guards against a burst of writes, and against a request held by no record."""
    for rank in range(3):
        quarantine = build_quarantine(rank)
        quarantine.apply_record(REQUEST, 0.0)
        assert not quarantine.apply_lost(REQUEST, STORED_MS)
        assert quarantine.is_held(REQUEST.fingerprint)
        due_ms = STORED_MS + WRITE_DELAY_MS + rank * RANK_DELAY_MS
        assert list_due(quarantine, due_ms - 1.0) == []
        assert list_due(quarantine, due_ms + 100.0) == [WriteQuarantine(REQUEST)]


def test_lost_record_that_another_node_has_written_is_not_written() -> None:
    """Guards against one write for each node after a restore."""
    quarantine = build_quarantine(rank=1)
    quarantine.apply_record(REQUEST, 0.0)
    quarantine.apply_lost(REQUEST, STORED_MS)
    quarantine.apply_record(REQUEST, STORED_MS + WRITE_DELAY_MS)
    assert list_due(quarantine, STORED_MS + 10 * RANK_DELAY_MS) == []


def test_ended_entry_that_comes_back_with_a_copy_is_removed_again() -> None:
    """Guards against a restored store that holds a released request once more."""
    quarantine = build_quarantine()
    quarantine.apply_record(REQUEST, 0.0)
    quarantine.end(REQUEST.fingerprint, 10.0)
    quarantine.on_erased(REQUEST.fingerprint)
    assert not quarantine.apply_record(REQUEST, STORED_MS)
    assert not quarantine.is_held(REQUEST.fingerprint)
    erased = [EraseQuarantine(REQUEST.fingerprint)]
    assert list_due(quarantine, STORED_MS + WRITE_DELAY_MS) == erased


def test_entry_whose_removal_was_read_does_not_come_back() -> None:
    """Guards against forgetting an end that another node has written."""
    quarantine = build_quarantine()
    quarantine.apply_record(REQUEST, 0.0)
    assert quarantine.on_record_removed(REQUEST.fingerprint)
    assert not quarantine.apply_record(REQUEST, STORED_MS)
    assert not quarantine.apply_lost(REQUEST, STORED_MS)
    assert not quarantine.is_held(REQUEST.fingerprint)


def test_lost_entry_that_ends_is_removed_from_other_nodes_too() -> None:
    """Guards against nodes that write a record again after it has ended elsewhere."""
    quarantine = build_quarantine()
    quarantine.apply_record(REQUEST, 0.0)
    quarantine.apply_lost(REQUEST, STORED_MS)
    assert quarantine.end(REQUEST.fingerprint, STORED_MS + 10.0)
    due_ms = STORED_MS + 10.0 + WRITE_DELAY_MS
    assert list_due(quarantine, due_ms) == [EraseQuarantine(REQUEST.fingerprint)]


def test_record_that_was_written_but_never_read_is_written_again() -> None:
    """Guards against an entry that was stored just before the store was lost."""
    quarantine = build_quarantine()
    quarantine.begin(REQUEST.fingerprint, REQUEST.customer, "r", (), 0.0)
    (written,) = list_due(quarantine, WRITE_DELAY_MS)
    quarantine.on_written(REQUEST.fingerprint, WRITE_DELAY_MS)
    quarantine.retain_stored([], 1_000.0)
    due_ms = 1_000.0 + WRITE_DELAY_MS
    assert list_due(quarantine, due_ms) == [written]


def test_stored_records_are_not_written_again_after_a_restore() -> None:
    """Guards against a write for each entry after each restore."""
    quarantine = build_quarantine()
    quarantine.apply_record(REQUEST, 0.0)
    quarantine.retain_stored([REQUEST], STORED_MS)
    assert list_due(quarantine, STORED_MS + 10 * RANK_DELAY_MS) == []


def test_removal_that_was_written_but_never_read_is_written_again() -> None:
    """Guards against an ended entry that holds again on all other nodes."""
    quarantine = build_quarantine()
    quarantine.apply_record(REQUEST, 0.0)
    quarantine.end(REQUEST.fingerprint, 10.0)
    quarantine.on_erased(REQUEST.fingerprint)
    quarantine.retain_stored([REQUEST], STORED_MS)
    due = list_due(quarantine, STORED_MS + WRITE_DELAY_MS)
    assert due == [EraseQuarantine(REQUEST.fingerprint)]


def test_record_of_an_ended_entry_does_not_end_the_next_one() -> None:
    """Guards against erasing the record of a request that is held anew."""
    quarantine = build_quarantine()
    quarantine.apply_record(REQUEST, 0.0)
    quarantine.end(REQUEST.fingerprint, 10.0)
    entry = quarantine.begin(REQUEST.fingerprint, REQUEST.customer, "r", (), 20.0)
    quarantine.apply_record(entry.request, 20.0)
    quarantine.apply_record(REQUEST, STORED_MS)
    due = list_due(quarantine, STORED_MS + WRITE_DELAY_MS)
    assert due == [WriteQuarantine(entry.request)]


def test_new_quarantine_of_the_same_request_holds() -> None:
    """Guards against taking a new entry for the one that has ended."""
    quarantine = build_quarantine()
    quarantine.apply_record(REQUEST, 0.0)
    quarantine.end(REQUEST.fingerprint, 10.0)
    quarantine.begin(REQUEST.fingerprint, REQUEST.customer, "r", (), 20.0)
    assert quarantine.is_held(REQUEST.fingerprint)


def test_ended_entries_are_bounded() -> None:
    quarantine = build_quarantine()
    for number in range(MAX_ENTRIES + 1):
        name = Fingerprint(f"f{number}")
        quarantine.begin(name, REQUEST.customer, "r", (), 0.0)
        quarantine.end(name, 0.0)
    assert len(quarantine._ended) == MAX_ENTRIES
