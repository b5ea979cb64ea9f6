"""Render results as tables and plots."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

from toucanyard_emulator.accounting import WINDOW_MS, Result
from toucanyard_emulator.experiment import Difference, RunResult


def render_result(result: Result) -> Iterator[str]:
    """Yield the lines of the report on one run."""
    yield (
        f"worth {result.worth:.3f} = whole {result.whole:.3f}, worst windows "
        f"{result.worst_windows:.3f}, worst kind {result.worst_kind:.3f}, less prices "
        f"{sum(result.prices.values()):.3f}"
    )
    yield f"served {result.served}, of them late {result.late}; failed {result.failed}"
    yield ""
    yield "kind                        worth"
    yield from (f"{name:26} {worth:6.3f}" for name, worth in result.kinds.items())
    yield ""
    yield "lost by                     share"
    ordered = sorted(result.causes.items(), key=lambda item: -item[1])
    yield from (f"{name:26} {share:6.3f}" for name, share in ordered if share > 0)
    yield ""
    yield "taken off for               share"
    yield from (f"{name:26} {share:6.3f}" for name, share in result.prices.items())
    yield ""
    yield "from second                 worth"
    for number, worth in enumerate(result.windows):
        at_s = number * WINDOW_MS / 1000
        yield f"{at_s:<26.0f} {worth:6.3f} {'#' * round(worth * 40)}"


def render_differences(differences: Iterable[Difference]) -> Iterator[str]:
    """Yield the lines of a table of differences."""
    head = ("scenario", "variant", "seeds", "usual", "worth")
    yield "{:22} {:22} {:>5} {:>7} {:>7}  change".format(*head)
    for each in differences:
        mark = "" if each.is_significant() else "  (not shown)"
        yield (
            f"{each.scenario:22} {each.variant:22} {each.seeds:5} {each.usual:7.3f} "
            f"{each.worth:7.3f}  {each.mean:+.3f} ± {each.half_width:.3f}{mark}"
        )


def plot_windows(run_results: Sequence[RunResult], file: Path) -> None:
    """Plot worth by window, as the mean over seeds per scenario and variant."""
    import matplotlib

    matplotlib.use("svg")
    # A fixed salt makes the output reproducible: equal results give equal bytes.
    matplotlib.rcParams["svg.hashsalt"] = "toucanyard"
    from matplotlib import pyplot

    scenarios = list(dict.fromkeys(each.scenario for each in run_results))
    figure, axes = pyplot.subplots(
        len(scenarios), 1, figsize=(9, 2.4 * len(scenarios)), squeeze=False
    )
    for row, scenario in zip(axes[:, 0], scenarios, strict=True):
        runs = [each for each in run_results if each.scenario == scenario]
        for variant in dict.fromkeys(each.variant for each in runs):
            windows = [each.result.windows for each in runs if each.variant == variant]
            length = min(len(each) for each in windows)
            means = [
                sum(each[n] for each in windows) / len(windows) for n in range(length)
            ]
            at_s = [number * WINDOW_MS / 1000 for number in range(length)]
            row.plot(at_s, means, label=variant)
        row.set_title(scenario, fontsize=9)
        row.set_ylim(0, 1.02)
        row.set_ylabel("share of worth")
        row.legend(fontsize=7)
    axes[-1, 0].set_xlabel("second")
    figure.tight_layout()
    figure.savefig(file, format="svg", metadata={"Date": None})
    pyplot.close(figure)
