"""Test that the table of what the platform's answers say is complete."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest

from toucanyard_platform import (
    prompt_block_client,
    records,
    replica_client,
    store_client,
    wire_names,
)

TABLE = (
    Path(__file__).parent.parent.parent / "docs" / "design" / "replica-statements.md"
)
OUTCOMES = {"used", "ignored", "used, forwarded", "ignored, forwarded"}
ANSWER_HEADERS = (
    wire_names.CALLER_ID,
    wire_names.SIGNATURE,
    wire_names.NOT_RUN,
    wire_names.REPLICA,
    wire_names.WEIGHTS,
    wire_names.LIMIT,
    wire_names.LEAVING,
    wire_names.BRITTLE,
    wire_names.RETRY_AFTER,
)
STATEMENT_HEADERS = (
    wire_names.REPLICA,
    wire_names.LIMIT,
    wire_names.LEAVING,
    wire_names.BRITTLE,
    wire_names.RETRY_AFTER,
    wire_names.LOAD,
    wire_names.WEIGHTS,
)
DECODED: dict[str, type[msgspec.Struct]] = {
    "report": replica_client._Report,
    "block events": prompt_block_client._Page,
    "entry": records._Replica,
    "store": store_client._NewestPage,
}

OTHER_FIELDS = {
    "store": {
        each.encode_name
        for kind in (store_client._Item, store_client._FirstRecord)
        for each in msgspec.structs.fields(kind)
    }
}
"""Used fields of other bodies of the same source."""


def read_rows() -> list[tuple[str, list[str], str, str]]:
    """Return source, names, outcome and reason of each row."""
    section = TABLE.read_text().split("## Every header and field")[1]
    rows = []
    for line in section.splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        names = re.findall(r"`([^`]+)`", cells[1]) if len(cells) == 4 else []
        if names:
            rows.append((cells[0], names, cells[2], cells[3]))
    return rows


def find_names(source: str) -> set[str]:
    return {name for row in read_rows() if row[0] == source for name in row[1]}


def test_each_row_says_what_becomes_of_it_and_where_or_why() -> None:
    rows = read_rows()
    assert rows
    assert {row[2] for row in rows} <= OUTCOMES
    assert all(row[3] for row in rows)


def test_each_header_that_the_adapter_reads_is_listed_as_used() -> None:
    """Guards against a header of the protocol of which nobody knows who reads it."""
    used = {
        name.lower()
        for source, names, outcome, _ in read_rows()
        for name in names
        if source == "replica" and outcome.startswith("used")
    }
    assert {name.lower() for name in ANSWER_HEADERS} <= used


@pytest.mark.parametrize("source", sorted(DECODED))
def test_each_decoded_field_is_listed(source: str) -> None:
    """Guards against a field that is decoded, or no longer, beside the table."""
    fields = {each.encode_name for each in msgspec.structs.fields(DECODED[source])}
    assert fields <= find_names(source)
    used = {
        name
        for row in read_rows()
        if row[0] == source and row[2] == "used"
        for name in row[1]
    }
    assert used - fields <= OTHER_FIELDS.get(source, set())


def test_header_that_the_store_client_reads_is_listed() -> None:
    names = {name.lower() for name in find_names("store header")}
    assert names == {wire_names.STORE_ERA}


def test_each_statement_is_listed_for_answers_that_a_peer_passes_on() -> None:
    """Guards against a statement that only the node of the connection reads."""
    listed = {name.lower() for name in find_names("forwarded answer")}
    assert listed == {name.lower() for name in STATEMENT_HEADERS}
