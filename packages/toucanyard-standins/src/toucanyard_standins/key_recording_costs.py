"""Measure the cost of recording issued keys: bytes sent and added latency.

One issuer and its backup node run in virtual time; requests arrive at random.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Sequence
from typing import Final

import msgspec
import numpy as np

from toucanyard.at_most_once import AtMostOnce
from toucanyard.claim_events import (
    AllowDispatch,
    ClaimAction,
    DispatchEnded,
    KeyedRequestArrived,
    PeerMessageArrived,
    PeersChanged,
    PeerView,
    SendToPeer,
    Ticked,
)
from toucanyard.key_messages import KeyMessage, KeysRecorded, RecordKeys
from toucanyard.names import CustomerName, Incarnation, NodeId, NodeName, RequestId
from toucanyard.options import ClaimLimits
from toucanyard.requests import CachedAnswer, DispatchEnding
from toucanyard.wire import encode_message

GATHER_TIMES_MS: Final = (1, 10, 20, 50, 100)
RATES_PER_S: Final = (3, 34, 340)
_RUN_MS: Final = 120_000.0
_HOP_MS: Final = 1.5
_TICK_MS: Final = 50.0
_FRAME_HEADER_BYTES: Final = 6
"""Frame header of a short message from the node that opened the link."""
_CUSTOMER: Final = CustomerName("lanchas")
_ISSUER: Final = NodeId(NodeName("n001"), Incarnation("0123456789"))
_BACKUP: Final = NodeId(NodeName("n002"), Incarnation("abcdef0123"))
_ANSWER: Final = CachedAnswer(200, "application/json", b"x")


class KeyRecordingCosts(msgspec.Struct):
    """The cost of recording keys in one run."""

    keys: int = 0
    messages: int = 0
    bytes_sent: int = 0
    added_ms: list[float] = []


class KeyRecordingRun:
    """One issuer and one backup node, connected by lossless links."""

    def __init__(self, gather_ms: int, rate_per_s: float) -> None:
        limits = ClaimLimits(note_gather_ms=gather_ms, max_keys=10**6)
        self._rng = random.Random(7)
        self._rate_per_ms = rate_per_s / 1000
        self._nodes = {
            each: AtMostOnce(each.node, each.incarnation, limits, self._rng)
            for each in (_ISSUER, _BACKUP)
        }
        self._arrived_ms: dict[RequestId, float] = {}
        self._due: list[tuple[float, int, NodeId, KeyMessage | None]] = []
        self._count = 0
        self.costs = KeyRecordingCosts()

    def run(self) -> KeyRecordingCosts:
        """Run to the end and return the costs."""
        view = PeerView(_BACKUP.node, _BACKUP.incarnation, True)
        issuer = self._nodes[_ISSUER]
        self._execute(_ISSUER, issuer.handle(PeersChanged((view,)), 0), 0)
        self._schedule(_TICK_MS * self._rng.random(), _ISSUER, None)
        next_ms = 10.0
        while next_ms < _RUN_MS:
            while self._due and self._due[0][0] <= next_ms:
                self._process_next_due()
            self._send_keyed_request(next_ms)
            next_ms += self._rng.expovariate(self._rate_per_ms)
        return self.costs

    def _send_keyed_request(self, now_ms: float) -> None:
        issuer = self._nodes[_ISSUER]
        key = issuer.issue_prefix(now_ms) + "mine"
        request_id = RequestId(f"r{now_ms}")
        self._arrived_ms[request_id] = now_ms
        event = KeyedRequestArrived(
            request_id, _CUSTOMER, key, b"d" * 16, now_ms + 30_000, 0
        )
        self._execute(_ISSUER, issuer.handle(event, now_ms), now_ms)

    def _schedule(self, at_ms: float, to: NodeId, message: KeyMessage | None) -> None:
        self._count += 1
        heapq.heappush(self._due, (at_ms, self._count, to, message))

    def _process_next_due(self) -> None:
        now_ms, _, to, message = heapq.heappop(self._due)
        node = self._nodes[to]
        if message is None:
            self._schedule(now_ms + _TICK_MS, to, None)
            self._execute(to, node.handle(Ticked(), now_ms), now_ms)
            return
        sender = _BACKUP if to == _ISSUER else _ISSUER
        actions = node.handle(PeerMessageArrived(sender, message), now_ms)
        self._execute(to, actions, now_ms)

    def _execute(
        self, node: NodeId, actions: Sequence[ClaimAction], now_ms: float
    ) -> None:
        for action in actions:
            match action:
                case SendToPeer(message=message):
                    to = _BACKUP if node == _ISSUER else _ISSUER
                    self._schedule(now_ms + _HOP_MS, to, message)
                    if isinstance(message, RecordKeys | KeysRecorded):
                        self.costs.messages += 1
                        size_bytes = len(encode_message(message)) + _FRAME_HEADER_BYTES
                        self.costs.bytes_sent += size_bytes
                case AllowDispatch(request_id=request_id):
                    self._record_allowed(request_id, now_ms)
                case _:
                    pass

    def _record_allowed(self, request_id: RequestId, now_ms: float) -> None:
        waited_ms = now_ms - self._arrived_ms.pop(request_id)
        self.costs.added_ms.append(waited_ms)
        self.costs.keys += 1
        ended = DispatchEnded(request_id, DispatchEnding.COMPLETED, _ANSWER)
        self._nodes[_ISSUER].handle(ended, now_ms)


def print_key_recording_costs() -> None:
    """Print bytes and added latency for each gather time and rate of keys."""
    seconds = _RUN_MS / 1000
    print(f"notes of one node, all keyed; {2 * _HOP_MS:.0f} ms there and back")
    print("gather ms  keys/s  messages/s  bytes/s  mean ms  p50 ms  p99 ms")
    for rate_per_s in RATES_PER_S:
        for gather_ms in GATHER_TIMES_MS:
            costs = KeyRecordingRun(gather_ms, rate_per_s).run()
            p50_ms, p99_ms = np.percentile(costs.added_ms, (50, 99))
            print(
                f"{gather_ms:>9} {costs.keys / seconds:>7.1f}"
                f" {costs.messages / seconds:>11.1f}"
                f" {costs.bytes_sent / seconds:>8.0f}"
                f" {np.mean(costs.added_ms):>8.1f} {p50_ms:>7.1f} {p99_ms:>7.1f}",
                flush=True,
            )
