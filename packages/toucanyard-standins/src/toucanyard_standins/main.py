"""Run one stand-in as a process: engine, platform, plain service or relay."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import click
import trio

from toucanyard.names import Address
from toucanyard_node.http_client import split_address
from toucanyard_node.http_server import (
    open_listener,
)
from toucanyard_standins.engine_batch import CostModel
from toucanyard_standins.engine_server import serve_engine
from toucanyard_standins.engine_state import EngineOptions
from toucanyard_standins.plain_relay import RelayOptions, serve_plain_relay
from toucanyard_standins.plain_service import ServiceOptions, serve_plain_service
from toucanyard_standins.platform import PlatformOptions, serve_platform
from toucanyard_standins.platform_log import LogOptions
from toucanyard_standins.platform_weights import WeightStoreOptions

T = TypeVar("T")
Serve = Callable[[T, trio.SocketListener, trio.TaskStatus[Address]], Awaitable[None]]

_listen_option = click.option(
    "--listen", default="127.0.0.1:0", show_default=True, help="IP number and port."
)


async def run_until_stopped(
    role: str, serve: Serve[T], options: T, listen: str
) -> None:
    """Serve until the process is terminated; print one line when ready."""
    host, port = split_address(Address(listen))
    listener = await open_listener(host, port)

    async def start(
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await serve(options, listener, task_status)

    async with trio.open_nursery() as nursery:
        address = await nursery.start(start)
        print(f"event=listening role={role} address={address}", flush=True)


@click.group()
def main() -> None:
    """Run a stand-in for a system around the router.

    Faults are switched by POST /control with {"fault": NAME, ...}; GET /control
    shows counters. Every stand-in: silence, cut, down. Engine: crash, cut_after,
    die_after, silence_after, cross, delay, slow, refuse, heartbeats, lose_events.
    Platform: outage, slow, lose_answers, expire, age, put_vm, remove_vm, vm_lag. Plain
    service: slow, die, delay, refuse, cross.
    """


@main.command()
@_listen_option
@click.option("--name", default="engine")
@click.option("--model", default="model")
@click.option("--weights-version", default="w1")
@click.option("--adapter", "adapters", multiple=True)
@click.option("--checks-fence", is_flag=True, help="Refuse old fencing numbers.")
@click.option("--capacity-blocks", default=4_096)
@click.option("--prefill-ms-per-block", default=8.0)
@click.option("--decode-step-ms", default=20.0)
@click.option("--decode-ms-per-sequence", default=0.5)
@click.option("--max-running", default=16)
@click.option("--event-delay-ms", default=200.0)
@click.option("--lost-event-share", default=0.0)
@click.option("--load-lag-ms", default=200.0)
@click.option("--load-weights-ms", default=450.0)
@click.option("--weight-store", default="", help="Address of the platform.")
@click.option("--time-scale", default=1.0, help="0.1 is ten times faster.")
@click.option("--seed", default=0)
def engine(
    listen: str,
    name: str,
    model: str,
    weights_version: str,
    adapters: tuple[str, ...],
    checks_fence: bool,
    capacity_blocks: int,
    prefill_ms_per_block: float,
    decode_step_ms: float,
    decode_ms_per_sequence: float,
    max_running: int,
    event_delay_ms: float,
    lost_event_share: float,
    load_lag_ms: float,
    load_weights_ms: float,
    weight_store: str,
    time_scale: float,
    seed: int,
) -> None:
    """Run a model engine."""
    cost = CostModel(
        prefill_ms_per_block=prefill_ms_per_block,
        decode_step_ms=decode_step_ms,
        decode_ms_per_sequence=decode_ms_per_sequence,
        max_running=max_running,
    )
    options = EngineOptions(
        name=name,
        model=model,
        weights_version=weights_version,
        adapters=adapters,
        checks_fence=checks_fence,
        capacity_blocks=capacity_blocks,
        cost=cost,
        event_delay_ms=event_delay_ms,
        lost_event_share=lost_event_share,
        load_lag_ms=load_lag_ms,
        load_weights_ms=load_weights_ms,
        weight_store=weight_store,
        time_scale=time_scale,
        seed=seed,
    )
    trio.run(run_until_stopped, "engine", serve_engine, options, listen)


@main.command()
@_listen_option
@click.option("--appends-per-s", default=400.0)
@click.option("--retention-ms", default=3_600_000.0)
@click.option("--vm-lag-ms", default=500.0)
@click.option("--weight-starts-per-s", default=4.0)
def platform(
    listen: str,
    appends_per_s: float,
    retention_ms: float,
    vm_lag_ms: float,
    weight_starts_per_s: float,
) -> None:
    """Run the platform: log service, VM list and weight store."""
    options = PlatformOptions(
        log=LogOptions(appends_per_s=appends_per_s, retention_ms=retention_ms),
        weights=WeightStoreOptions(starts_per_s=weight_starts_per_s),
        vm_lag_ms=vm_lag_ms,
    )
    trio.run(run_until_stopped, "platform", serve_platform, options, listen)


@main.command()
@_listen_option
@click.option("--name", default="service")
@click.option("--work-ms", default=5.0)
@click.option("--load-lag-ms", default=200.0)
def service(listen: str, name: str, work_ms: float, load_lag_ms: float) -> None:
    """Run a plain service."""
    options = ServiceOptions(name, work_ms, load_lag_ms)
    trio.run(run_until_stopped, "service", serve_plain_service, options, listen)


@main.command()
@_listen_option
@click.option(
    "--engine", "engine_address", required=True, help="Address of the engine."
)
def relay(listen: str, engine_address: str) -> None:
    """Run a relay without routing decisions, for comparison."""
    options = RelayOptions(Address(engine_address))
    trio.run(run_until_stopped, "relay", serve_plain_relay, options, listen)
