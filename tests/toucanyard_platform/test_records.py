from __future__ import annotations

import msgspec

from toucanyard.keyed_view import Topic
from toucanyard.names import (
    Address,
    DomainName,
    Incarnation,
    NodeName,
    ServiceName,
)
from toucanyard.node_records import NodeRecord
from toucanyard.replicas import Replica
from toucanyard.requests import Repeatability
from toucanyard.routes import RouteTable
from toucanyard.weights_goals import WantedWeights
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
    assert table.customers[0].is_walled
    assert table.bounds.max_header_bytes == 1
    assert table.bounds.idle_timeout_ms == 3


def test_replicas_weights_and_nodes() -> None:
    entry = {
        "service": "s",
        "address": "10.0.0.1:1",
        "zone": "z",
        "slots": 6,
        "state": "draining",
        "models": [{"name": "m", "version": 3, "adapters": []}],
    }
    replica = decode_record(Topic.REPLICAS, "i-1", msgspec.json.encode(entry))
    assert isinstance(replica, Replica)
    assert replica.is_draining
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


def test_what_cannot_be_read_is_passed_over() -> None:
    for topic in Topic:
        for value in (b"", b"{", b"[]", b'{"version":"x"}', b"\xff"):
            assert decode_record(topic, "config", value) is None
    assert decode_record(Topic.OPERATOR, "unknown", b"{}") is None
