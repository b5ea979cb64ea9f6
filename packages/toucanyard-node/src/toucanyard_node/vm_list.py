"""Poll the VM list of the platform and emit its contents."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec
import structlog
import trio

from toucanyard.core_events import VmsRead
from toucanyard.names import Address
from toucanyard.options import MembershipTimings
from toucanyard.vm_view import Vm
from toucanyard_node.bounded_fetch import fetch_bounded
from toucanyard_node.http_client import (
    Connect,
    ConnectionFailedError,
    connect,
    is_valid_address,
)

_LOG: Final = structlog.get_logger()
_TIMEOUT_MS: Final = 2_000
_MAX_BYTES: Final = 4_000_000
_SMALL_LIST_BYTES: Final = 16_000
_BYTES_PER_S: Final = 1_500
_ADDRESSES: Final = ("callers", "operators", "peers", "endpoint")

Emit = Callable[[VmsRead], Awaitable[None]]


class VmListBody(msgspec.Struct, frozen=True):
    """Body of the platform's response."""

    vms: tuple[Vm, ...]


def compute_wait_ms(timings: MembershipTimings, body_bytes: int) -> float:
    """Return how long to wait before the next read, by the size of the last one.

    The list is always sent completely. If it is large, each node reads it rarely: among
    many nodes one reads it every second or two, and distributes changes by gossip.
    """
    large_bytes = max(0, body_bytes - _SMALL_LIST_BYTES)
    return max(float(timings.vm_list_poll_ms), large_bytes * 1000 / _BYTES_PER_S)


async def poll_vm_list(
    address: Address,
    timings: MembershipTimings,
    emit: Emit,
    rng: random.Random,
    connect_to: Connect = connect,
) -> None:
    """Read the list periodically until cancelled; failures keep the last one."""
    while True:
        body = await _read(address, connect_to)
        size = 0
        if body is not None and await _emit_vms(body, emit):
            # A large but malformed response must not delay the next attempt.
            size = len(body)
        wait_ms = compute_wait_ms(timings, size)
        # Without jitter, nodes started together would always read at the same time.
        await trio.sleep(wait_ms * rng.uniform(0.75, 1.0) / 1000)


async def _read(address: Address, connect_to: Connect) -> bytes | None:
    try:
        response = await fetch_bounded(
            address, "/vms", _TIMEOUT_MS, _MAX_BYTES, connect_to
        )
    except ConnectionFailedError as error:
        _LOG.warning("vm_list_unread", error=str(error))
        return None
    if response.status != 200:
        _LOG.warning("vm_list_unread", status=response.status)
        return None
    return response.body


async def _emit_vms(body: bytes, emit: Emit) -> bool:
    try:
        vms = msgspec.json.decode(body, type=VmListBody).vms
    except (msgspec.DecodeError, RecursionError) as error:
        _LOG.warning("vm_list_malformed", error=str(error)[:200])
        return False
    await emit(VmsRead(tuple(_clear_invalid_addresses(vm) for vm in vms)))
    return True


def _clear_invalid_addresses(vm: Vm) -> Vm:
    """Return a VM with invalid addresses replaced by empty ones."""
    addresses = {name: getattr(vm, name) for name in _ADDRESSES}
    invalid = {
        name for name, each in addresses.items() if each and not is_valid_address(each)
    }
    if not invalid:
        return vm
    _LOG.warning("vm_address_impossible", vm=vm.name[:64], fields=sorted(invalid))
    return msgspec.structs.replace(vm, **dict.fromkeys(invalid, Address("")))
