"""Run the emulator from the command line."""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Final, NoReturn

import click
import msgspec

from toucanyard_emulator.experiment import RunResult, compare, run_all
from toucanyard_emulator.reports import plot_windows, render_differences, render_result
from toucanyard_emulator.runner import run_scenario
from toucanyard_emulator.scenario import (
    InvalidScenarioError,
    find_scenario,
    list_scenarios,
    load_scenario,
)
from toucanyard_emulator.variants import (
    ABLATIONS,
    DEFAULT_VARIANT,
    InvalidVariantError,
    Variant,
    parse_variant,
)

EXIT_USAGE: Final = 2


def _fail(error: Exception) -> NoReturn:
    click.echo(f"error: {error}", err=True)
    sys.exit(EXIT_USAGE)


@click.group()
def main() -> None:
    """Play many nodes with engines, callers and faults in virtual time."""


@main.command()
@click.argument("scenario")
@click.option("--seed", default=1, show_default=True)
@click.option("--variant", help="NAME=GROUP.FIGURE:VALUE[,...]")
@click.option("--json", "is_json", is_flag=True, help="print the result as JSON")
@click.option("--plot", type=click.Path(path_type=Path), help="an SVG file to write")
def emulate(
    scenario: str, seed: int, variant: str | None, is_json: bool, plot: Path | None
) -> None:
    """Play one scenario, by its name or its file."""
    try:
        loaded = load_scenario(find_scenario(scenario))
        chosen = DEFAULT_VARIANT if variant is None else parse_variant(variant)
    except (InvalidScenarioError, InvalidVariantError) as error:
        _fail(error)
    started_s = time.monotonic()
    result = run_scenario(loaded, chosen.policy, seed)
    elapsed_s = time.monotonic() - started_s
    if is_json:
        click.echo(msgspec.json.encode(result).decode())
    else:
        click.echo("\n".join(render_result(result)))
        speed = loaded.length_s / max(elapsed_s, 1e-9)
        click.echo(f"\n{elapsed_s:.1f} s, {speed:.1f} seconds a second", err=True)
    if plot is not None:
        plot_windows([RunResult(loaded.name, chosen.name, seed, result)], plot)


@main.command()
@click.argument("scenarios", nargs=-1)
@click.option("--seeds", default=10, show_default=True)
@click.option("--variant", "variants", multiple=True, required=True)
@click.option("--json", "file", type=click.Path(path_type=Path), help="a file to write")
@click.option("--plot", type=click.Path(path_type=Path), help="an SVG file to write")
def experiment(
    scenarios: tuple[str, ...],
    seeds: int,
    variants: tuple[str, ...],
    file: Path | None,
    plot: Path | None,
) -> None:
    """Compare variants with the usual policy on the same arrivals and faults."""
    _compare(scenarios, seeds, variants, file, plot)


@main.command()
@click.argument("scenarios", nargs=-1)
@click.option("--seeds", default=10, show_default=True)
@click.option("--json", "file", type=click.Path(path_type=Path), help="a file to write")
def ablate(scenarios: tuple[str, ...], seeds: int, file: Path | None) -> None:
    """Switch each mechanism off by itself."""
    _compare(scenarios, seeds, ABLATIONS, file, None)


def _compare(
    scenarios: Sequence[str],
    seeds: int,
    texts: Sequence[str],
    file: Path | None,
    plot: Path | None,
) -> None:
    try:
        files = [find_scenario(name) for name in scenarios] or list_scenarios()
        for each in files:
            load_scenario(each)
        variants: list[Variant] = [parse_variant(text) for text in texts]
    except (InvalidScenarioError, InvalidVariantError) as error:
        _fail(error)
    count = len(files) * (len(variants) + 1) * seeds
    with click.progressbar(length=count, label="runs", file=sys.stderr) as bar:
        run_results = run_all(
            files, variants, range(1, seeds + 1), lambda: bar.update(1)
        )
    differences = compare(run_results)
    click.echo("\n".join(render_differences(differences)))
    if file is not None:
        file.write_bytes(msgspec.json.format(msgspec.json.encode(differences)))
    if plot is not None:
        plot_windows(run_results, plot)


if __name__ == "__main__":
    main()
