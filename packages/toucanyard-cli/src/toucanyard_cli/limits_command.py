"""Show the limits of customers, their usage and denials, from nodes' metrics."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from typing import Final

import click
import msgspec
import trio

from toucanyard.names import Address
from toucanyard_cli.access import json_option
from toucanyard_cli.exit_codes import ExitCode
from toucanyard_cli.failures import CommandError
from toucanyard_cli.tables import Cell, render_table
from toucanyard_node.http_client import ConnectionFailedError, fetch

METRICS_PATH: Final = "/metrics"
TIMEOUT_MS: Final = 3_000
MAX_METRICS_BYTES: Final = 4_000_000
_OK: Final = 200
_METRIC_LINE: Final = re.compile(
    r'toucanyard_limit_(\w+)\{customer="((?:[^"\\]|\\.)*)"\} (-?[0-9.e+]+)'
)
_ESCAPE_SEQUENCE: Final = re.compile(r"\\(.)")


class LimitUsage(msgspec.Struct):
    """The usage of one customer at one coordinator, in the unit of its limit."""

    customer: str
    home: Address
    rate_per_s: float = 0.0
    share: float = 0.0
    """Share of the limit that is delegated to this coordinator."""
    level: float = 0.0
    """Credit that is available now; negative while in debt."""
    granted_total: float = 0.0
    denied_total: float = 0.0


@click.command()
@click.argument("nodes", nargs=-1, required=True)
@json_option
def limits(nodes: tuple[str, ...], is_json: bool) -> None:
    """List customers' limits and their usage, as the given nodes report it.

    NODES are addresses of metrics, IP:PORT. Only the coordinator of a customer's limit,
    shown as its home, knows the usage; give the addresses of all nodes.
    """
    usages: list[LimitUsage] = []
    unreachable: list[str] = []
    for node in nodes:
        text = trio.run(_fetch_metrics, Address(node))
        if text is None:
            unreachable.append(node)
        else:
            usages += parse_limit_usage(text, Address(node))
    if len(unreachable) == len(nodes):
        raise CommandError(ExitCode.NOT_REACHABLE, "no node answered")
    usages.sort(key=lambda usage: (-usage.denied_total, usage.customer, usage.home))
    if is_json:
        click.echo(msgspec.json.encode(usages))
        return
    click.echo(render_limit_usage(usages))
    for node in unreachable:
        click.echo(f"no answer from {node}", err=True)


def parse_limit_usage(text: str, home: Address) -> list[LimitUsage]:
    """Return the usage of each customer from the metrics of one node."""
    found: dict[str, LimitUsage] = {}
    for name, escaped, value in _parse_metric_lines(text.splitlines()):
        customer = _ESCAPE_SEQUENCE.sub(_unescape, escaped)
        usage = found.setdefault(customer, LimitUsage(customer, home))
        if name in LimitUsage.__struct_fields__:
            setattr(usage, name, float(value))
    return list(found.values())


def render_limit_usage(usages: Iterable[LimitUsage]) -> str:
    """Render a table of limits and their usage."""
    rows: list[tuple[Cell, ...]] = [
        (
            usage.customer,
            usage.home,
            usage.rate_per_s,
            usage.share,
            usage.level,
            usage.granted_total,
            usage.denied_total,
        )
        for usage in usages
    ]
    head = ("customer", "home", "rate/s", "share", "level", "granted", "denied")
    return render_table(head, rows)


def _parse_metric_lines(lines: Iterable[str]) -> Iterator[tuple[str, str, str]]:
    for line in lines:
        match = _METRIC_LINE.fullmatch(line)
        if match is not None:
            yield match[1], match[2], match[3]


def _unescape(match: re.Match[str]) -> str:
    return "\n" if match[1] == "n" else match[1]


async def _fetch_metrics(node: Address) -> str | None:
    try:
        response = await fetch(
            node,
            "GET",
            METRICS_PATH,
            timeout_ms=TIMEOUT_MS,
            max_bytes=MAX_METRICS_BYTES,
        )
    except ConnectionFailedError:
        return None
    if response.status != _OK:
        return None
    return response.body.decode("utf-8", "replace")
