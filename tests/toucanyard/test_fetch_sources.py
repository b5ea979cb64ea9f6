from __future__ import annotations

import msgspec
import pytest

from toucanyard.fetch_sources import (
    FAR_FACTOR,
    TRANSFER_PRICE,
    FetchSource,
    FetchSources,
)
from toucanyard.names import Address, DomainName, EndpointName

from .relay_examples import TRAITS, build_replica

NEAR, FAR = DomainName("d1"), DomainName("d2")
RECEIVER = build_replica("own")


def build_source(name: str, domain: DomainName = NEAR) -> FetchSource:
    address = Address(f"{name}:1")
    return FetchSource(EndpointName(name), address, 1_000.0, domain)


def pick(sources: FetchSources, call: str = "q") -> str:
    source = sources.pick(RECEIVER, call)
    return "" if source is None else source.name


def test_only_who_holds_most_is_a_source() -> None:
    sources = FetchSources()
    assert pick(sources) == ""
    sources.add(build_source("nothing"), 0)
    assert pick(sources) == ""
    sources.add(build_source("some"), 100)
    sources.add(build_source("most"), 200)
    sources.add(build_source("less"), 150)
    assert (pick(sources), sources.tokens) == ("most", 200)


def test_replica_is_no_source_of_its_own() -> None:
    sources = FetchSources()
    sources.add(build_source("own"), 100)
    assert pick(sources) == ""


def test_near_sources_go_first_and_calls_spread_over_them() -> None:
    sources = FetchSources()
    for name in "abc":
        sources.add(build_source(name), 100)
    sources.add(build_source("far", FAR), 100)
    assert {pick(sources, f"q{number}") for number in range(40)} == set("abc")


def test_price_is_of_the_nearest_source() -> None:
    sources = FetchSources()
    assert sources.compute_price(0, RECEIVER, TRAITS) == 0.0
    sources.add(build_source("far", FAR), 100)
    far_ms = sources.compute_price(50, RECEIVER, TRAITS)
    sources.add(build_source("near"), 100)
    near_ms = sources.compute_price(50, RECEIVER, TRAITS)
    bits = 50 * TRAITS.bytes_per_token * 8
    assert near_ms == pytest.approx(TRANSFER_PRICE * bits / 1_000 / 1_000)
    assert far_ms == pytest.approx(FAR_FACTOR * near_ms)


def test_slower_link_decides_the_price() -> None:
    """A store with a fast link feeds replicas with slow ones; transfers queue there."""
    sources = FetchSources()
    sources.add(build_source("store"), 100)
    slow = msgspec.structs.replace(TRAITS, link_mbps=100.0)
    price_ms = sources.compute_price(50, RECEIVER, TRAITS)
    assert sources.compute_price(50, RECEIVER, slow) == pytest.approx(10 * price_ms)
    fast = msgspec.structs.replace(TRAITS, link_mbps=1e9)
    assert sources.compute_price(50, RECEIVER, fast) == pytest.approx(price_ms)
