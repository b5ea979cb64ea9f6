"""Measure what knowing the origins of streams costs a node and a hub."""

from __future__ import annotations

from itertools import count
from typing import Final

from toucanyard.link_messages import (
    OriginReport,
    PlacedStreams,
    decode_link_message,
    encode_link_message,
)
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    Incarnation,
    NodeName,
    ReplicaId,
    ServiceName,
    SoftwareVersion,
)
from toucanyard.node_directory import NodeDirectory
from toucanyard.node_records import NodeRecord
from toucanyard.origin_exchange import HUB_REPORT_MS, OriginExchange
from toucanyard.replicas import Replica, ReplicaDirectory
from toucanyard.software_versions import MIN_MEMORY_MS, SoftwareVersions
from toucanyard.stream_origins import StreamOrigin, compute_stream_key
from toucanyard_standins.capacity_slope import (
    measure_held_bytes,
    measure_slope,
    render_slope,
    time_us,
)

SERVICE: Final = ServiceName("engines")
VERSIONS: Final = (SoftwareVersion("v1"), SoftwareVersion("v1.2"))
STREAMS_PER_S: Final = 35
"""Streams that one of 320 nodes begins a second at 11,000 in all."""
LINKS: Final = 2
"""Hubs that a node reports to."""
GROUP: Final = 42
"""Nodes that are linked to a hub of 320 nodes in five failure domains."""
REPLICAS: Final = 900
"""Replicas of one of five models."""
RATES: Final = (5, 10, 20, 40)


def build_exchange() -> OriginExchange:
    """Return the exchange of a node whose service has two software versions."""
    directory = ReplicaDirectory()
    for number in range(REPLICAS):
        name = f"r{number}"
        replica = Replica(
            EndpointName(name),
            ReplicaId(name),
            SERVICE,
            Address(f"10.0.0.{number}:1"),
            DomainName("d"),
            16,
            False,
            software_version=VERSIONS[number % 2],
        )
        directory.apply(replica, 0.0)
    address = Address("10.0.0.1:1")
    own = NodeRecord(NodeName("n"), Incarnation("i"), DomainName("d"), address, address)
    versions = SoftwareVersions(directory)
    versions.refresh(0.0)
    return OriginExchange(NodeDirectory(own, ()), versions, lambda _: False)


def build_keys(number: int) -> list[bytes]:
    """Return the keys of different tries."""
    customer = CustomerName("customer")
    return [compute_stream_key(customer, f"{each:016x}") for each in range(number)]


def encode_report(streams: int) -> bytes:
    """Return one report on tries at two software versions."""
    keys = build_keys(streams)
    halves = (keys[::2], keys[1::2])
    placed = tuple(
        PlacedStreams(SERVICE, version, b"".join(half))
        for version, half in zip(VERSIONS, halves, strict=True)
        if half
    )
    return encode_link_message(OriginReport(placed))


def compute_bytes_per_s(streams_per_s: int) -> float:
    """Return the bytes of one node's reports to its hubs in a second."""
    reports_per_s = 1_000.0 / HUB_REPORT_MS
    each = len(encode_report(max(round(streams_per_s / reports_per_s), 1)))
    return LINKS * each * min(reports_per_s, streams_per_s)


def measure_placing(streams: int) -> float:
    """Return the time of recording and reporting placed tries, in us."""
    exchange = build_exchange()
    keys, now = build_keys(streams), count(1)
    origin = StreamOrigin(SERVICE, VERSIONS[0])

    def place() -> None:
        now_ms = next(now) * HUB_REPORT_MS
        for key in keys:
            exchange.record_placed(key, origin, "r", (SERVICE,), "call", now_ms)
        exchange.report(now_ms)

    return time_us(place)


def measure_reading(reports: int) -> float:
    """Return the time of decoding and applying reports of four tries each, in us."""
    exchange, data = build_exchange(), encode_report(4)

    def read() -> None:
        for number in range(reports):
            message = decode_link_message(data)
            assert isinstance(message, OriginReport)
            exchange.read(NodeName(f"n{number % GROUP}"), message, 0.0)

    return time_us(read)


def measure_memory(streams: int) -> float:
    """Return the memory of remembered tries in KB."""

    def fill() -> OriginExchange:
        exchange = build_exchange()
        for key in build_keys(streams):
            origin = StreamOrigin(SERVICE, VERSIONS[0])
            exchange.record_placed(key, origin, "r", (SERVICE,), "call", 0.0)
        return exchange

    return measure_held_bytes(fill) / 1_000


def main(_: list[str]) -> int:
    """Print the slopes."""
    held = round(STREAMS_PER_S * MIN_MEMORY_MS / 1_000)
    reports = round(GROUP * 1_000 / HUB_REPORT_MS)
    sizes = (500, 1_000, 2_000, 4_000)
    for slope in (
        measure_slope(
            "node",
            "reports sent",
            "B/s",
            "streams a second",
            STREAMS_PER_S,
            RATES,
            compute_bytes_per_s,
        ),
        measure_slope(
            "node",
            "placing and reporting",
            "us",
            "streams",
            STREAMS_PER_S,
            RATES,
            measure_placing,
        ),
        measure_slope(
            "hub",
            "reading reports",
            "us",
            "reports",
            reports,
            (50, 100, 200, 400),
            measure_reading,
        ),
        measure_slope(
            "node", "tries that it placed", "KB", "tries", held, sizes, measure_memory
        ),
    ):
        print(render_slope(slope))
    return 0
