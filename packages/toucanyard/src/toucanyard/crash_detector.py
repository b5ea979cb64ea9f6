"""Tell a replica that crashed from one whose connections were lost.

A call whose connection was closed may have met a crash, a reset, a cut link or a
planned stop. The replica has crashed if it was listed and not leaving, and if nothing
listens at its address afterwards or another replica answers there.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.names import EndpointName, Fingerprint
from toucanyard.relay_requests import RelayOutcome
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.requests import EndingSeen

LOSS_TTL_MS: Final = 5_000.0
"""How long a lost call waits for word of its replica; the store drops a replica that
crashed within that time."""
PROBE_MS: Final = 250.0
"""Time between two probes of a replica that has not answered the last one."""
MAX_CLOSED_PROBES: Final = 2
"""Probes in a row that were closed, after which a replica counts as ended."""
SURVIVAL_DELAY_MS: Final = 500.0
"""How long a replica has to go on after an answer for the request to have survived:
one that crashes while it cleans up has answered."""
MAX_ENDED: Final = 1_000
"""Lives that ended lately and are remembered."""


class Reachability(enum.Enum):
    """What a probe found at a replica's address."""

    ANSWERED = "answered"
    REPLACED = "replaced"
    """Another replica answers there."""
    NO_LISTENER = "no_listener"
    CLOSED = "closed"
    """Something takes the connection and closes it without an answer: a proxy, or a
    process that ends."""
    NO_ANSWER = "no_answer"


class LostCall(msgspec.Struct, frozen=True):
    """A call that was lost at a replica."""

    fingerprint: Fingerprint
    sent_ms: float
    at_ms: float
    is_closed: bool


class AnsweredCall(msgspec.Struct, frozen=True):
    """A call that a replica answered a moment ago."""

    replica: EndpointName
    fingerprint: Fingerprint
    sent_ms: float
    at_ms: float


class CrashDetector:
    """Lost calls whose replicas may have crashed.

    Invariant: a loss is charged at most once, and only to the life that it was lost at.
    """

    __slots__ = (
        "_answered",
        "_closed",
        "_directory",
        "_ended",
        "_losses",
        "_probed_ms",
    )

    def __init__(self, directory: ReplicaDirectory) -> None:
        self._directory = directory
        self._losses: dict[EndpointName, list[LostCall]] = {}
        self._answered: deque[AnsweredCall] = deque()
        """In the order of their ends."""
        self._probed_ms: dict[EndpointName, float] = {}
        self._closed: dict[EndpointName, int] = {}
        """Probes in a row that were closed, of lives with losses."""
        self._ended: dict[EndpointName, None] = {}

    def has_unresolved_loss(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a run of this request was cut and nobody knows yet by what."""
        return any(
            loss.is_closed and loss.fingerprint == fingerprint
            for losses in self._losses.values()
            for loss in losses
        )

    def record_outcome(
        self,
        outcome: RelayOutcome,
        fingerprint: Fingerprint,
        sent_ms: float,
        now_ms: float,
    ) -> bool:
        """Record how a dispatch ended; return whether its replica surely ended."""
        if outcome.has_no_listener or outcome.is_replaced:
            return True
        if outcome.ending is not EndingSeen.LOST or not fingerprint:
            return False
        known = self._directory.find(outcome.replica)
        if known is None or not known.is_listed(now_ms):
            return False
        loss = LostCall(fingerprint, sent_ms, now_ms, outcome.is_closed)
        self._losses.setdefault(outcome.replica, []).append(loss)
        return outcome.replica in self._ended

    def record_answer(
        self,
        replica: EndpointName,
        fingerprint: Fingerprint,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Record that a replica has answered a call."""
        self.mark_alive(replica, sent_ms)
        if fingerprint:
            answered = AnsweredCall(replica, fingerprint, sent_ms, now_ms)
            self._answered.append(answered)

    def take_survivals(self, now_ms: float) -> Iterator[AnsweredCall]:
        """Return the answers that their replicas have outlived, once."""
        while self._answered and now_ms - self._answered[0].at_ms >= SURVIVAL_DELAY_MS:
            yield self._answered.popleft()

    def take_answered(self, replica: EndpointName) -> list[AnsweredCall]:
        """Return the last answers of a life that has ended, and drop them."""
        found = [each for each in self._answered if each.replica == replica]
        if found:
            rest = (each for each in self._answered if each.replica != replica)
            self._answered = deque(rest)
        return found

    def record_probe(
        self, replica: EndpointName, reach: Reachability, asked_ms: float
    ) -> bool:
        """Record what a probe found; return whether the replica surely ended."""
        match reach:
            case Reachability.NO_LISTENER | Reachability.REPLACED:
                return True
            case Reachability.ANSWERED:
                self.mark_alive(replica, asked_ms)
            case Reachability.CLOSED if replica in self._losses:
                self._closed[replica] = self._closed.get(replica, 0) + 1
                return self._closed[replica] >= MAX_CLOSED_PROBES
        return False

    def mark_alive(self, replica: EndpointName, asked_ms: float) -> None:
        """Record that a life has answered what it was asked at a time."""
        self._ended.pop(replica, None)
        self._closed.pop(replica, None)
        losses = self._losses.get(replica)
        if losses:
            # What was lost before a life answered was not lost by its end.
            self._replace_losses(
                replica, [each for each in losses if each.at_ms > asked_ms]
            )

    def mark_ended(self, replica: EndpointName) -> None:
        """Record that a life of a replica is over."""
        self._ended[replica] = None
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def take_losses(self, replica: EndpointName) -> list[LostCall]:
        """Return the losses at a life that has ended, and drop them."""
        self._probed_ms.pop(replica, None)
        self._closed.pop(replica, None)
        return self._losses.pop(replica, [])

    def find_replaced(self, now_ms: float) -> list[EndpointName]:
        """Return lives with losses that another one has followed at their address."""
        return [name for name in self._losses if self._is_replaced(name, now_ms)]

    def take_probes(self, now_ms: float) -> Iterator[KnownReplica]:
        """Return the replicas to probe now, and forget what is too old to matter."""
        for name, losses in list(self._losses.items()):
            fresh = [each for each in losses if now_ms - each.at_ms < LOSS_TTL_MS]
            self._replace_losses(name, fresh)
            known = self._directory.find(name)
            if known is None or not any(each.is_closed for each in fresh):
                continue
            if now_ms - self._probed_ms.get(name, float("-inf")) >= PROBE_MS:
                self._probed_ms[name] = now_ms
                yield known

    def _replace_losses(self, replica: EndpointName, losses: list[LostCall]) -> None:
        if losses:
            self._losses[replica] = losses
        else:
            self.take_losses(replica)

    def _is_replaced(self, name: EndpointName, now_ms: float) -> bool:
        if self._directory.is_superseded(name):
            return True
        known = self._directory.find(name)
        if known is None:
            return False
        newest = self._directory.find_newest_at(known.replica.address, now_ms)
        return newest is not None and newest is not known
