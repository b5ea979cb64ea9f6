"""Run one bench by name; each is a module `bench_NAME` of this package."""

from __future__ import annotations

import importlib
import sys
from typing import Final

NAMES: Final = (
    "path",
    "claims",
    "policy",
    "placement_cost",
    "detectors",
    "configuration",
    "restart",
    "herd",
    "capacity",
    "faults",
    "origins",
    "crash_causes",
)
USAGE: Final = f"usage: ./dev bench {'|'.join(NAMES)} [...]"
_EXIT_USAGE: Final = 2


def main(arguments: list[str]) -> int:
    """Run the bench named by the first argument with the other arguments."""
    name, rest = (arguments[0], arguments[1:]) if arguments else ("", [])
    if name not in NAMES:
        print(USAGE, file=sys.stderr)
        return _EXIT_USAGE
    return run_bench(f"toucanyard_standins.bench_{name}", rest)


def run_bench(module_name: str, arguments: list[str]) -> int:
    """Import and run one bench; only its own dependencies must be installed."""
    try:
        module = importlib.import_module(module_name)
    except ModuleNotFoundError as error:
        if error.name != module_name:
            raise
        print(f"found no {module_name}", file=sys.stderr)
        return 1
    return int(module.main(arguments))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
