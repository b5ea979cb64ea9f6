"""Send snapshots of this node to starting peers, and fetch one when this node starts.

Connects `snapshots` with the state of other modules. A fetch begins with the first
links and ends with the first complete snapshot; serving doesn't wait for it.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Final

from toucanyard.configuration_log import ConfigurationLog
from toucanyard.core_events import SendMessage
from toucanyard.endpoint_directory import EndpointDirectory
from toucanyard.membership import Membership
from toucanyard.names import DomainName, NodeName
from toucanyard.patches import find_owners
from toucanyard.placement import Placement
from toucanyard.snapshots import (
    EndpointHint,
    SendRequest,
    Snapshot,
    SnapshotBusy,
    SnapshotFetch,
    SnapshotMessage,
    SnapshotPart,
    SnapshotRequest,
    SnapshotServer,
    encode_snapshot,
)

_FETCH_WITHIN_MS: Final = 10_000.0
"""Time after the start in which a snapshot is useful; later its contents are known."""


class SnapshotExchange:
    """The snapshots that one node serves, and the one that it fetches at its start.

    Invariant: a node makes at most one fetch per incarnation.
    """

    def __init__(
        self,
        domain: DomainName,
        log: ConfigurationLog,
        membership: Membership,
        placement: Placement,
        directory: EndpointDirectory,
        rng: random.Random,
    ) -> None:
        self._domain = domain
        self._log = log
        self._membership = membership
        self._placement = placement
        self._directory = directory
        self._rng = rng
        self._server = SnapshotServer()
        self._fetch: SnapshotFetch | None = None
        self._is_done = False
        self._started_ms: float | None = None

    def tick(self, linked: frozenset[NodeName], now_ms: float) -> Iterator[SendMessage]:
        """Start the fetch once there are links, and send the requests that are due."""
        if self._is_done:
            return
        if self._started_ms is None:
            self._started_ms = now_ms
        if now_ms - self._started_ms > _FETCH_WITHIN_MS:
            self._is_done = True
            return
        if self._fetch is None and linked:
            peers = [vm for vm in self._membership.vms if vm.name in linked]
            self._fetch = SnapshotFetch(self._domain, peers, self._rng)
        if self._fetch is not None:
            yield from _to_message(self._fetch.tick(now_ms))
            self._is_done = self._fetch.is_over()

    def handle(
        self, sender: NodeName, message: SnapshotMessage, now_ms: float
    ) -> Iterator[SendMessage]:
        """Answer a peer's request, or handle a peer's answer."""
        match message:
            case SnapshotRequest():
                if self._server.needs_snapshot(sender, message, now_ms):
                    data = encode_snapshot(self._build(now_ms))
                    self._server.begin(sender, message, data, now_ms)
                yield SendMessage(sender, self._server.answer(sender, message, now_ms))
            case SnapshotPart() | SnapshotBusy():
                yield from self._handle_answer(sender, message, now_ms)

    def _handle_answer(
        self, sender: NodeName, message: SnapshotPart | SnapshotBusy, now_ms: float
    ) -> Iterator[SendMessage]:
        if self._fetch is None or self._is_done:
            return
        yield from _to_message(self._fetch.handle(sender, message, now_ms))
        if self._fetch.snapshot is not None:
            self._is_done = True
            self._apply(self._fetch.snapshot)

    def _build(self, now_ms: float) -> Snapshot:
        membership = self._membership
        hints: list[EndpointHint] = []
        is_in_force = self._log.in_force.version > 0
        for owner in find_owners(self._log.in_force):
            for endpoint in owner.endpoints:
                incarnation = membership.find_incarnation(endpoint.name)
                if incarnation is not None:
                    weights = self._directory.find_weights(endpoint.name) or ""
                    hints.append(
                        EndpointHint(endpoint.name, incarnation, weights, 0, 0)
                    )
        return Snapshot(
            configuration=self._log.build_checkpoint() if is_in_force else None,
            endpoints=tuple(hints),
            next_offset=self._log.next_offset,
        )

    def _apply(self, snapshot: Snapshot) -> None:
        if snapshot.configuration is not None:
            self._log.adopt(snapshot.configuration)
        for hint in snapshot.endpoints:
            if self._membership.find_incarnation(hint.endpoint) is not None:
                # What this node has observed itself since its start is newer.
                continue
            self._placement.record_incarnation(hint.endpoint, hint.incarnation)
            if hint.weights_version:
                self._directory.record_weights(hint.endpoint, hint.weights_version)


def _to_message(to_send: SendRequest | None) -> Iterator[SendMessage]:
    if to_send is not None:
        yield SendMessage(to_send.peer, to_send.request)
