"""Start stand-ins and nodes as processes, connect them and terminate them.

Only tests, the demo and benches use it: the router itself starts no processes.
"""

from __future__ import annotations

import hashlib
import sys
import tempfile
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Final, TypeVar

import msgspec
import trio

from toucanyard.names import Address, DomainName, NodeName
from toucanyard.options import ListenOptions, Options, PlatformOptions
from toucanyard_node.http_client import ConnectionFailedError, Response, fetch
from toucanyard_standins.platform_faults import PutVm, RemoveVm
from toucanyard_standins.platform_vms import Vm, VmKind, VmState
from toucanyard_standins.processes import (
    HarnessError,
    ProcessHandle,
    start_process,
    wait_ready,
)

T = TypeVar("T")

_POLL_INTERVAL_S: Final = 0.02
_ANY_PORT: Final = Address("127.0.0.1:0")


def hash_key(key: str) -> str:
    """Return the hash of an API key as stored in a configuration."""
    return hashlib.sha256(key.encode()).hexdigest()


class Harness:
    """The processes of one test, demo or bench; created by `open_harness`."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._started: list[ProcessHandle] = []
        self.platform: ProcessHandle | None = None

    def list_started(self) -> tuple[ProcessHandle, ...]:
        """Return all started processes in the order of their starts."""
        return tuple(self._started)

    def get_platform(self) -> ProcessHandle:
        """Return the platform; raise HarnessError if it was not started."""
        if self.platform is None:
            raise HarnessError("the platform was not started")
        return self.platform

    async def start_platform(self, *arguments: str) -> ProcessHandle:
        """Start the platform; arguments as of `toucanyard_standins platform`."""
        self.platform = await self._start_standin("platform", "platform", *arguments)
        return self.platform

    async def start_engine(
        self, name: str, domain: str, *arguments: str
    ) -> ProcessHandle:
        """Start an engine and add it to the VM list."""
        store = self.platform.address if self.platform else ""
        all_arguments = ("--name", name, "--weight-store", store, *arguments)
        engine = await self._start_standin(name, "engine", *all_arguments)
        await self._list_endpoint(engine, domain)
        return engine

    async def start_service(
        self, name: str, domain: str, *arguments: str
    ) -> ProcessHandle:
        """Start a plain service and add it to the VM list."""
        all_arguments = ("--name", name, *arguments)
        service = await self._start_standin(name, "service", *all_arguments)
        await self._list_endpoint(service, domain)
        return service

    async def start_relay(self, engine: ProcessHandle) -> ProcessHandle:
        """Start a relay that forwards all requests to one engine."""
        to = ("--engine", engine.address)
        return await self._start_standin("relay", "relay", *to)

    async def start_node(
        self,
        name: str,
        domain: str,
        options: Options | None = None,
        profile_directory: str = "",
    ) -> ProcessHandle:
        """Start a node and add it to the VM list.

        Name, domain, addresses and platform of `options` are replaced. With a
        profile directory, the node writes NAME.profile there on a planned stop.
        """
        settings_file = self._write_settings(name, domain, options)
        program = Path(sys.executable).with_name("toucanyard-node")
        command = [str(program), str(settings_file)]
        if profile_directory:
            file = Path(profile_directory) / f"{name}.profile"
            command = [sys.executable, "-m", "cProfile", "-o", str(file), *command]
        node = await self._start(name, "node", *command)
        vm = Vm(
            name,
            domain,
            VmKind.NODE,
            callers=node.addresses["callers"],
            operators=node.addresses["operators"],
            peers=node.addresses["peers"],
        )
        await self.put_vm(vm)
        return node

    async def put_vm(self, vm: Vm) -> None:
        """Add one VM to the platform's list, or replace it."""
        await self.control(self.get_platform(), PutVm(vm))

    async def mark_vm_leaving(self, vm: Vm) -> None:
        """Mark one VM in the platform's list as leaving."""
        await self.put_vm(msgspec.structs.replace(vm, state=VmState.LEAVING))

    async def remove_vm(self, name: str) -> None:
        """Remove one VM from the platform's list."""
        await self.control(self.get_platform(), RemoveVm(name))

    async def publish(self, *records: str) -> None:
        """Append records to the platform's log."""
        body = msgspec.json.encode({"records": records})
        address = self.get_platform().address
        answer = await fetch(address, "POST", "/log/append", (), body)
        if answer.status != 200:
            raise HarnessError(f"log: status {answer.status}")

    async def control(self, handle: ProcessHandle, fault: msgspec.Struct) -> None:
        """Apply a fault to one stand-in."""
        body = msgspec.json.encode(fault)
        answer = await fetch(handle.address, "POST", "/control", (), body)
        if answer.status != 200:
            raise HarnessError(f"{handle.name}: {answer.body.decode()}")

    async def read_counters(self, handle: ProcessHandle, kind: type[T]) -> T:
        """Return the counters of one stand-in, such as EngineCounters."""
        answer = await fetch(handle.address, "GET", "/control")
        return msgspec.json.decode(answer.body, type=kind)

    async def kill_all(self) -> None:
        """Kill all started processes, without a planned stop."""
        for handle in reversed(self._started):
            await handle.kill_and_wait()

    async def _list_endpoint(self, handle: ProcessHandle, domain: str) -> None:
        if self.platform is None:
            return
        vm = Vm(handle.name, domain, VmKind.ENDPOINT, endpoint=handle.address)
        await self.put_vm(vm)

    def _write_settings(self, name: str, domain: str, options: Options | None) -> Path:
        platform = self.get_platform().address
        listen = ListenOptions(_ANY_PORT, _ANY_PORT, _ANY_PORT)
        platform_options = PlatformOptions(platform, platform)
        if options is None:
            options = Options(
                NodeName(name),
                DomainName(domain),
                listen,
                platform_options,
                ("harness",),
            )
        else:
            options = msgspec.structs.replace(
                options,
                name=NodeName(name),
                domain=DomainName(domain),
                listen=listen,
                platform=platform_options,
            )
        file = self._directory / f"{name}.json"
        file.write_bytes(msgspec.json.format(msgspec.json.encode(options)))
        return file

    async def _start_standin(
        self, name: str, role: str, *arguments: str
    ) -> ProcessHandle:
        module = (sys.executable, "-m", "toucanyard_standins", role, *arguments)
        return await self._start(name, role, *module)

    async def _start(self, name: str, role: str, *command: str) -> ProcessHandle:
        """Start one process and wait until it reports its addresses."""
        log_file = self._directory / f"{len(self._started)}-{name}.log"
        handle = await start_process(name, command, log_file)
        self._started.append(handle)
        await wait_ready(handle, role)
        return handle


async def ask(
    address: Address,
    method: str,
    target: str,
    key: str,
    body: bytes = b"",
    headers: Sequence[tuple[str, str]] = (),
    timeout_ms: float = 10_000,
) -> Response:
    """Make one request with an API key."""
    authorization = ("Authorization", f"Bearer {key}")
    return await fetch(
        address, method, target, (authorization, *headers), body, timeout_ms
    )


async def wait_until_serving(
    node: ProcessHandle, key: str, timeout_s: float = 10.0
) -> None:
    """Wait until /v1/models of a node lists at least one model for this key."""
    last = ""
    with trio.move_on_after(timeout_s):
        while True:
            try:
                answer = await ask(node.address, "GET", "/v1/models", key)
                last = f"status {answer.status} {answer.body[:200]!r}"
                if answer.status == 200 and b'"id"' in answer.body:
                    return
            except ConnectionFailedError as error:
                last = str(error)
            await trio.sleep(_POLL_INTERVAL_S)
    raise HarnessError(f"{node.name} does not serve: {last}\n{node.read_log()}")


class EndpointStatus(msgspec.Struct, frozen=True):
    """The fields of an endpoint in a node's status that the harness uses."""

    name: str
    incarnation: str | None


class NodeStatus(msgspec.Struct, frozen=True):
    """The fields of a node's status that the harness uses."""

    version: int
    endpoints: tuple[EndpointStatus, ...]


async def read_status(node: ProcessHandle, operator_key: str) -> NodeStatus:
    """Return a node's status.

    Raise ConnectionFailedError, or msgspec.DecodeError for any other response.
    """
    answer = await ask(node.addresses["operators"], "GET", "/status", operator_key)
    return msgspec.json.decode(answer.body, type=NodeStatus)


async def wait_until_endpoints_reported(
    node: ProcessHandle, operator_key: str, timeout_s: float = 10.0
) -> None:
    """Wait until a node has received a report from each endpoint."""
    unreported: list[str] = []
    with trio.move_on_after(timeout_s):
        while True:
            status = await read_status(node, operator_key)
            unreported = [
                each.name for each in status.endpoints if not each.incarnation
            ]
            if not unreported:
                return
            await trio.sleep(_POLL_INTERVAL_S)
    raise HarnessError(f"{node.name} has no report from {', '.join(unreported)}")


@asynccontextmanager
async def open_harness() -> AsyncIterator[Harness]:
    """Open a harness; on exit, all processes that it started are killed."""
    with tempfile.TemporaryDirectory(prefix="toucanyard-") as directory:
        harness = Harness(Path(directory))
        try:
            yield harness
        finally:
            with trio.CancelScope(shield=True):
                await harness.kill_all()
