"""Send a running node's state to a starting one, in parts of bounded size and rate.

A snapshot contains the configuration and hints that improve decisions in the first
seconds: incarnations, leaving addresses, weights, loads. A node needs only the
configuration to serve; everything else is learned again if it is missing.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

import msgspec
import xxhash

from toucanyard.configuration_records import CheckpointRecord
from toucanyard.names import Address, DomainName, EndpointName, Incarnation, NodeName
from toucanyard.vm_view import Vm

MAX_SNAPSHOT_BYTES: Final = 8_000_000
PART_BYTES: Final = 65_536
_MAX_ENDPOINTS: Final = 20_000
_SERVED_BYTES_PER_S: Final = 1_000_000
_MAX_SERVED: Final = 2
_TIMEOUT_MS: Final = 2_000.0
_RETRY_MS: Final = 200.0


class EndpointHint(msgspec.Struct, frozen=True, array_like=True):
    """What a node knows about one endpoint."""

    endpoint: EndpointName
    incarnation: Incarnation
    weights_version: str
    running: int
    age_ms: int


class Snapshot(msgspec.Struct, frozen=True):
    """The state that one node sends to another at its start.

    `next_offset` is the offset from which to continue reading the log for everything
    but the configuration, which contains its own.
    """

    configuration: CheckpointRecord | None
    endpoints: tuple[EndpointHint, ...] = ()
    leaving: tuple[Address, ...] = ()
    next_offset: int = 0


class SnapshotRequest(msgspec.Struct, frozen=True, tag="snapshot_request"):
    """Request a part from a peer; part 0 makes the peer create a new snapshot."""

    transfer: int
    part: int


class SnapshotPart(msgspec.Struct, frozen=True, tag="snapshot_part"):
    """One part of an encoded snapshot, with the digest of the complete snapshot."""

    transfer: int
    part: int
    parts: int
    digest: int
    data: bytes


class SnapshotBusy(msgspec.Struct, frozen=True, tag="snapshot_busy"):
    """Refuse a request while others are served, with the time until a retry."""

    transfer: int
    retry_after_ms: float


SnapshotMessage = SnapshotRequest | SnapshotPart | SnapshotBusy


class SnapshotInvalidError(Exception):
    """The bytes are not a valid snapshot."""


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the bytes of a snapshot, with hints truncated to their bounds."""
    bounded = msgspec.structs.replace(
        snapshot,
        endpoints=snapshot.endpoints[:_MAX_ENDPOINTS],
    )
    data = msgspec.msgpack.encode(bounded)
    if len(data) > MAX_SNAPSHOT_BYTES:
        # The hints are dispensable.
        bare = msgspec.structs.replace(bounded, endpoints=())
        data = msgspec.msgpack.encode(bare)
    return data


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot; raise SnapshotInvalidError if the bytes are invalid."""
    try:
        return msgspec.msgpack.decode(data, type=Snapshot)
    except (msgspec.DecodeError, RecursionError) as error:
        raise SnapshotInvalidError(str(error)[:200]) from error


class _Serving(msgspec.Struct):
    data: bytes
    digest: int
    asked_ms: float


class SnapshotServer:
    """Serve snapshots to a few peers at once and at a limited rate.

    Invariant: at most _MAX_SERVED encoded snapshots are held. When most nodes restart
    at once, the few that kept running would otherwise be overloaded by the others.
    """

    def __init__(self) -> None:
        self._serving: dict[tuple[NodeName, int], _Serving] = {}
        self._next_send_ms = 0.0

    def needs_snapshot(
        self, peer: NodeName, request: SnapshotRequest, now_ms: float
    ) -> bool:
        """Return whether to create a new snapshot for this request."""
        self._drop_idle(now_ms)
        is_known = (peer, request.transfer) in self._serving
        return request.part == 0 and not is_known and len(self._serving) < _MAX_SERVED

    def begin(
        self, peer: NodeName, request: SnapshotRequest, data: bytes, now_ms: float
    ) -> None:
        """Hold an encoded snapshot for a peer's transfer."""
        digest = xxhash.xxh3_64_intdigest(data)
        self._serving[peer, request.transfer] = _Serving(data, digest, now_ms)

    def answer(
        self, peer: NodeName, request: SnapshotRequest, now_ms: float
    ) -> SnapshotPart | SnapshotBusy:
        """Return the requested part, or when to retry."""
        serving = self._serving.get((peer, request.transfer))
        if serving is None:
            return SnapshotBusy(request.transfer, _RETRY_MS)
        if now_ms < self._next_send_ms:
            serving.asked_ms = now_ms
            return SnapshotBusy(request.transfer, self._next_send_ms - now_ms)
        serving.asked_ms = now_ms
        parts = max(1, -(-len(serving.data) // PART_BYTES))
        start = request.part * PART_BYTES
        data = serving.data[start : start + PART_BYTES]
        self._next_send_ms = now_ms + len(data) * 1_000 / _SERVED_BYTES_PER_S
        if request.part >= parts - 1:
            del self._serving[peer, request.transfer]
        return SnapshotPart(request.transfer, request.part, parts, serving.digest, data)

    def _drop_idle(self, now_ms: float) -> None:
        for key, serving in list(self._serving.items()):
            if now_ms - serving.asked_ms > _TIMEOUT_MS:
                del self._serving[key]


class SendRequest(msgspec.Struct, frozen=True):
    """Send a snapshot request to a peer."""

    peer: NodeName
    request: SnapshotRequest


class SnapshotFetch:
    """Fetch one snapshot at a node's start, trying one peer after another.

    Peers in other failure domains are tried after those in the node's own. The order
    within each group is random, so that nodes starting together don't all choose the
    same peer. The fetch ends when a snapshot is complete or every peer was tried.
    """

    def __init__(
        self, domain: DomainName, peers: Sequence[Vm], rng: random.Random
    ) -> None:
        shuffled = sorted(peers, key=lambda vm: (vm.domain != domain, rng.random()))
        self._untried_peers = [NodeName(vm.name) for vm in shuffled]
        self._rng = rng
        self._peer: NodeName | None = None
        self._transfer = 0
        self._received: list[bytes] = []
        self._size = 0
        self._requested_ms = 0.0
        self._peer_started_ms = 0.0
        self._retry_at_ms: float | None = None
        self.snapshot: Snapshot | None = None

    def is_over(self) -> bool:
        """Return whether the fetch has ended."""
        return self.snapshot is not None or (
            self._peer is None and not self._untried_peers
        )

    def tick(self, now_ms: float) -> SendRequest | None:
        """Return the next request, if one is due."""
        if self.is_over():
            return None
        if self._peer is None:
            return self._try_next(now_ms)
        if self._retry_at_ms is not None and now_ms >= self._retry_at_ms:
            self._retry_at_ms = None
            return self._request_part(now_ms)
        if now_ms - self._requested_ms > _TIMEOUT_MS:
            return self._try_next(now_ms)
        return None

    def handle(
        self, peer: NodeName, message: SnapshotPart | SnapshotBusy, now_ms: float
    ) -> SendRequest | None:
        """Handle a peer's answer; return the next request, if any."""
        if peer != self._peer or message.transfer != self._transfer:
            return None
        if isinstance(message, SnapshotBusy):
            return self._wait(message, now_ms)
        if message.part != len(self._received):
            return None
        self._received.append(message.data)
        self._size += len(message.data)
        if self._size > MAX_SNAPSHOT_BYTES:
            return self._try_next(now_ms)
        if len(self._received) < message.parts:
            return self._request_part(now_ms)
        return self._finish(message, now_ms)

    def _finish(self, message: SnapshotPart, now_ms: float) -> SendRequest | None:
        data = b"".join(self._received)
        if xxhash.xxh3_64_intdigest(data) != message.digest:
            return self._try_next(now_ms)
        try:
            self.snapshot = decode_snapshot(data)
        except SnapshotInvalidError:
            return self._try_next(now_ms)
        return None

    def _wait(self, message: SnapshotBusy, now_ms: float) -> SendRequest | None:
        if not self._received and now_ms - self._peer_started_ms > _TIMEOUT_MS:
            return self._try_next(now_ms)
        wait_ms = min(max(message.retry_after_ms, 10.0), _TIMEOUT_MS / 2)
        self._retry_at_ms = now_ms + wait_ms * self._rng.uniform(1.0, 1.5)
        self._requested_ms = now_ms
        return None

    def _try_next(self, now_ms: float) -> SendRequest | None:
        self._received = []
        self._size = 0
        self._retry_at_ms = None
        self._peer = self._untried_peers.pop(0) if self._untried_peers else None
        if self._peer is None:
            return None
        self._peer_started_ms = now_ms
        self._transfer = self._rng.getrandbits(48)
        return self._request_part(now_ms)

    def _request_part(self, now_ms: float) -> SendRequest:
        assert self._peer is not None
        self._requested_ms = now_ms
        request = SnapshotRequest(self._transfer, len(self._received))
        return SendRequest(self._peer, request)
