"""Handle events about requests that crash replicas."""

from __future__ import annotations

from collections.abc import Iterator

from toucanyard.relay_events import QuarantineErased, QuarantineWritten, RelayAction
from toucanyard.replica_probes import ReplicaProbes
from toucanyard.request_guard import RequestGuard


class GuardEvents:
    """Handler of one node's events that concern its request guard."""

    __slots__ = ("_guard", "_is_urgent", "_probes")

    def __init__(self, guard: RequestGuard, probes: ReplicaProbes) -> None:
        self._guard = guard
        self._probes = probes
        self._is_urgent = False

    def tick(self, now_ms: float) -> Iterator[RelayAction]:
        """Update the guard, and emit the probes and writes that are due."""
        self._guard.tick(now_ms)
        yield from self._probes.probe_lost(now_ms)
        yield from self._guard.quarantine.tick(now_ms)

    def on_stored(
        self, event: QuarantineWritten | QuarantineErased, now_ms: float
    ) -> None:
        """Handle that the record of a quarantine was written or removed."""
        match event:
            case QuarantineWritten(fingerprint=fingerprint):
                self._guard.quarantine.on_written(fingerprint, now_ms)
            case QuarantineErased(fingerprint=fingerprint):
                self._guard.quarantine.on_erased(fingerprint)

    def settle(self) -> Iterator[RelayAction]:
        """Emit the log entries about the event just handled."""
        if self._guard.has_updates():
            yield from self._guard.take_log_entries()
            self._is_urgent |= self._guard.take_urgent()

    def consume_urgent_flag(self) -> bool:
        """Return whether peers should be informed at once; clear the flag."""
        is_urgent, self._is_urgent = self._is_urgent, False
        return is_urgent
