from __future__ import annotations

import msgspec
import pytest

from toucanyard.keyed_view import InvalidRecord, Topic
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    Fingerprint,
    Incarnation,
    NodeName,
    ServiceName,
)
from toucanyard.node_records import NodeRecord
from toucanyard.quarantine import QuarantinedRequest, Release
from toucanyard.rate_limits import LimitUnit, RateLimit
from toucanyard.replicas import Replica
from toucanyard.requests import Repeatability
from toucanyard.routes import RouteTable
from toucanyard.target_weights import WantedWeights
from toucanyard_platform.records import decode_record


def build_route(**fields: object) -> dict[str, object]:
    return {
        "name": "r",
        "host": "h.example",
        "pathPrefix": "/a/",
        "routeKind": "streaming",
        "timeoutMs": 6000,
        "service": "s",
        "newField": {"ignored": True},
    } | fields


def decode_table(**fields: object) -> RouteTable:
    text = msgspec.json.encode({"version": 7} | fields)
    table = decode_record(Topic.OPERATOR, "config", text)
    assert isinstance(table, RouteTable)
    return table


def test_kinds_of_routes() -> None:
    kinds = {
        "idempotent": (Repeatability.REPEATABLE, False),
        "non_idempotent": (Repeatability.RUN_ONCE, False),
        "keyed": (Repeatability.RUN_ONCE, False),
        "a kind of tomorrow": (Repeatability.RUN_ONCE, False),
        "streaming": (Repeatability.RUN_ONCE, True),
    }
    for kind, (repeatability, is_stream) in kinds.items():
        route = decode_table(routes=[build_route(routeKind=kind)]).routes[0]
        assert route.repeatability is repeatability
        assert route.is_stream is is_stream
    route = decode_table(routes=[build_route(resumable=True)]).routes[0]
    assert route.repeatability is Repeatability.REPEATABLE
    assert route.is_resumable
    plain = build_route(routeKind="non_idempotent", resumable=True)
    assert not decode_table(routes=[plain]).routes[0].is_resumable


def test_split_goes_before_the_service() -> None:
    split = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
    routes = [build_route(split=split), build_route()]
    table = decode_table(routes=routes)
    assert [each.service for each in table.routes[0].splits] == ["x", "y"]
    assert [each.service for each in table.routes[1].splits] == ["s"]


def test_services_stores_customers_and_bounds() -> None:
    engine = {
        "slots": 128,
        "kvCapacity": 82726,
        "kvBytes": 131072,
        "linkMbps": 1100000.0,
        "maxInflight": 12,
        "models": [{"name": "m"}],
    }
    table = decode_table(
        services=[
            {"name": "s", "maxConns": 620, "engine": engine},
            {"name": "k", "kvStoreAddr": "10.0.0.1:1", "zone": "z", "kvCapacity": 9},
        ],
        tenants=[{"name": "c", "apiKeys": ["a", "b"], "priority": 0, "isolated": True}],
        limits={"maxHeaderBytes": 1, "maxBodyBytes": 2, "idleTimeoutMs": 3},
    )
    assert table.services[0].engine is not None
    assert table.services[0].engine.memory_tokens == 82726
    assert table.stores[0].address == "10.0.0.1:1"
    assert len(table.services) == 1
    assert table.customers[0].keys == ("a", "b")
    assert table.customers[0].rank == 0
    assert table.customers[0].is_isolated
    assert table.bounds.max_header_bytes == 1
    assert table.bounds.idle_timeout_ms == 3


ENTRY = {
    "service": "s",
    "address": "10.0.0.1:1",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldLeftMs": 0,
    "phase": "colocated",
    "models": [{"name": "m", "version": 3, "adapters": []}],
    "sequence": 4,
}
"""An entry in the form that replicas write."""


def decode_entry(**changes: object) -> object:
    return decode_record(Topic.REPLICAS, "i-1", msgspec.json.encode(ENTRY | changes))


def test_entry_without_a_start_keeps_its_id_as_its_name() -> None:
    replica = decode_entry()
    assert isinstance(replica, Replica)
    assert (replica.name, replica.listed_as, replica.born_ms) == ("i-1", "i-1", None)


@pytest.mark.parametrize(
    "field", sorted(set(ENTRY) - {"models", "phase"}), ids=lambda field: field
)
def test_entry_without_a_field_names_no_replica(field: str) -> None:
    """Guards against entries that another program writes without all fields.

    With a default for a missing field, calls would be sent to an address that nobody
    serves.
    """
    entry = {name: value for name, value in ENTRY.items() if name != field}
    found = decode_record(Topic.REPLICAS, "i-1", msgspec.json.encode(entry))
    assert isinstance(found, InvalidRecord)
    assert field in found.reason


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "paused"},
        {"state": "READY"},
        {"state": None},
        {"slots": 0},
        {"slots": "6"},
        {"slots": 6.5},
        {"slots": True},
        {"sequence": -1},
        {"coldLeftMs": "0"},
        {"address": "10.0.0.1"},
        {"address": "host:80"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:99999999999999999999"},
        {"service": ""},
        {"service": 7},
        {"models": {"m": 3}},
        {"models": [{"name": "m"}]},
        {"models": [{"name": "m", "version": 1.5}]},
        {"born": "1700000000000"},
        {"born": 0},
        {"born": 1.5},
        {"born": True},
    ],
    ids=str,
)
def test_entry_with_an_impossible_field_names_no_replica(
    changes: dict[str, object],
) -> None:
    assert isinstance(decode_entry(**changes), InvalidRecord)


def test_replicas_weights_and_nodes() -> None:
    replica = decode_entry(state="draining", born=1_700_000_000_000)
    assert isinstance(replica, Replica)
    assert replica.is_draining
    assert replica.listed_as == "i-1"
    assert replica.name == "i-1@1700000000000"
    assert replica.born_ms == 1_700_000_000_000
    assert replica.software_version == "v1"
    assert replica.service == ServiceName("s")
    assert replica.weights == (("m", 3),)
    weights = b'{"model":"m","version":4}'
    found = decode_record(Topic.OPERATOR, "version/m", weights)
    assert found == WantedWeights("m", 4)
    node = NodeRecord(
        NodeName("n"),
        Incarnation("i"),
        DomainName("z"),
        Address("10.0.0.1:1"),
        Address("10.0.0.1:2"),
    )
    text = msgspec.json.encode(node)
    assert decode_record(Topic.NODES, "n", text) == node


def test_what_cannot_be_read_says_so() -> None:
    for topic in Topic:
        for value in (b"", b"{", b"[]", b'{"version":"x"}', b"\xff", b"[" * 5_000):
            found = decode_record(topic, "config", value)
            assert isinstance(found, InvalidRecord)
            assert found.topic is topic
            assert found.reason
    assert decode_record(Topic.OPERATOR, "unknown", b"{}") is None


QUARANTINED = QuarantinedRequest(
    Fingerprint("f1"), "7a", CustomerName("c"), "r", (EndpointName("i-1"),)
)


def test_request_under_quarantine_is_read_as_it_was_written() -> None:
    value = msgspec.json.encode(QUARANTINED)
    assert decode_record(Topic.NODES, "quarantine/f1", value) == QUARANTINED


@pytest.mark.parametrize("key", ["quarantine/", "quarantine/f2"])
def test_quarantine_of_another_request_is_not_taken_over(key: str) -> None:
    """Guards against a record that rejects requests of another fingerprint."""
    value = msgspec.json.encode(QUARANTINED)
    assert isinstance(decode_record(Topic.NODES, key, value), InvalidRecord)


def test_release_names_the_quarantine_that_it_ends() -> None:
    found = decode_record(Topic.OPERATOR, "release/f1", b'{"entry":"7a"}')
    assert found == Release(Fingerprint("f1"), "7a")
    for value in (b"{}", b'{"entry":""}', b'{"entry":7}'):
        found = decode_record(Topic.OPERATOR, "release/f1", value)
        assert isinstance(found, InvalidRecord)


def decode_limit(**fields: object) -> RateLimit | None:
    return decode_table(tenants=[{"name": "c"} | fields]).customers[0].limit


def test_limit_in_tokens() -> None:
    limit = decode_limit(ratePerS=18_000, burst=9_000, unit="tokenize", plainTokens=200)
    assert limit == RateLimit(18_000.0, 9_000.0, LimitUnit.TOKENS, 200.0)


def test_limit_without_a_unit_counts_requests() -> None:
    limit = decode_limit(ratePerS=5, burst=10)
    assert limit is not None
    assert limit.unit is LimitUnit.REQUESTS
    assert limit.compute_cost(1_540) == 1.0


@pytest.mark.parametrize("fields", [{}, {"ratePerS": 0, "burst": 5}])
def test_rate_of_zero_sets_no_limit(fields: dict[str, object]) -> None:
    assert decode_limit(**fields) is None


@pytest.mark.parametrize("name", ["ratePerS", "burst", "plainTokens"])
@pytest.mark.parametrize("value", [-1, 1e300, "5", None])
def test_limit_that_cannot_be_leaves_the_last_good_table(
    name: str, value: object
) -> None:
    """Guards against limits that are negative, out of range or not numbers."""
    text = msgspec.json.encode({"version": 7, "tenants": [{"name": "c", name: value}]})
    found = decode_record(Topic.OPERATOR, "config", text)
    assert isinstance(found, InvalidRecord)
    assert name in found.reason


@pytest.mark.parametrize(
    "key", ["", "i\ufffd1", " i-1", "i-1\n", "i-1 ", "\x00", "\x7f", "\ud800"]
)
def test_entry_whose_key_no_header_carries_names_no_replica(key: str) -> None:
    """Guards against an id that can't be sent and ends the node that sends it."""
    entry = msgspec.json.encode(ENTRY)
    assert isinstance(decode_record(Topic.REPLICAS, key, entry), InvalidRecord)
    assert isinstance(decode_record(Topic.REPLICAS, "i-7f3a91c2", entry), Replica)


def test_entry_with_an_id_of_other_letters_names_a_replica() -> None:
    replica = decode_record(Topic.REPLICAS, "i-\u00e9", msgspec.json.encode(ENTRY))
    assert isinstance(replica, Replica)
    assert replica.listed_as == "i-\u00e9"
