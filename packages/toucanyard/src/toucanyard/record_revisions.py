"""Tell apart the facts that operators publish.

Their numbers outlive a restore of the store, after which an older record comes back.
"""

from __future__ import annotations

from toucanyard.routes import RouteTable
from toucanyard.target_weights import WantedWeights


def is_configuration(fact: object) -> bool:
    """Return whether a fact is the configuration, without which nothing is served."""
    return isinstance(fact, RouteTable)


def find_revision(fact: object) -> int | None:
    """Return the number by which a fact supersedes others of its key, if it has one."""
    match fact:
        case RouteTable(version=version) | WantedWeights(version=version):
            return version
        case _:
            return None
