"""Run policy variants on the same scenarios and seeds and compare them pairwise."""

from __future__ import annotations

import math
import os
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Final

import msgspec

from toucanyard_emulator.accounting import Result
from toucanyard_emulator.runner import run_scenario
from toucanyard_emulator.scenario import load_scenario
from toucanyard_emulator.variants import DEFAULT_VARIANT, Variant

# Two-sided 95% critical values of Student's t for 1 to 30 degrees of freedom.
T_95: Final = (
    12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14,
    2.13, 2.12, 2.11, 2.10, 2.09, 2.09, 2.08, 2.07, 2.07, 2.06, 2.06, 2.06, 2.05, 2.05,
    2.05, 2.04,
)  # fmt: skip


class Task(msgspec.Struct, frozen=True):
    """The parameters of one run."""

    file: Path
    variant: Variant
    seed: int


class RunResult(msgspec.Struct, frozen=True):
    """The result of one run."""

    scenario: str
    variant: str
    seed: int
    result: Result


class Difference(msgspec.Struct, frozen=True):
    """The difference between a variant and the default policy on one scenario."""

    scenario: str
    variant: str
    seeds: int
    usual: float
    worth: float
    mean: float
    """Mean of the differences of worth, paired by seed."""
    half_width: float
    """Half width of the 95% confidence interval of the mean."""

    def is_significant(self) -> bool:
        """Return whether the confidence interval excludes zero."""
        return abs(self.mean) > self.half_width


def count_workers() -> int:
    """Return the number of parallel runs: one per processor that is not busy."""
    cores = os.cpu_count() or 1
    return max(cores - 1 - count_runnable_tasks(), 2)


def count_runnable_tasks() -> int:
    """Return the number of runnable tasks on this machine, without this process."""
    try:
        running = Path("/proc/loadavg").read_text().split()[3].partition("/")[0]
    except (OSError, IndexError):
        return 0
    return max(int(running) - 1, 0)


def run_task(task: Task) -> RunResult:
    """Execute one run; called in a worker process."""
    scenario = load_scenario(task.file)
    result = run_scenario(scenario, task.variant.policy, task.seed)
    return RunResult(scenario.name, task.variant.name, task.seed, result)


def run_all(
    files: Sequence[Path],
    variants: Sequence[Variant],
    seeds: Sequence[int],
    on_done: Callable[[], None],
    workers: int | None = None,
) -> list[RunResult]:
    """Run all variants, the default policy first, on all scenarios and seeds."""
    tasks = [
        Task(file, variant, seed)
        for file in files
        for variant in (DEFAULT_VARIANT, *variants)
        for seed in seeds
    ]
    run_results: list[RunResult] = []
    with ProcessPoolExecutor(workers or count_workers()) as pool:
        for each in pool.map(run_task, tasks):
            run_results.append(each)
            on_done()
    return run_results


def compare(run_results: Sequence[RunResult]) -> list[Difference]:
    """Return the difference of each variant from the default, per scenario."""
    found: dict[tuple[str, str], dict[int, Result]] = {}
    for each in run_results:
        found.setdefault((each.scenario, each.variant), {})[each.seed] = each.result
    return [
        _compare_one(
            scenario, variant, found[(scenario, DEFAULT_VARIANT.name)], results
        )
        for (scenario, variant), results in found.items()
        if variant != DEFAULT_VARIANT.name
    ]


def _compare_one(
    scenario: str, variant: str, usual: dict[int, Result], other: dict[int, Result]
) -> Difference:
    seeds = sorted(set(usual) & set(other))
    differences = [other[seed].worth - usual[seed].worth for seed in seeds]
    mean = sum(differences) / len(seeds)
    return Difference(
        scenario,
        variant,
        len(seeds),
        sum(usual[seed].worth for seed in seeds) / len(seeds),
        sum(other[seed].worth for seed in seeds) / len(seeds),
        mean,
        compute_half_width(differences),
    )


def compute_half_width(values: Sequence[float]) -> float:
    """Return half the 95% confidence interval of a mean; infinite for one value."""
    count = len(values)
    if count < 2:
        return math.inf
    mean = sum(values) / count
    variance = sum((value - mean) ** 2 for value in values) / (count - 1)
    return T_95[min(count - 2, len(T_95) - 1)] * math.sqrt(variance / count)
