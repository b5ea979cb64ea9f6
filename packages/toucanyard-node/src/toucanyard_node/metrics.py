"""Send counters and quantiles to a statsd server over UDP.

Reads the core's state between two events, as the operator server does. The number of
metric names is bounded: the busiest customers and classes, and the fixed error kinds.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterator
from typing import Final

import msgspec
import statsd
import structlog
import trio

from toucanyard.node_core import NodeCore
from toucanyard.options import StatsdOptions
from toucanyard.statistics import GroupStatistics, Quantiles
from toucanyard_node.http_client import split_address

MAX_GROUPS: Final = 32
"""Number of customer and class pairs sent: the busiest since the node started."""
_MAX_NAME_CHARACTERS: Final = 48
_HASH_CHARACTERS: Final = 6
_RESERVED: Final = re.compile(r"[^A-Za-z0-9_-]")
_MAX_DATAGRAM_BYTES: Final = 1_400
_LOG: Final = structlog.get_logger()


class Gauge(msgspec.Struct, frozen=True):
    """A current value."""

    name: str
    value: float


class Counter(msgspec.Struct, frozen=True):
    """A total since the node started; the increase since the last send is sent."""

    name: str
    total: int


Metric = Gauge | Counter


async def send_metrics(options: StatsdOptions, core: NodeCore) -> None:
    """Send all metrics every interval until cancelled."""
    host, port = split_address(options.address)
    client = statsd.StatsClient(
        host,
        port,
        prefix=f"{options.prefix}.{clean_name(core.identity.node)}",
        maxudpsize=_MAX_DATAGRAM_BYTES,
        ipv6=":" in host,
    )
    sender = MetricsSender(client)
    try:
        while True:
            await trio.sleep(options.interval_ms / 1000)
            metrics = await collect_metrics(core, trio.current_time() * 1000)
            await sender.send(metrics)
    finally:
        client.close()


class MetricsSender:
    """Convert totals into increments and send all metrics in few datagrams.

    Invariant: each increment is sent once.
    """

    __slots__ = ("_client", "_sent_totals")

    def __init__(self, client: statsd.StatsClient) -> None:
        self._client = client
        self._sent_totals: dict[str, int] = {}

    async def send(self, metrics: list[Metric]) -> None:
        """Send metrics; with UDP, an unreachable server is not detected."""
        pipeline = self._client.pipeline()
        for metric in metrics:
            match metric:
                case Gauge(name=name, value=value):
                    pipeline.gauge(name, round(value, 3))
                case Counter(name=name, total=total):
                    added = total - self._sent_totals.get(name, 0)
                    self._sent_totals[name] = total
                    if added:
                        pipeline.incr(name, added)
        # The library's socket blocks while the kernel's buffer is full, so it is used
        # in a separate thread.
        await trio.to_thread.run_sync(pipeline.send, abandon_on_cancel=True)


async def collect_metrics(core: NodeCore, now_ms: float) -> list[Metric]:
    """Return all metrics; yields to other tasks after each group."""
    metrics: list[Metric] = list(_collect_node(core, now_ms))
    metrics += _collect_refusals(core)
    for group in core.flow.records.statistics.iterate_busiest(MAX_GROUPS):
        metrics += _collect_group(group)
        await trio.lowlevel.checkpoint()
    return metrics


def clean_name(name: str) -> str:
    """Return a name as one component of a metric name.

    Separator characters are replaced. A hash is appended to changed names, so that
    different names stay distinct.
    """
    cleaned = _RESERVED.sub("_", name)
    if cleaned == name and len(name) <= _MAX_NAME_CHARACTERS:
        return name
    digest = hashlib.sha256(name.encode()).hexdigest()[:_HASH_CHARACTERS]
    return f"{cleaned[:_MAX_NAME_CHARACTERS]}_{digest}"


def _collect_node(core: NodeCore, now_ms: float) -> Iterator[Metric]:
    log = core.log
    yield Gauge("configuration.version", core.configuration.version)
    yield Gauge("configuration.is_current", int(log.is_current(now_ms)))
    age_ms = log.find_confirmed_age_ms(now_ms)
    if age_ms is not None:
        yield Gauge("configuration.confirmed_age_ms", age_ms)
    yield Gauge("log.offset", log.next_offset)
    yield Gauge("requests.pending", core.flow.count_pending())
    yield Gauge("requests.queued", core.admission.count_queued())
    yield Gauge("requests.running", core.admission.count_running())
    yield Gauge("keys.held", core.claims.count_keys())
    yield Gauge("keys.claims", core.claims.count_claims())
    yield Gauge("peers.links", len(core.find_linked()))
    yield Gauge("vms.listed", len(core.membership.vms))
    condemned = core.membership.find_condemned(now_ms)
    yield Gauge("endpoints.condemned", len(condemned))
    suspect = core.membership.is_self_suspect(now_ms)
    yield Gauge("membership.is_self_suspect", int(suspect))
    yield Gauge("duties.held", len(core.order_runner.leases.find_held(now_ms)))


def _collect_refusals(core: NodeCore) -> Iterator[Metric]:
    totals: dict[str, int] = {}
    for refusal in core.flow.records.statistics.list_refusals():
        totals[refusal.error] = totals.get(refusal.error, 0) + refusal.count
    for error, total in totals.items():
        yield Counter(f"refused.{error}", total)


def _collect_group(group: GroupStatistics) -> Iterator[Metric]:
    name_prefix = f"customers.{clean_name(group.customer)}.{group.priority}"
    yield Counter(f"{name_prefix}.prompt_tokens", group.prompt_tokens)
    yield Counter(f"{name_prefix}.cached_tokens", group.cached_tokens)
    yield Counter(f"{name_prefix}.answers", group.answers)
    yield Gauge(f"{name_prefix}.hit_percent", group.hit_rate * 100)
    yield from _collect_quantiles(f"{name_prefix}.first_token_ms", group.first_token_ms)
    yield from _collect_quantiles(f"{name_prefix}.token_gap_ms", group.token_gap_ms)
    yield from _collect_quantiles(f"{name_prefix}.recomputed", group.recomputed_tokens)


def _collect_quantiles(name_prefix: str, quantiles: Quantiles) -> Iterator[Metric]:
    if not quantiles.count:
        return
    yield Gauge(f"{name_prefix}.p50", quantiles.p50)
    yield Gauge(f"{name_prefix}.p95", quantiles.p95)
    yield Gauge(f"{name_prefix}.p99", quantiles.p99)
    yield Gauge(f"{name_prefix}.max", quantiles.max)
