"""Compare placement and admission with baselines in virtual time.

Runs the decisions of several nodes against fake engines, for each deployment,
condition, policy and seed. The results are deterministic.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from pathlib import Path

import click

from toucanyard_standins.policy_conditions import Condition, Policy, Result
from toucanyard_standins.policy_report import (
    Results,
    RunKey,
    compute_aims,
    draw_plots,
    format_aims,
    format_table,
    write_csv,
)
from toucanyard_standins.policy_run import Run
from toucanyard_standins.policy_workload import HANGANG, VALDIVIA

DEPLOYMENTS = {each.name: each for each in (VALDIVIA, HANGANG)}


def execute(key: RunKey) -> Result:
    """Execute one run."""
    deployment = DEPLOYMENTS[key.deployment]
    return Run(deployment, key.condition, key.policy, key.seed).execute()


def execute_all(keys: list[RunKey], jobs: int) -> Results:
    """Execute runs in this process or in a process pool."""
    if jobs == 1:
        return {key: execute(key) for key in keys}
    with ProcessPoolExecutor(jobs) as executor:
        return dict(zip(keys, executor.map(execute, keys, chunksize=4), strict=True))


@click.command()
@click.option("--seeds", default=10, show_default=True, type=click.IntRange(1, 100))
@click.option("--jobs", default=2, show_default=True, type=click.IntRange(1, 2))
@click.option(
    "--deployment",
    "deployments",
    multiple=True,
    type=click.Choice(list(DEPLOYMENTS)),
    default=list(DEPLOYMENTS),
)
@click.option(
    "--condition",
    "conditions",
    multiple=True,
    type=click.Choice([each.value for each in Condition]),
    default=[each.value for each in Condition],
)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice([each.value for each in Policy]),
    default=[each.value for each in Policy],
)
@click.option("--output", default="bench-results", type=click.Path(path_type=Path))
def run(
    seeds: int,
    jobs: int,
    deployments: tuple[str, ...],
    conditions: tuple[str, ...],
    policies: tuple[str, ...],
    output: Path,
) -> None:
    """Compare placement and admission with baselines."""
    keys = [
        RunKey(deployment, Condition(condition), Policy(policy), seed)
        for deployment, condition, policy, seed in product(
            deployments, conditions, policies, range(seeds)
        )
    ]
    results = execute_all(keys, jobs)
    click.echo(f"{seeds} seeds; median and spread over seeds")
    click.echo(format_table(results))
    click.echo(format_aims(compute_aims(results)))
    output.mkdir(parents=True, exist_ok=True)
    write_csv(results, output / "policy.csv")
    draw_plots(results, output)


def main(arguments: list[str]) -> int:
    """Run the bench with command line arguments; return an exit status."""
    try:
        run.main(arguments, "bench policy", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
