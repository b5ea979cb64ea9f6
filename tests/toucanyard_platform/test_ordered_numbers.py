"""Test that the table of numbers that may go back is complete."""

from __future__ import annotations

import re
import typing
from pathlib import Path
from types import ModuleType

import msgspec
import pytest

from toucanyard_platform import (
    prompt_block_client,
    records,
    replica_client,
    store_client,
)

PAGE = Path(__file__).parent.parent.parent / "docs" / "design" / "store-restores.md"
SECTION = "## Numbers that order something"
AMOUNTS = "Numbers that are amounts and order nothing:"


def read_listed() -> tuple[set[str], set[str]]:
    """Return the names of numbers that order something, and of amounts."""
    section = PAGE.read_text().split(SECTION)[1].split("\n## ")[0]
    table, _, amounts = section.partition(AMOUNTS)
    cells = [line.split("|")[1] for line in table.splitlines() if line.startswith("|")]
    ordering = {name for cell in cells for name in re.findall(r"`([^`]+)`", cell)}
    return ordering, set(re.findall(r"`([^`]+)`", amounts.split("\n\n")[0]))


def list_numbers(module: ModuleType) -> set[str]:
    """Return the names of all whole numbers that a module decodes."""
    return {
        name
        for kind in vars(module).values()
        if isinstance(kind, type)
        and issubclass(kind, msgspec.Struct)
        and kind.__module__ == module.__name__
        for name, hint in typing.get_type_hints(kind).items()
        if hint in (int, int | None)
    }


@pytest.mark.parametrize(
    "module", [prompt_block_client, records, replica_client, store_client]
)
def test_each_decoded_number_is_listed_once(module: ModuleType) -> None:
    """Guards against a number that is taken for one that never goes back."""
    ordering, amounts = read_listed()
    assert list_numbers(module) - ordering - amounts == set()
    assert ordering & amounts == set()


def test_no_listed_amount_is_gone() -> None:
    modules = (prompt_block_client, records, replica_client, store_client)
    decoded = set().union(*map(list_numbers, modules))
    assert read_listed()[1] <= decoded
