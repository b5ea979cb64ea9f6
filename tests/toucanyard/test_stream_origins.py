"""Test what a node remembers of the origins of streams."""

from __future__ import annotations

from toucanyard.names import CustomerName, ServiceName, SoftwareVersion
from toucanyard.stream_origins import (
    MAX_STREAMS,
    OriginSource,
    StreamOrigin,
    StreamOrigins,
    compute_stream_key,
)

A = StreamOrigin(ServiceName("s"), SoftwareVersion("v1"))
B = StreamOrigin(ServiceName("s"), SoftwareVersion("v2"))
KEY = compute_stream_key(CustomerName("c"), "t")


def record(
    origins: StreamOrigins, origin: StreamOrigin, placed_by: str, now_ms: float = 0.0
) -> None:
    origins.record(KEY, origin, placed_by, OriginSource.OWN, now_ms)


def test_key_of_one_customer_never_matches_another() -> None:
    """Guards against learning of, or steering by, another customer's stream."""
    keys = {
        compute_stream_key(CustomerName(customer), caller_id)
        for customer, caller_id in (("c", "t"), ("d", "t"), ("ct", ""), ("", "ct"))
    }
    assert len(keys) == 4


def test_later_try_of_one_call_replaces_the_earlier_one() -> None:
    origins = StreamOrigins()
    record(origins, A, "call")
    record(origins, B, "call")
    known = origins.find(KEY)
    assert known is not None
    assert (known.origin, known.is_ambiguous) == (B, False)


def test_id_used_for_two_origins_has_none() -> None:
    """Guards against going on at either origin of an id that was used twice."""
    origins = StreamOrigins()
    record(origins, A, "call")
    record(origins, B, "other")
    record(origins, B, "other")
    known = origins.find(KEY)
    assert known is not None
    assert known.is_ambiguous


def test_streams_are_bounded_in_number_and_age() -> None:
    origins = StreamOrigins()
    for number in range(MAX_STREAMS + 10):
        key = number.to_bytes(8, "big")
        origins.record(key, A, "call", OriginSource.TOLD, float(number))
    assert len(origins) == MAX_STREAMS
    assert origins.find((0).to_bytes(8, "big")) is None
    origins.prune(float(MAX_STREAMS))
    assert len(origins) == 10
