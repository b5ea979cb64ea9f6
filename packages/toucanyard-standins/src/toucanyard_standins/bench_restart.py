"""Measure the work of a restart inside one process: snapshot, checkpoint, replay.

For several sizes of configuration, print the time to build, encode, decode and adopt
a snapshot, its size, and the time of one more patch. The effect of a restart on
callers requires whole processes and is measured by the herd bench.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from collections.abc import Callable
from typing import Final, TypeVar

import msgspec

from toucanyard.configuration import (
    Configuration,
    Customer,
    Endpoint,
    Pool,
    Rule,
)
from toucanyard.configuration_log import ConfigurationLog
from toucanyard.configuration_records import (
    CheckpointRecord,
    encode_checkpoint,
    encode_patch,
)
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    Incarnation,
    PoolName,
)
from toucanyard.options import ConfigurationTimings
from toucanyard.patches import Patch, Put
from toucanyard.snapshots import (
    EndpointHint,
    Snapshot,
    decode_snapshot,
    encode_snapshot,
)

_SIZES: Final = ((14, 8), (140, 80), (1_100, 400), (4_400, 1_600))
_POOL_SIZE: Final = 880
_TIMINGS: Final = ConfigurationTimings()

T = TypeVar("T")


def build_configuration(endpoints: int, customers: int) -> Configuration:
    """Return a configuration with the given numbers of endpoints and customers."""
    replicas = [
        Endpoint(
            EndpointName(f"replica-{number:05}"),
            Address(f"10.{number // 250}.{number % 250}.1:8000"),
            DomainName("domain-1"),
        )
        for number in range(endpoints)
    ]
    pools = tuple(
        Pool(
            PoolName(f"pool-{start}"),
            f"model-{start}",
            "w1",
            tuple(replicas[start : start + _POOL_SIZE]),
        )
        for start in range(0, endpoints, _POOL_SIZE)
    )
    return Configuration(
        version=1,
        customers=tuple(
            Customer(CustomerName(f"customer-{number:05}"), (f"{number:064x}",))
            for number in range(customers)
        ),
        pools=pools,
        rules=tuple(Rule(pool.model, pool.name) for pool in pools),
    )


def measure(action: Callable[[], T], times: int) -> tuple[float, T]:
    """Return the median time of an action in milliseconds, and its last result."""
    times_ms: list[float] = []
    for _ in range(times):
        started_s = time.perf_counter()
        result = action()
        times_ms.append((time.perf_counter() - started_s) * 1000)
    return statistics.median(times_ms), result


def build_snapshot(log: ConfigurationLog, endpoints: int) -> Snapshot:
    """Return the snapshot that a node of this size would send."""
    return Snapshot(
        log.build_checkpoint(),
        tuple(
            EndpointHint(
                EndpointName(f"replica-{number:05}"),
                Incarnation("0123456789ab"),
                "w1",
                3,
                250,
            )
            for number in range(endpoints)
        ),
        next_offset=100,
    )


def run(endpoints: int, customers: int, times: int) -> None:
    """Print one row."""
    checkpoint = CheckpointRecord(
        configuration=build_configuration(endpoints, customers), next_offset=1
    )
    log = ConfigurationLog(_TIMINGS)
    log.adopt(checkpoint)
    build_ms, snapshot = measure(lambda: build_snapshot(log, endpoints), times)
    encode_ms, data = measure(lambda: encode_snapshot(snapshot), times)
    decode_ms, decoded = measure(lambda: decode_snapshot(data), times)
    adopt_ms, _ = measure(lambda: _adopt(decoded), times)
    text = encode_checkpoint(checkpoint)
    replay_ms, _ = measure(lambda: _replay(text), times)
    added = Customer(CustomerName("one-more"), ())
    patch = encode_patch(Patch("p", 1, "", Put(customers=(added,))))
    patch_ms, _ = measure(lambda: _patch(checkpoint, patch), times)
    patch_ms -= adopt_ms
    print(
        f"{endpoints:>9} {customers:>9} {len(data):>10} {build_ms:>8.2f}"
        f" {encode_ms:>9.2f} {decode_ms:>9.2f} {adopt_ms:>8.2f} {len(text):>11}"
        f" {replay_ms:>13.2f} {patch_ms:>9.2f}"
    )


def _adopt(snapshot: Snapshot) -> ConfigurationLog:
    log = ConfigurationLog(_TIMINGS)
    assert snapshot.configuration is not None and log.adopt(snapshot.configuration)
    return log


def _replay(text: str) -> None:
    log = ConfigurationLog(_TIMINGS)
    log.handle_expired(1)
    log.apply_record(1, 0.0, text, 0.0)
    assert log.configuration.version == 1


def _patch(checkpoint: CheckpointRecord, text: str) -> None:
    log = ConfigurationLog(_TIMINGS)
    log.adopt(msgspec.structs.replace(checkpoint))
    result = log.apply_record(1, 0.0, text, 0.0)
    assert result is not None and result.is_accepted()


def main(arguments: list[str]) -> int:
    """Print a row for each size."""
    parser = argparse.ArgumentParser(prog="bench restart")
    parser.add_argument("--times", type=int, default=9)
    options = parser.parse_args(arguments)
    print(
        "endpoints customers snapshot_B build_ms encode_ms decode_ms adopt_ms"
        " checkpoint_B checkpoint_ms  patch_ms"
    )
    for endpoints, customers in _SIZES:
        run(endpoints, customers, options.times)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
