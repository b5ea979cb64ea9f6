"""Distinguish a crashed replica from one whose connections were lost.

A connection that closes during a call may be due to a crash, a reset, a broken link or
a planned stop. The replica has crashed if it was listed and not leaving, and if
nothing listens at its address afterwards or another replica answers there.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.answered_calls import AnsweredCall, AnsweredCalls
from toucanyard.names import EndpointName, Fingerprint
from toucanyard.relay_requests import RelayOutcome
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.requests import DispatchEnding

LOSS_TTL_MS: Final = 5_000.0
"""How long a lost call is kept until the state of its replica is known; the store
removes a crashed replica within that time."""
PROBE_MS: Final = 250.0
"""Interval between probes of a replica that has not answered the last one."""
MAX_CLOSED_PROBES: Final = 2
"""Consecutive probes closed without an answer after which a replica counts as ended."""
MAX_ENDED: Final = 1_000
"""Recently ended incarnations that are kept."""


class Reachability(enum.Enum):
    """Result of a probe of a replica's address."""

    ANSWERED = "answered"
    REPLACED = "replaced"
    """Another replica answers there."""
    NO_LISTENER = "no_listener"
    CLOSED = "closed"
    """The connection was accepted and closed without an answer: by a proxy, or by a
    process that is exiting."""
    NO_ANSWER = "no_answer"


class LostCall(msgspec.Struct, frozen=True):
    """A call that was lost at a replica."""

    traits: tuple[Fingerprint, ...]
    sent_ms: float
    at_ms: float
    is_closed: bool
    begun_ms: float | None = None
    """When the first event of its answer arrived; None if none did."""


class CrashDetector:
    """Lost calls whose replicas may have crashed.

    Invariant: a lost call is attributed at most once, and only to the incarnation at
    which it was lost.
    """

    __slots__ = (
        "_closed",
        "_directory",
        "_ended",
        "_losses",
        "_probed_ms",
        "answered",
    )

    def __init__(self, directory: ReplicaDirectory) -> None:
        self._directory = directory
        self._losses: dict[EndpointName, list[LostCall]] = {}
        self.answered = AnsweredCalls()
        self._probed_ms: dict[EndpointName, float] = {}
        self._closed: dict[EndpointName, int] = {}
        """Consecutive closed probes of incarnations that have lost calls."""
        self._ended: dict[EndpointName, None] = {}

    def has_unresolved_loss(self, fingerprint: Fingerprint) -> bool:
        """Return whether a run of this request was cut off for a cause yet unknown."""
        return any(
            loss.is_closed and fingerprint in loss.traits
            for losses in self._losses.values()
            for loss in losses
        )

    def has_losses(self, replica: EndpointName) -> bool:
        """Return whether calls were lost at a replica for a cause yet unknown."""
        return replica in self._losses

    def record_outcome(
        self,
        outcome: RelayOutcome,
        traits: tuple[Fingerprint, ...],
        sent_ms: float,
        now_ms: float,
        begun_ms: float | None = None,
    ) -> bool:
        """Record how a dispatch ended; return whether its replica certainly ended."""
        if outcome.has_no_listener or outcome.is_replaced:
            return True
        if outcome.ending is not DispatchEnding.LOST or not traits:
            return False
        known = self._directory.find(outcome.replica)
        if known is None or not known.is_listed(now_ms):
            return False
        loss = LostCall(traits, sent_ms, now_ms, outcome.is_closed, begun_ms)
        self._losses.setdefault(outcome.replica, []).append(loss)
        return outcome.replica in self._ended

    def record_continued(self, replica: EndpointName, sent_ms: float) -> None:
        """Record that a call taken for lost, sent at `sent_ms`, is still running."""
        losses = self._losses.get(replica)
        if losses:
            self._replace_losses(
                replica,
                [each for each in losses if each.is_closed or each.sent_ms != sent_ms],
            )

    def record_answer(self, call: AnsweredCall, *, is_confirmed: bool) -> None:
        """Record that a replica has answered a call.

        `is_confirmed`: whether the answer counts without a later sign of life.
        """
        self.mark_alive(call.replica, call.sent_ms)
        if call.traits and is_confirmed:
            self.answered.add(call)
        elif call.traits:
            self.answered.add_unconfirmed(call)

    def record_probe(
        self, replica: EndpointName, reach: Reachability, asked_ms: float
    ) -> bool:
        """Record a probe's result; return whether the replica certainly ended."""
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
        """Record that an incarnation has answered a request sent at `asked_ms`."""
        self._ended.pop(replica, None)
        self._closed.pop(replica, None)
        self.answered.confirm(replica, asked_ms)
        losses = self._losses.get(replica)
        if losses:
            # Calls lost before the incarnation answered were not lost by its end.
            self._replace_losses(
                replica, [each for each in losses if each.at_ms > asked_ms]
            )

    def mark_ended(self, replica: EndpointName) -> None:
        """Record that an incarnation of a replica has ended."""
        self._ended[replica] = None
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def take_losses(self, replica: EndpointName) -> list[LostCall]:
        """Return and remove the calls lost at an incarnation that has ended."""
        self._probed_ms.pop(replica, None)
        self._closed.pop(replica, None)
        return self._losses.pop(replica, [])

    def find_replaced(self, now_ms: float) -> list[EndpointName]:
        """Return incarnations with lost calls whose address another one now has."""
        return [name for name in self._losses if self._is_replaced(name, now_ms)]

    def take_probes(self, now_ms: float) -> Iterator[KnownReplica]:
        """Return the replicas to probe now, and drop expired losses."""
        for name, losses in list(self._losses.items()):
            fresh = [each for each in losses if now_ms - each.at_ms < LOSS_TTL_MS]
            self._replace_losses(name, fresh)
            known = self._directory.find(name)
            if known is None or not any(each.is_closed for each in fresh):
                continue
            if self._take_probe(name, now_ms):
                yield known
        for name in self.answered.list_probed():
            known = self._directory.find(name)
            if known is not None and self._take_probe(name, now_ms):
                yield known

    def _take_probe(self, replica: EndpointName, now_ms: float) -> bool:
        if now_ms - self._probed_ms.get(replica, float("-inf")) < PROBE_MS:
            return False
        self._probed_ms[replica] = now_ms
        return True

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
