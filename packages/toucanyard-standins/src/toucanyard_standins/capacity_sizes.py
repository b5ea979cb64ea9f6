"""Define the target size that benches extrapolate to."""

from __future__ import annotations

from typing import Final

from toucanyard.configuration import Configuration
from toucanyard.configuration_records import encode_patch
from toucanyard.patches import Patch, Put

NODES: Final = 320
REPLICAS: Final = 4_400
CUSTOMERS: Final = 1_600
POOL_REPLICAS: Final = 880
"""Replicas of one of five models."""


def encode_patches(configuration: Configuration) -> tuple[str, ...]:
    """Return log records that build a configuration, each within the record limit."""
    puts = [Put(customers=configuration.customers, operators=configuration.operators)]
    puts += [
        Put(
            pools=(pool,),
            rules=tuple(rule for rule in configuration.rules if rule.pool == pool.name),
        )
        for pool in configuration.pools
    ]
    puts += [Put(services=(service,)) for service in configuration.services]
    return tuple(
        encode_patch(Patch(f"patch-{number}", number, "bench", put))
        for number, put in enumerate(puts)
    )
