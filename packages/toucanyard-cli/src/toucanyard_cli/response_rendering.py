"""Render responses of nodes as text for display."""

from __future__ import annotations

from toucanyard.explanations import (
    Claimed,
    DecisionRecord,
    Ended,
    Queued,
    Refused,
    Replayed,
    Sent,
    Step,
)
from toucanyard.names import CustomerName
from toucanyard.placement import Score
from toucanyard.statistics import OTHER_CUSTOMERS, Statistics
from toucanyard_cli.tables import Cell, render_cell, render_table
from toucanyard_node.locate_response import LocateResponse
from toucanyard_node.operator_messages import EndpointStatus, StatusReply


def render_decision(record: DecisionRecord) -> str:
    """Render the steps of a decision, with the time since the request arrived."""
    lines = [
        f"request {record.request_id} of {record.customer},"
        f" configuration {record.configuration_version}"
    ]
    for step in record.steps:
        after_ms = step.at_ms - record.arrived_ms
        lines.append(f"{after_ms:9.1f} ms  {_render_step(step)}")
        if isinstance(step, Sent) and step.scores:
            lines += [f"{'':14}{line}" for line in _render_scores(step.scores)]
    return "\n".join(lines)


def _render_scores(scores: tuple[Score, ...]) -> list[str]:
    fields = scores[0].__struct_fields__
    rows = [[getattr(score, field) for field in fields] for score in scores]
    head = [field.replace("_", " ") for field in fields]
    return render_table(head, rows).splitlines()


def _render_step(step: Step) -> str:
    match step:
        case Claimed():
            return "claimed: only this node may send it"
        case Queued():
            return "queued for a place"
        case Sent(endpoint=endpoint, attempt=attempt, shared_blocks=blocks):
            return f"sent to {endpoint}, attempt {attempt}, {blocks} shared blocks"
        case Ended():
            first = render_cell(step.first_token_ms)
            return (
                f"ended at {step.endpoint}: {step.ending}, first token after {first}"
                f" ms, {step.cached_tokens} of {step.prompt_tokens} tokens cached"
            )
        case Refused():
            return f"refused: {step.error}, {step.ending}: {step.text}"
        case Replayed():
            return "answered with an earlier try's answer"


def render_status(reply: StatusReply) -> str:
    """Render the state of a node and its view of VMs and endpoints."""
    facts: tuple[tuple[str, Cell], ...] = (
        ("node", f"{reply.node} {reply.incarnation} in {reply.domain}"),
        ("version", reply.version),
        ("is current", reply.is_current),
        ("confirmed ms ago", reply.confirmed_age_ms),
        ("log offset", reply.log_offset),
        ("unknown record kinds", reply.unknown_record_kinds),
        ("peers with another value", ", ".join(reply.divergent_peers) or "none"),
        ("draining", reply.is_draining),
        ("suspects itself", reply.is_self_suspect),
        ("requests", f"{reply.pending_requests}, {reply.queued_requests} queued"),
        ("keys", f"{reply.keys}, {reply.claims} claims"),
        ("duties", ", ".join(map(str, reply.duties))),
        ("peers", ", ".join(peer.node for peer in reply.peers)),
    )
    width = max(len(name) for name, _ in facts)
    lines = [f"{name.ljust(width)}  {render_cell(value)}" for name, value in facts]
    vms = render_table(
        ("vm", "domain", "state", "runs"),
        [(vm.name, vm.domain, vm.state, vm.runs) for vm in reply.vms],
    )
    endpoints = render_table(
        ("endpoint", "of", "address", "domain", "state", "incarnation", "weights"),
        [
            (
                each.name,
                each.owner,
                each.address,
                each.domain,
                _describe_endpoint(each),
                each.incarnation,
                each.weights_version,
            )
            for each in reply.endpoints
        ],
    )
    return "\n\n".join(("\n".join(lines), vms, endpoints))


def _describe_endpoint(endpoint: EndpointStatus) -> str:
    if endpoint.is_leaving:
        return "leaving"
    if endpoint.is_condemned:
        return "condemned"
    return "usable" if endpoint.is_usable else "not usable"


def render_statistics(reply: Statistics) -> str:
    """Render quantiles per customer and priority class, and refusal counts."""
    groups = render_table(
        ("customer", "class", "n", "first token p50", "p95", "p99", "gap p50", "p95")
        + ("recomputed p95", "hit rate %"),
        [
            (
                _name_customer(each.customer),
                each.priority,
                each.answers,
                each.first_token_ms.p50,
                each.first_token_ms.p95,
                each.first_token_ms.p99,
                each.token_gap_ms.p50,
                each.token_gap_ms.p95,
                each.recomputed_tokens.p95,
                each.hit_rate * 100,
            )
            for each in reply.groups
        ],
    )
    refusals = render_table(
        ("customer", "refusal", "count"),
        [
            (_name_customer(each.customer), each.error, each.count)
            for each in reply.refusals
        ],
    )
    return f"{groups}\n\n{refusals}"


def _name_customer(customer: CustomerName) -> str:
    return "(all others)" if customer == OTHER_CUSTOMERS else customer


def render_location(reply: LocateResponse) -> str:
    """Render the node to use and the list of all nodes."""
    nodes = render_table(
        ("node", "address", "domain"),
        [(each.node, each.address, each.domain) for each in reply.addresses],
    )
    valid_s = reply.keep_ms / 1000
    return f"use {reply.node} at {reply.address} for {valid_s:g} s\n\n{nodes}"
