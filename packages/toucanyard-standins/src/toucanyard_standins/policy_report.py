"""Report the results of runs as a table, met and missed aims, CSV and plots."""

from __future__ import annotations

import csv
import statistics
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Final

import matplotlib
import msgspec

from toucanyard_standins.policy_conditions import Condition, Policy, Result

matplotlib.use("Agg")
from matplotlib import axes, pyplot

BASELINES: Final = (Policy.RANDOM, Policy.LEAST_LOADED, Policy.AFFINITY)
OVERLOADS: Final = (Condition.OVERLOAD_1_5, Condition.OVERLOAD_3)
TOKENS_PER_BLOCK: Final = 64
"""Tokens of one block of 256 bytes, at four bytes a token."""
MAX_RATIO: Final = 0.6
MAX_LOSS: Final = 1.05
MAX_HIT_GAP: Final = 0.03
MAX_FLOOD_RATIO: Final = 1.3
MAX_RECOVERY_S: Final = 5.0


class RunKey(msgspec.Struct, frozen=True, order=True):
    """The parameters of one run."""

    deployment: str
    condition: Condition
    policy: Policy
    seed: int


Results = dict[RunKey, Result]
Measure = Callable[[Result], float]


class Aim(msgspec.Struct, frozen=True):
    """One aim with the measured value and its bound."""

    deployment: str
    condition: str
    text: str
    measured: float
    bound: float

    @property
    def is_met(self) -> bool:
        """Return whether the measured value is within the bound."""
        return self.measured <= self.bound


def find_values(
    results: Results,
    deployment: str,
    condition: Condition,
    policy: Policy,
    measure: Measure,
) -> list[float]:
    """Return one measure over the seeds."""
    wanted = (deployment, condition, policy)
    return [
        measure(result)
        for key, result in sorted(results.items())
        if (key.deployment, key.condition, key.policy) == wanted
    ]


def measure_p99(result: Result) -> float:
    """Return the p99 of the time to first token in ms."""
    return result.p99_ms


def measure_recomputed(result: Result) -> float:
    """Return recomputed tokens per served answer."""
    return result.recomputed_blocks * TOKENS_PER_BLOCK / max(result.served, 1)


def measure_hits(result: Result) -> float:
    """Return the share of prompt blocks that were warm."""
    return result.hit_rate


def measure_served(result: Result) -> float:
    """Return the share of requests with a complete answer."""
    return result.served / max(result.offered, 1)


def measure_recovery(result: Result) -> float:
    """Return the recovery time in seconds; infinite for a run that never recovered."""
    return result.recovery_s if result.recovery_s >= 0 else float("inf")


MEASURES: Final[tuple[tuple[str, Measure, str], ...]] = (
    ("p99 ms", measure_p99, ".0f"),
    ("recomputed/answer", measure_recomputed, ".0f"),
    ("hit rate", measure_hits, ".3f"),
    ("served", measure_served, ".3f"),
)


def format_table(results: Results) -> str:
    """Return the median of each measure over the seeds, with minimum and maximum."""
    lines: list[str] = []
    header = f"{'deployment':11}{'condition':14}{'policy':14}"
    header += "".join(f"{name + ' [least..most]':>30}" for name, _, _ in MEASURES)
    lines.append(header)
    for deployment, condition, policy in find_groups(results):
        line = f"{deployment:11}{condition:14}{policy:14}"
        for _, measure, format_spec in MEASURES:
            values = find_values(results, deployment, condition, policy, measure)
            median_value = statistics.median(values)
            spread = f"[{min(values):{format_spec}}..{max(values):{format_spec}}]"
            line += f"{f'{median_value:{format_spec}} {spread}':>30}"
        lines.append(line)
    return "\n".join(lines)


def find_groups(results: Iterable[RunKey]) -> list[tuple[str, Condition, Policy]]:
    """Return each deployment, condition and policy once, in the order of running."""
    found = {(key.deployment, key.condition, key.policy): None for key in results}
    return list(found)


def compute_aims(results: Results) -> list[Aim]:
    """Return all aims that can be computed from these results."""
    aims: list[Aim] = []
    pairs = dict.fromkeys((key.deployment, key.condition) for key in results)
    for deployment, condition in pairs:
        aims += _compute_condition(results, deployment, condition)
    for deployment in dict.fromkeys(key.deployment for key in results):
        aims += _compute_flood(results, deployment)
    return aims


def _compute_condition(
    results: Results, deployment: str, condition: Condition
) -> list[Aim]:
    def find_median(policy: Policy, measure: Measure) -> float:
        values = find_values(results, deployment, condition, policy, measure)
        return statistics.median(values) if values else float("inf")

    def find_best(measure: Measure) -> float:
        return max(min(find_median(each, measure) for each in BASELINES), 1e-9)

    aims: list[Aim] = []
    measure = measure_p99 if deployment == "valdivia" else measure_recomputed
    name = "p99" if deployment == "valdivia" else "recomputed"
    ratio = find_median(Policy.TOUCANYARD, measure) / find_best(measure)
    text = f"{name} beside the best baseline"
    aims.append(Aim(deployment, condition, text, ratio, MAX_RATIO))
    if deployment == "hangang":
        bound = find_median(Policy.ORACLE, measure_hits)
        gap = bound - find_median(Policy.TOUCANYARD, measure_hits)
        text = "hit rate behind the one that knows all"
        aims.append(Aim(deployment, condition, text, gap, MAX_HIT_GAP))
    for name, each in (("p99", measure_p99), ("recomputed", measure_recomputed)):
        loss = find_median(Policy.TOUCANYARD, each) / find_best(each)
        text = f"{name} no worse than any baseline"
        aims.append(Aim(deployment, condition, text, loss, MAX_LOSS))
    served = [find_median(each, measure_served) for each in BASELINES]
    loss = max(served) / max(find_median(Policy.TOUCANYARD, measure_served), 1e-9)
    aims.append(Aim(deployment, condition, "served no fewer", loss, MAX_LOSS))
    if condition in OVERLOADS:
        seconds = find_median(Policy.TOUCANYARD, measure_recovery)
        text = "seconds until 95% of the goodput before"
        aims.append(Aim(deployment, condition, text, seconds, MAX_RECOVERY_S))
    return aims


def _compute_flood(results: Results, deployment: str) -> list[Aim]:
    def find_median(condition: Condition) -> float | None:
        values = find_values(
            results,
            deployment,
            condition,
            Policy.TOUCANYARD,
            lambda result: result.smallest_p99_ms,
        )
        return statistics.median(values) if values else None

    calm, flood = find_median(Condition.CALM), find_median(Condition.FLOOD)
    if calm is None or flood is None:
        return []
    text = "smallest customer's p99 beside calm"
    return [Aim(deployment, "flood", text, flood / calm, MAX_FLOOD_RATIO)]


def format_aims(aims: Sequence[Aim]) -> str:
    """Return one line for each aim, met or missed."""
    lines = [
        f"{'met' if aim.is_met else 'MISSED':7}{aim.deployment:10}{aim.condition:14}"
        f"{aim.text:42}{aim.measured:8.3f} (bound {aim.bound})"
        for aim in aims
    ]
    met = sum(aim.is_met for aim in aims)
    return "\n".join([*lines, f"{met} of {len(aims)} aims met"])


def write_csv(results: Results, file: Path) -> None:
    """Write one row for each run."""
    with file.open("w", newline="") as stream:
        writer = csv.writer(stream)
        fields = [
            name for name in Result.__struct_fields__ if not name.endswith("at_s")
        ]
        writer.writerow([*RunKey.__struct_fields__, *fields, "hit_rate"])
        for key, result in results.items():
            values = [getattr(result, name) for name in fields]
            row = [*msgspec.structs.astuple(key), *values, round(result.hit_rate, 6)]
            writer.writerow(row)


def draw_plots(results: Results, folder: Path) -> None:
    """Draw each measure as bars by condition and policy, with the range over seeds."""
    for deployment in dict.fromkeys(key.deployment for key in results):
        figure, rows = pyplot.subplots(len(MEASURES), 1, figsize=(11, 13))
        for axis, (name, measure, _) in zip(rows, MEASURES, strict=True):
            _draw_measure(axis, results, deployment, measure)
            axis.set_ylabel(name)
        rows[0].legend(ncols=5, fontsize=8)
        figure.suptitle(deployment)
        figure.tight_layout()
        figure.savefig(folder / f"policy-{deployment}.png", dpi=80)
        pyplot.close(figure)


def _draw_measure(
    axis: axes.Axes, results: Results, deployment: str, measure: Measure
) -> None:
    conditions = list(
        dict.fromkeys(key.condition for key in results if key.deployment == deployment)
    )
    policies = list(dict.fromkeys(key.policy for key in results))
    width = 0.8 / len(policies)
    for index, policy in enumerate(policies):
        groups = [
            find_values(results, deployment, condition, policy, measure)
            for condition in conditions
        ]
        medians = [statistics.median(values) for values in groups]
        below = [m - min(values) for m, values in zip(medians, groups, strict=True)]
        above = [max(values) - m for m, values in zip(medians, groups, strict=True)]
        positions = [number + index * width for number in range(len(conditions))]
        axis.bar(positions, medians, width, yerr=[below, above], label=policy)
    axis.set_xticks([number + 0.4 for number in range(len(conditions))], conditions)
    axis.tick_params(axis="x", labelsize=7)
