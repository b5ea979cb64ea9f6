"""Define faults and changes that can be applied to the platform, and its counters."""

from __future__ import annotations

import enum

import msgspec

from toucanyard_standins.network_faults import NetworkFault
from toucanyard_standins.platform_vms import Vm


class PlatformPart(enum.StrEnum):
    """The services of the platform."""

    LOG = "log"
    VMS = "vms"
    WEIGHTS = "weights"


class Outage(msgspec.Struct, frozen=True, tag_field="fault", tag="outage"):
    """Respond with 503 for one service while on."""

    is_on: bool
    part: PlatformPart = PlatformPart.LOG


class SlowPart(msgspec.Struct, frozen=True, tag_field="fault", tag="slow"):
    """Delay each response of one service; 0 ends the fault."""

    delay_ms: int
    part: PlatformPart = PlatformPart.LOG


class LoseAnswers(msgspec.Struct, frozen=True, tag_field="fault", tag="lose_answers"):
    """Execute the next appends without sending a response.

    Their connections are closed, or kept open without any byte if `is_silent`.
    """

    count: int
    is_silent: bool = False


class ExpireRecords(msgspec.Struct, frozen=True, tag_field="fault", tag="expire"):
    """Drop the log records before an offset."""

    before: int


class AgeRecords(msgspec.Struct, frozen=True, tag_field="fault", tag="age"):
    """Move the append times of all log records into the past."""

    by_ms: int


class PutVm(msgspec.Struct, frozen=True, tag_field="fault", tag="put_vm"):
    """Add or replace a VM in the list."""

    vm: Vm


class RemoveVm(msgspec.Struct, frozen=True, tag_field="fault", tag="remove_vm"):
    """Remove a VM from the list."""

    name: str


class SetVmLag(msgspec.Struct, frozen=True, tag_field="fault", tag="vm_lag"):
    """Change the time after which changes of the VM list become visible."""

    lag_ms: float


PlatformFault = (
    NetworkFault
    | Outage
    | SlowPart
    | LoseAnswers
    | ExpireRecords
    | AgeRecords
    | PutVm
    | RemoveVm
    | SetVmLag
)


class PlatformCounters(msgspec.Struct):
    """Counters of the platform since its start."""

    asked_records: dict[str, int] = {}
    """Records in append requests by kind, including rejected requests."""
    appends: int = 0
    refused_appends: int = 0
    reads: int = 0
    lost_answers: int = 0
    vm_reads: int = 0
    weight_starts: int = 0
    weight_refusals: int = 0
    next_offset: int = 0
