"""What replicas state about themselves in the headers of their responses."""

from __future__ import annotations

import enum

import msgspec


class StatementKind(enum.StrEnum):
    """What a replica can state about itself."""

    LEAVING = "leaving"
    RETRY_AFTER = "retry_after"
    LIMIT = "limit"
    BRITTLE = "brittle"
    LOAD = "load"
    WEIGHTS = "weights"


class InvalidStatement(msgspec.Struct, frozen=True):
    """A statement that has no effect, and its text."""

    kind: StatementKind
    text: str


class StatedLoad(msgspec.Struct, frozen=True):
    """The load that a replica states in a response."""

    running: int
    waiting: int
    slots: int
    contention: float | None = None
    """How much longer work takes on its machine now than usual, as others use it too;
    None if it does not say."""


class ReplicaStatement(msgspec.Struct, frozen=True):
    """What one response states about the replica that sent it."""

    replica_id: str = ""
    """Id of the replica; empty if the response does not contain it."""
    is_leaving: bool = False
    """The replica will shut down and takes no new requests."""
    retry_after_ms: float | None = None
    """Time for which the node whose call it rejected should send it no others."""
    limit_per_s: float | None = None
    """Requests a second that it accepts from all nodes together."""
    brittle_per_s: float | None = None
    """Rejections a second, for lack of room, above which it ends; None if it is not
    brittle."""
    load: StatedLoad | None = None
    invalid: tuple[InvalidStatement, ...] = ()

    def has_content(self) -> bool:
        """Return whether the response states anything but the replica's id."""
        values = (self.retry_after_ms, self.limit_per_s, self.brittle_per_s)
        has_value = any(each is not None for each in values)
        has_value |= self.load is not None and self.load.contention is not None
        return self.is_leaving or has_value or bool(self.invalid)


NO_STATEMENT = ReplicaStatement()
