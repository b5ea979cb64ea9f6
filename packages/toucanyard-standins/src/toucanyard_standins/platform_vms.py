"""Simulate the VM list: live and leaving VMs, with delayed visibility."""

from __future__ import annotations

import enum
from collections import deque

import msgspec


class VmState(enum.StrEnum):
    """Whether a VM is live or about to be removed."""

    LIVE = "live"
    LEAVING = "leaving"


class VmKind(enum.StrEnum):
    """The kind of process on a VM."""

    NODE = "node"
    ENDPOINT = "endpoint"


class Vm(msgspec.Struct, frozen=True):
    """One VM; a node has three addresses, an endpoint one."""

    name: str
    domain: str
    runs: VmKind
    state: VmState = VmState.LIVE
    callers: str = ""
    operators: str = ""
    peers: str = ""
    endpoint: str = ""


class VmListBody(msgspec.Struct, frozen=True):
    """The response to a read of the list."""

    vms: tuple[Vm, ...]


class _Change(msgspec.Struct, frozen=True):
    """A change and the time at which it becomes visible; no VM means removal."""

    visible_ms: float
    name: str
    vm: Vm | None


class VmList:
    """VMs by name; changes become visible after a lag."""

    __slots__ = ("_changes", "_visible", "lag_ms")

    def __init__(self, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self._visible: dict[str, Vm] = {}
        self._changes: deque[_Change] = deque()

    def put(self, vm: Vm, now_ms: float) -> None:
        """Add or replace one VM."""
        self._changes.append(_Change(now_ms + self.lag_ms, vm.name, vm))

    def remove(self, name: str, now_ms: float) -> None:
        """Remove one VM."""
        self._changes.append(_Change(now_ms + self.lag_ms, name, None))

    def find_visible(self, now_ms: float) -> tuple[Vm, ...]:
        """Return the VMs that are currently visible."""
        while self._changes and self._changes[0].visible_ms <= now_ms:
            change = self._changes.popleft()
            if change.vm is None:
                self._visible.pop(change.name, None)
            else:
                self._visible[change.name] = change.vm
        return tuple(self._visible.values())
