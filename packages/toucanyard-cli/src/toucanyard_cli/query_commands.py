"""Commands that query a node's decisions, state and statistics, or drain it."""

from __future__ import annotations

from pathlib import Path
from urllib.parse import quote

import click

from toucanyard.explanations import DecisionRecord
from toucanyard.statistics import Statistics
from toucanyard_cli.access import (
    NoResponseError,
    access_options,
    check_response,
    load_access,
    query,
    send_request,
)
from toucanyard_cli.exit_codes import ExitCode
from toucanyard_cli.failures import CommandError
from toucanyard_cli.response_rendering import (
    render_decision,
    render_location,
    render_statistics,
    render_status,
)
from toucanyard_node.locate_response import LocateResponse
from toucanyard_node.operator_messages import StatusReply


@click.command()
@click.argument("request_id", metavar="ID")
@access_options
def explain(
    request_id: str, nodes: tuple[str, ...], key_file: Path | None, is_json: bool
) -> None:
    """Explain the decisions on request ID; any node can answer."""
    access = load_access(nodes, key_file)
    body, reply = query(access, f"/explain/{quote(request_id)}", DecisionRecord)
    click.echo(body if is_json else render_decision(reply))


@click.command()
@access_options
def status(nodes: tuple[str, ...], key_file: Path | None, is_json: bool) -> None:
    """Show the status of one node and its view of nodes and endpoints."""
    access = load_access(nodes, key_file)
    body, reply = query(access, "/status", StatusReply)
    click.echo(body if is_json else render_status(reply))


@click.command()
@access_options
def stats(nodes: tuple[str, ...], key_file: Path | None, is_json: bool) -> None:
    """Show what one node measured for each customer and class since it started."""
    access = load_access(nodes, key_file)
    body, reply = query(access, "/stats", Statistics)
    click.echo(body if is_json else render_statistics(reply))


@click.command()
@access_options
def locate(nodes: tuple[str, ...], key_file: Path | None, is_json: bool) -> None:
    """Tell which node a caller should use.

    Asks on the address for callers, not on the one for operators.
    """
    access = load_access(nodes, key_file)
    try:
        body, reply = query(access, "/v1/locate", LocateResponse)
    except CommandError as error:
        if error.failure.exit_code is not ExitCode.NOT_FOUND:
            raise
        text = "not an address for callers: give theirs with --node"
        raise CommandError(ExitCode.NOT_FOUND, text) from error
    click.echo(body if is_json else render_location(reply))


@click.command()
@access_options
def drain(nodes: tuple[str, ...], key_file: Path | None, is_json: bool) -> None:
    """Begin the planned stop of one node; no request is cut."""
    access = load_access(nodes, key_file)
    # Other commands fall back to the next node if one does not respond. Here, that
    # would drain a node that the operator did not mean to drain.
    if len(access.nodes) != 1:
        raise CommandError(ExitCode.USAGE, "drain takes exactly one --node")
    try:
        response = send_request(access, "POST", "/drain")
    except NoResponseError as error:
        code = ExitCode.OUTCOME_UNKNOWN if error.is_sent else ExitCode.NOT_REACHABLE
        raise CommandError(code, str(error)) from error
    check_response(response)
    click.echo(response.body if is_json else f"{access.nodes[0]} has begun to drain")
