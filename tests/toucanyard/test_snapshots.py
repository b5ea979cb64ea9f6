from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given, strategies as st

from toucanyard.configuration import Configuration
from toucanyard.configuration_records import CheckpointRecord
from toucanyard.names import DomainName, EndpointName, Incarnation, NodeName
from toucanyard.snapshots import (
    PART_BYTES,
    EndpointHint,
    SendRequest,
    Snapshot,
    SnapshotBusy,
    SnapshotFetch,
    SnapshotInvalidError,
    SnapshotPart,
    SnapshotServer,
    decode_snapshot,
    encode_snapshot,
)
from toucanyard.vm_view import Vm

HERE, THERE = DomainName("here"), DomainName("there")
HINTS = tuple(
    EndpointHint(EndpointName(f"e{n}"), Incarnation("i"), "w1", 0, 0)
    for n in range(9_000)
)
SNAPSHOT = Snapshot(
    CheckpointRecord(configuration=Configuration(version=4), next_offset=9), HINTS
)


class Transfers:
    """Transfer requests between fetching and serving nodes in steps of 10 ms."""

    def __init__(self, fetchers: int, dead: tuple[str, ...] = ()) -> None:
        names = [("near", HERE), ("far1", THERE), ("far2", THERE)]
        peers = [Vm(name, domain) for name, domain in names]
        self.servers = {NodeName(name): SnapshotServer() for name, _ in names}
        self.dead = dead
        self.fetches = [
            SnapshotFetch(HERE, peers, random.Random(n)) for n in range(fetchers)
        ]
        self.requested_from: list[str] = []
        self.sent_bytes = 0
        self.most_served = 0
        self.now_ms = 0.0

    def run(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 10
            for number, fetch in enumerate(self.fetches):
                request_sent = fetch.tick(self.now_ms)
                while request_sent is not None:
                    request_sent = self.carry(number, fetch, request_sent)

    def carry(
        self, number: int, fetch: SnapshotFetch, request_sent: SendRequest
    ) -> SendRequest | None:
        self.requested_from.append(request_sent.peer)
        if request_sent.peer in self.dead:
            return None
        server, name = self.servers[request_sent.peer], NodeName(f"f{number}")
        if server.needs_snapshot(name, request_sent.request, self.now_ms):
            server.begin(
                name, request_sent.request, encode_snapshot(SNAPSHOT), self.now_ms
            )
        answer = server.answer(name, request_sent.request, self.now_ms)
        self.most_served = max(self.most_served, len(server._serving))
        if isinstance(answer, SnapshotPart):
            self.sent_bytes += len(answer.data)
        return fetch.handle(request_sent.peer, answer, self.now_ms)


def test_starting_node_gets_everything_from_its_own_domain() -> None:
    transfers = Transfers(1)
    transfers.run(3_000)
    assert transfers.fetches[0].snapshot == SNAPSHOT
    assert set(transfers.requested_from) == {"near"}
    assert len(encode_snapshot(SNAPSHOT)) > PART_BYTES


def test_other_domains_are_asked_when_the_own_one_is_dead() -> None:
    transfers = Transfers(1, dead=("near", "far1"))
    transfers.run(8_000)
    assert transfers.fetches[0].snapshot == SNAPSHOT


def test_nobody_there_ends_the_fetch_and_the_start_goes_on() -> None:
    transfers = Transfers(1, dead=("near", "far1", "far2"))
    transfers.run(8_000)
    assert transfers.fetches[0].is_over() and transfers.fetches[0].snapshot is None


def test_herd_is_served_at_a_bounded_rate() -> None:
    """All nodes but three restart at once. Those three must also serve callers, so the
    number of peers and the bytes per second for snapshots are limited."""
    transfers = Transfers(40)
    transfers.run(1_000)
    assert transfers.sent_bytes <= 3 * (1_000_000 + PART_BYTES)
    assert transfers.most_served <= 2
    transfers.run(60_000)
    assert all(fetch.is_over() for fetch in transfers.fetches)
    assert sum(fetch.snapshot is not None for fetch in transfers.fetches) >= 20


def test_damaged_part_is_not_taken() -> None:
    fetch = SnapshotFetch(HERE, [Vm("near", HERE)], random.Random(1))
    request_sent = fetch.tick(0.0)
    assert request_sent is not None
    part = SnapshotPart(
        request_sent.request.transfer, 0, 1, 5, encode_snapshot(SNAPSHOT)
    )
    assert fetch.handle(NodeName("other"), part, 1.0) is None
    assert not fetch.is_over()
    fetch.handle(request_sent.peer, part, 1.0)
    assert fetch.is_over() and fetch.snapshot is None


def test_late_answers_of_an_earlier_transfer_are_passed_over() -> None:
    fetch = SnapshotFetch(HERE, [Vm("near", HERE)], random.Random(1))
    request_sent = fetch.tick(0.0)
    assert request_sent is not None
    busy = SnapshotBusy(request_sent.request.transfer + 1, 10.0)
    assert fetch.handle(request_sent.peer, busy, 1.0) is None
    assert fetch.tick(1_000.0) is None


@given(st.binary(max_size=100))
def test_no_bytes_make_it_fail_otherwise(data: bytes) -> None:
    with pytest.raises(SnapshotInvalidError):
        decode_snapshot(data + b"\xc1")


def test_oversized_hints_are_left_out() -> None:
    hint = msgspec.structs.replace(HINTS[0], weights_version="w" * 2_000)
    large = msgspec.structs.replace(SNAPSHOT, endpoints=(hint,) * 9_000)
    assert decode_snapshot(encode_snapshot(large)).endpoints == ()
