from __future__ import annotations

import random
import re
from collections.abc import Callable
from pathlib import Path
from typing import cast

import statsd
import trio

from toucanyard.configuration import PriorityClass
from toucanyard.errorcodes import ErrorKind
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    Incarnation,
    NodeName,
    RequestId,
)
from toucanyard.node_core import NodeCore
from toucanyard.options import ListenOptions, Options, PlatformOptions, StatsdOptions
from toucanyard.requests import DispatchEnding, Outcome
from toucanyard_node.metrics import (
    MAX_GROUPS,
    Counter,
    MetricsSender,
    clean_name,
    collect_metrics,
    send_metrics,
)

ANY = Address("127.0.0.1:0")
PAGE = Path(__file__).parents[2] / "docs" / "operators" / "metrics.md"


def build_core(customers: int = 1) -> NodeCore:
    listen, platform = ListenOptions(ANY, ANY, ANY), PlatformOptions(ANY, ANY)
    options = Options(NodeName("n.1"), DomainName("d"), listen, platform, ("s",))
    core = NodeCore(options, Incarnation("i"), random.Random(1))
    for number in range(customers):
        outcome = Outcome(
            RequestId("r"),
            EndpointName("e"),
            DispatchEnding.COMPLETED,
            first_token_ms=20.0,
            duration_ms=120.0,
            cached_tokens=64,
            prompt_tokens=100 + number,
            completion_tokens=11,
        )
        customer = CustomerName(f"c{number}")
        core.flow.records.statistics.record_outcome(
            customer, PriorityClass.CHAT, outcome, 5.0
        )
    core.flow.records.statistics.record_refusal(
        CustomerName("c0"), ErrorKind.OVERLOADED
    )
    return core


async def test_sends_by_udp_to_an_ip_number() -> None:
    with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as server:
        await server.bind(("127.0.0.1", 0))
        address = Address(f"127.0.0.1:{server.getsockname()[1]}")
        options = StatsdOptions(address, interval_ms=10)
        begin = f"toucanyard.{clean_name('n.1')}"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_metrics, options, build_core())
            lines: list[str] = []
            with trio.fail_after(10):
                while f"{begin}.refused.overloaded:1|c" not in lines:
                    lines += (await server.recv(2_000)).decode().splitlines()
            nursery.cancel_scope.cancel()
    assert f"{begin}.customers.c0.chat.first_token_ms.p95:25.0|g" in lines
    assert f"{begin}.customers.c0.chat.cached_tokens:64|c" in lines


async def test_a_total_is_sent_once() -> None:
    # If the full total were sent each time, it would be counted again every interval.
    class Pipeline:
        def __init__(self) -> None:
            self.added: list[int] = []

        def pipeline(self) -> Pipeline:
            return self

        def incr(self, _name: str, added: int) -> None:
            self.added.append(added)

        def send(self) -> None:
            pass

    pipeline = Pipeline()
    sender = MetricsSender(cast(statsd.StatsClient, pipeline))
    for total in (3, 3, 7):
        await sender.send([Counter("x", total)])
    assert pipeline.added == [3, 4]


async def test_names_are_bounded_by_the_busiest() -> None:
    few = await collect_metrics(build_core(MAX_GROUPS), 0.0)
    many = await collect_metrics(build_core(MAX_GROUPS + 20), 0.0)
    assert len(few) == len(many)
    names = {metric.name for metric in many}
    assert f"customers.c{MAX_GROUPS + 19}.chat.answers" in names
    assert "customers.c0.chat.answers" not in names


async def test_others_run_between_groups() -> None:
    # Computing quantiles of many customers takes long; without yielding in between, no
    # stream would receive an event meanwhile.
    task_switches = 0

    async def count_task_switches() -> None:
        nonlocal task_switches
        while True:
            task_switches += 1
            await trio.lowlevel.checkpoint()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(count_task_switches)
        await collect_metrics(build_core(MAX_GROUPS), 0.0)
        assert task_switches >= MAX_GROUPS - 1
        nursery.cancel_scope.cancel()


def test_names_keep_customers_apart() -> None:
    clean: Callable[[str], str] = clean_name
    names = ["a.b", "a:b", "a_b", "a|b", "x" * 128, "x" * 127]
    assert len({clean(name) for name in names}) == len(names)
    assert all(re.fullmatch(r"[\w-]{1,64}", clean(name)) for name in names)


async def test_the_page_lists_every_metric() -> None:
    page = PAGE.read_text()
    for metric in await collect_metrics(build_core(), 0.0):
        name = metric.name.replace("customers.c0.chat.", "customers.CUSTOMER.CLASS.")
        name = name.replace("refused.overloaded", "refused.CODE")
        name = re.sub(r"\.(p50|p95|p99|max)$", ".QUANTILE", name)
        assert f"`{name}`" in page, name
