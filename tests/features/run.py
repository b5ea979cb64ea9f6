"""Run the scenarios with behave and print a summary."""

from __future__ import annotations

import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.runner import Runner

FEATURES = Path(__file__).parent


def main(arguments: list[str]) -> int:
    """Run scenarios, print the numbers of passed and failed ones, return the status."""
    paths = arguments or [str(FEATURES)]
    sys.path[:0] = [str(FEATURES), str(FEATURES / "steps")]
    configuration = Configuration(["--format", "progress", "--no-skipped", *paths])
    runner = Runner(configuration)
    failed = runner.run()
    scenarios = [s for feature in runner.features for s in feature.walk_scenarios()]
    statuses = [scenario.status.name for scenario in scenarios]
    passed = statuses.count("passed")
    print(f"{passed} passed, {len(statuses) - passed} failed")
    return 1 if failed or not statuses else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
