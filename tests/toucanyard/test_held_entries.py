"""Tests that an entry with another service neither ends a node nor costs a replica."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import example, given, strategies as st

from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.names import ReplicaId, ServiceName
from toucanyard.relay_core import PRUNE_MS
from toucanyard.replica_incarnations import name_incarnation
from toucanyard.replicas import FORGET_MS, Replica, ReplicaDirectory
from toucanyard.routes import RouteTable

from .relay_examples import DESK, ENGINES, build_replica, build_table
from .relay_fleet import Fleet, put

HELD_MS = 5_000.0
BORN_MS, LATER_MS = 1_000, 2_000
LISTED = ReplicaId("r")
UNKNOWN = "another-program"


def build_entry(service: str = ENGINES, born_ms: int | None = BORN_MS) -> Replica:
    name = name_incarnation(LISTED, born_ms)
    return build_replica("r", name=name, born_ms=born_ms, service=service)


def build_configuration(version: int = 1, *services: str) -> RouteTable:
    """Return a table that configures ENGINES, DESK and more services."""
    table = build_table(version)
    first = table.services[0]
    names = (ENGINES, DESK, *services)
    return msgspec.structs.replace(
        table,
        services=tuple(msgspec.structs.replace(first, name=each) for each in names),
    )


def build_fleet() -> Fleet:
    fleet = Fleet("a")
    read_table(fleet, build_configuration())
    return fleet


def read_table(fleet: Fleet, table: RouteTable) -> None:
    record = KeyedRecord("config", table.version, put(table))
    fleet.read("a", Topic.OPERATOR, record)


def read_entry(fleet: Fleet, offset: int, entry: Replica | None) -> None:
    value = None if entry is None else put(entry)
    fleet.read("a", Topic.REPLICAS, KeyedRecord("r", offset, value))


def list_usable(fleet: Fleet, service: str = ENGINES) -> list[str]:
    directory = fleet.core("a").directory
    usable = directory.find_usable(ServiceName(service), fleet.now_ms)
    return [each.replica.name for each in usable]


@pytest.mark.parametrize("born_ms", [BORN_MS, LATER_MS, None])
@pytest.mark.parametrize("service", [UNKNOWN, DESK])
def test_removed_replica_with_another_service_ends_no_node(
    service: str, born_ms: int | None
) -> None:
    """Guards against an error 30 s after an entry with another service was removed."""
    fleet = build_fleet()
    read_entry(fleet, 0, build_entry())
    read_entry(fleet, 1, build_entry(service, born_ms))
    fleet.run(1_000.0)
    read_entry(fleet, 2, None)
    fleet.run(FORGET_MS + PRUNE_MS + 1_000.0)
    assert not list(fleet.core("a").directory.list_all())


@pytest.mark.parametrize("born_ms", [BORN_MS, LATER_MS, None])
@pytest.mark.parametrize("service", [UNKNOWN, DESK])
def test_replica_is_used_again_once_its_own_entry_is_back(
    service: str, born_ms: int | None
) -> None:
    """Guards against a replica that another writer's start time takes out for good."""
    fleet = build_fleet()
    read_entry(fleet, 0, build_entry())
    read_entry(fleet, 1, build_entry(service, born_ms))
    assert not list_usable(fleet)
    assert not list_usable(fleet, service)
    read_entry(fleet, 2, build_entry())
    assert list_usable(fleet) == ["r@1000"]


@pytest.mark.parametrize("service", [UNKNOWN, DESK])
def test_node_that_reads_the_other_entry_first_uses_the_replica(service: str) -> None:
    """Guards against a node that starts and believes the first entry for good."""
    fleet = build_fleet()
    read_entry(fleet, 0, build_entry(service, LATER_MS))
    read_entry(fleet, 1, build_entry())
    fleet.run(HELD_MS + 2 * PRUNE_MS)
    assert list_usable(fleet) == ["r@1000"]
    assert not list_usable(fleet, service)


def test_held_entry_counts_once_its_service_is_configured() -> None:
    fleet = build_fleet()
    read_entry(fleet, 0, build_entry())
    read_entry(fleet, 1, build_entry("new", LATER_MS))
    fleet.run(HELD_MS + 2 * PRUNE_MS)
    assert not list_usable(fleet, "new")
    read_table(fleet, build_configuration(2, "new"))
    fleet.run(2 * PRUNE_MS)
    assert list_usable(fleet, "new") == ["r@2000"]
    assert not list_usable(fleet)


def test_removed_held_entry_is_not_applied_later() -> None:
    """Guards against a replica that is listed though its entry was removed."""
    fleet = build_fleet()
    read_entry(fleet, 0, build_entry())
    read_entry(fleet, 1, build_entry(DESK, LATER_MS))
    read_entry(fleet, 2, None)
    fleet.run(HELD_MS + 2 * PRUNE_MS)
    assert not list_usable(fleet)
    assert not list_usable(fleet, DESK)


ENTRIES = st.builds(
    build_entry,
    st.sampled_from([ENGINES, DESK, UNKNOWN]),
    st.sampled_from([BORN_MS, LATER_MS, None]),
)


@example([build_entry(), build_entry(born_ms=LATER_MS), build_entry(DESK)])
@given(st.lists(st.none() | ENTRIES, max_size=12))
def test_directory_stays_sound_under_any_entries(steps: list[Replica | None]) -> None:
    """Guards against a replica that is filed under a service that is not its own."""
    directory = ReplicaDirectory()
    now_ms = 0.0
    for entry in steps:
        now_ms += FORGET_MS / 3
        if entry is None:
            names = [each.replica.name for each in directory.list_all()]
            directory.remove(names, now_ms, listed_ms=now_ms)
        else:
            directory.apply(entry, now_ms)
        directory.prune(now_ms)
        for service in (ENGINES, DESK, UNKNOWN):
            found = directory.find_listed(ServiceName(service), now_ms)
            assert all(each.replica.service == service for each in found)
            assert all(directory.find(each.replica.name) is each for each in found)
