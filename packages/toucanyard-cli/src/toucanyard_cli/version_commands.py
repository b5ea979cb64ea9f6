"""Commands that show configuration versions and their differences."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path

import click
import msgspec

from toucanyard.configuration import Configuration, Pool
from toucanyard.patches import Put, Remove, find_owners
from toucanyard_cli.access import access_options, load_access, query
from toucanyard_cli.tables import render_table
from toucanyard_node.operator_messages import DiffReply, HistoryReply, VersionReply


@click.command()
@click.option("--version", "number", type=click.IntRange(min=0), help="Version N.")
@access_options
def show(
    number: int | None, nodes: tuple[str, ...], key_file: Path | None, is_json: bool
) -> None:
    """Show the version in force, or version N."""
    suffix = "" if number is None else f"?version={number}"
    access = load_access(nodes, key_file)
    body, reply = query(access, f"/configuration{suffix}", VersionReply)
    click.echo(body if is_json else render_configuration(reply.configuration))


@click.command()
@access_options
def history(nodes: tuple[str, ...], key_file: Path | None, is_json: bool) -> None:
    """List the latest versions: which patch made them, whose and when."""
    access = load_access(nodes, key_file)
    body, reply = query(access, "/history", HistoryReply)
    if is_json:
        click.echo(body)
        return
    rows = [
        (each.version, _render_time(each.at_ms), each.author, each.patch_id)
        for each in reply.entries
    ]
    click.echo(render_table(("version", "at", "author", "patch id"), rows))


@click.command()
@click.argument("old", type=click.IntRange(min=0), metavar="A")
@click.argument("new", type=click.IntRange(min=0), metavar="B")
@access_options
def diff(
    old: int, new: int, nodes: tuple[str, ...], key_file: Path | None, is_json: bool
) -> None:
    """Show the patch that leads from version A to version B."""
    access = load_access(nodes, key_file)
    body, reply = query(access, f"/diff?from={old}&to={new}", DiffReply)
    if is_json:
        click.echo(body)
        return
    lines = [f"version {reply.base} to {reply.version}", *_render_changes(reply)]
    click.echo("\n".join(lines))


def render_configuration(configuration: Configuration) -> str:
    """Render a configuration version as tables."""
    sections = [f"version {configuration.version}"]
    sections.append(
        render_table(
            ("customer", "weight", "max running", "keys"),
            [
                (each.name, each.weight, each.max_running, len(each.key_hashes))
                for each in configuration.customers
            ],
        )
    )
    sections.append(
        render_table(
            ("operator", "keys"),
            [(each.name, len(each.key_hashes)) for each in configuration.operators],
        )
    )
    owners = find_owners(configuration)
    sections.append(
        render_table(
            ("pool or service", "model", "weights", "replicas", "max running"),
            [
                (
                    each.name,
                    each.model if isinstance(each, Pool) else None,
                    each.weights_version if isinstance(each, Pool) else None,
                    len(each.endpoints),
                    each.placement.max_running
                    if isinstance(each, Pool)
                    else each.max_running,
                )
                for each in owners
            ],
        )
    )
    sections.append(
        render_table(
            ("endpoint", "of", "address", "domain", "checks fence"),
            [
                (each.name, owner.name, each.address, each.domain, each.checks_fence)
                for owner in owners
                for each in owner.endpoints
            ],
        )
    )
    sections.append(
        render_table(
            ("rule for model", "pool", "priority", "customers"),
            [
                (
                    each.model,
                    each.pool,
                    each.priority,
                    ", ".join(each.customers) or "all",
                )
                for each in configuration.rules
            ],
        )
    )
    return "\n\n".join(sections)


def _render_changes(reply: DiffReply) -> Iterator[str]:
    changes: tuple[tuple[str, Put | Remove], ...] = (
        ("put", reply.put),
        ("remove", reply.remove),
    )
    for verb, change in changes:
        for field in change.__struct_fields__:
            for each in getattr(change, field):
                yield f"{verb} {field}: {msgspec.json.encode(each).decode()}"


def _render_time(at_ms: float) -> str:
    return datetime.fromtimestamp(at_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")
