"""Compare failure detectors on the same traces, and measure bytes of digests."""

from __future__ import annotations

import argparse
import statistics
import sys
from typing import Final

from toucanyard_standins.detector_traces import (
    ENDPOINTS,
    POLL_MS,
    SCENARIOS,
    TIMEOUT_MS,
    WATCHERS,
    Result,
    Rule,
    Scenario,
    build_rules,
    build_trace,
    evaluate_rule,
)
from toucanyard_standins.membership_costs import measure_bytes, measure_costs

_SIZES: Final = ((9, 14), (40, 550), (160, 2_200), (320, 4_400))


def run_traces(seeds: int, named: str) -> None:
    """Print a row for each scenario and rule."""
    print(
        f"{WATCHERS} watchers, {ENDPOINTS} endpoints, a poll every {POLL_MS:.0f} ms"
        f" with {TIMEOUT_MS:.0f} ms timeout, {seeds} traces each"
    )
    print(
        f"{'scenario':18} {'rule':20} {'notice p50':>10} {'max ms':>8} {'missed':>6}"
        f" {'wrong/endpoint-hour':>20} {'wrong time %':>12}"
    )
    for scenario in SCENARIOS:
        traces = [build_trace(scenario, seed) for seed in range(seeds)]
        for rule in build_rules():
            if named not in rule.name:
                continue
            result = Result()
            for polls in traces:
                evaluate_rule(rule, scenario, polls, result)
            _print_row(scenario, rule, result)


def _print_row(scenario: Scenario, rule: Rule, result: Result) -> None:
    detected_ms = result.detection_ms
    middle = f"{statistics.median(detected_ms):.0f}" if detected_ms else "-"
    longest = f"{max(detected_ms):.0f}" if detected_ms else "-"
    share = result.wrong_ms / (result.hours * 3_600_000) * 100
    print(
        f"{scenario.name:18} {rule.name:20} {middle:>10} {longest:>8}"
        f" {result.missed:>6} {result.wrong / result.hours:>20.1f} {share:>12.2f}"
    )


def run_bytes(nodes: int, dead: int, duration_s: int) -> None:
    """Print the bytes that the memberships of many nodes send."""
    sent = measure_bytes(nodes, dead, duration_s)
    print(
        f"{nodes} nodes, {sent.links:.1f} links each: quiet"
        f" {sent.quiet_bytes_per_s:.0f} B/s"
        f" sent per node (worst second {sent.quiet_worst_bytes}); {dead} endpoints"
        f" die at once:"
        f" {sent.after_bytes_per_s:.0f} B/s (worst second {sent.worst_bytes}),"
        f" all known to 90% of nodes after {sent.most_ms} ms, to every node after"
        f" {sent.all_ms} ms"
    )


def run_costs(nodes: int, endpoint_count: int) -> None:
    """Print the time and memory of one membership at a size."""
    costs = measure_costs(nodes, endpoint_count)
    print(
        f"{nodes} nodes, {endpoint_count} endpoints: tick {costs.tick_ms:.3f} ms,"
        f" VM list {costs.vm_list_ms:.2f} ms, watched {costs.watched_ms:.2f} ms"
        f" ({costs.watched} endpoints), usable of all"
        f" {costs.usable_ms:.2f} ms, {costs.held_bytes / 1000:.0f} KB held"
    )


def main(arguments: list[str]) -> int:
    """Run the comparison, the measurement of bytes and that of costs."""
    parser = argparse.ArgumentParser(prog="bench detectors")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--rule", default="", help="only rules with this in the name")
    parser.add_argument("--nodes", type=int, nargs="*", default=[9, 80, 320])
    parser.add_argument("--dead", type=int, default=14)
    parser.add_argument("--seconds", type=int, default=30)
    options = parser.parse_args(arguments)
    run_traces(options.seeds, options.rule)
    for nodes in options.nodes:
        run_bytes(nodes, options.dead, options.seconds)
    for nodes, endpoints in _SIZES:
        run_costs(nodes, endpoints)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
