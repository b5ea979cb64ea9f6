from __future__ import annotations

import random

from hypothesis import given, strategies as st

from toucanyard.names import CustomerName, ServiceName
from toucanyard.routes import (
    RoutedCustomer,
    RouteIndex,
    RouteTable,
    Split,
    choose_service,
)

from .relay_examples import build_route, build_table

SEGMENTS = st.lists(st.sampled_from(["a", "b", "c"]), max_size=4)


def test_longest_prefix_wins() -> None:
    routes = tuple(
        build_route(str(number), prefix)
        for number, prefix in enumerate(("/", "/a/", "/a/b/"))
    )
    index = RouteIndex(build_table(routes=routes))
    assert index.find_route("h.example", "/a/b/c").name == "2"  # type: ignore[union-attr]
    assert index.find_route("h.example", "/a/bc").name == "1"  # type: ignore[union-attr]
    assert index.find_route("h.example", "/ab/").name == "0"  # type: ignore[union-attr]


def test_host_decides_without_its_port_and_case() -> None:
    index = RouteIndex(build_table())
    assert index.find_route("H.Example:8080", "/a/x") is not None
    assert index.find_route("other.example", "/a/x") is None
    assert index.find_route("h.example", "/a") is None


@given(st.lists(SEGMENTS, max_size=6), SEGMENTS)
def test_lookup_agrees_with_going_over_all_routes(
    prefixes: list[list[str]], path: list[str]
) -> None:
    routes = tuple(
        build_route(str(number), "/" + "".join(f"{each}/" for each in prefix))
        for number, prefix in enumerate(prefixes)
    )
    target = "/" + "/".join(path)
    covering = [each for each in routes if target.startswith(each.path_prefix)]
    wanted = max((len(each.path_prefix) for each in covering), default=None)
    found = RouteIndex(RouteTable(1, routes)).find_route("h.example", target)
    assert (None if found is None else len(found.path_prefix)) == wanted


def test_keys_name_their_customer() -> None:
    customers = (
        RoutedCustomer(CustomerName("one"), ("k1", "k2")),
        RoutedCustomer(CustomerName("two"), ("k3",), is_isolated=True),
    )
    index = RouteIndex(build_table(customers=customers))
    assert index.find_customer("k2") is customers[0]
    assert index.find_customer("k3") is customers[1]
    assert index.find_customer("") is None
    assert index.has_customers()
    assert not RouteIndex(build_table(customers=())).has_customers()


def test_split_follows_its_weights() -> None:
    one, two, none = ServiceName("one"), ServiceName("two"), ServiceName("none")
    route = build_route(
        "r", "/", splits=(Split(one, 90), Split(two, 10), Split(none, 0))
    )
    rng = random.Random(1)
    chosen = [choose_service(route, rng) for _ in range(2_000)]
    assert 1_700 < chosen.count(one) < 1_900
    assert chosen.count(none) == 0
    assert choose_service(build_route("r", "/", splits=()), rng) is None


NOBODY = CustomerName("")
"""Of a call without a customer."""
NAMES = ("one", "two", "three")
STEPS = st.lists(
    st.tuples(st.sets(st.sampled_from(NAMES)), st.sampled_from(NAMES)), max_size=30
)
"""Which customers a configuration isolates, and who calls under it."""


def build_isolating(isolated: set[str]) -> RouteIndex:
    customers = tuple(
        RoutedCustomer(CustomerName(name), (name,), is_isolated=name in isolated)
        for name in NAMES
    )
    return RouteIndex(RouteTable(1, customers=customers))


@given(STEPS)
def test_isolated_customer_shares_no_cached_block_whatever_was_shared_before(
    steps: list[tuple[set[str], str]],
) -> None:
    """Guards against blocks of a customer that were cached before it was isolated.

    Replicas and stores keep what each group has read through all configurations.
    """
    made: dict[str, set[str]] = {}
    for isolated, caller in steps:
        index = build_isolating(isolated)
        group = index.find_cache_group(CustomerName(caller))
        makers = made.setdefault(group, set())
        others = makers - {caller}
        assert not others or isolated.isdisjoint(others | {caller})
        makers.add(caller)


def test_cache_group_is_kept_while_the_same_customers_are_isolated() -> None:
    """Guards against losing all cached blocks to configurations that change others."""
    before = build_isolating({"one", "two"})
    after = RouteIndex(
        build_table(
            version=9,
            customers=(
                RoutedCustomer(CustomerName("two"), ("new",), is_isolated=True),
                RoutedCustomer(CustomerName("four"), ("k",)),
                RoutedCustomer(CustomerName("one"), ("one",), is_isolated=True),
            ),
        )
    )
    assert before.find_cache_group(NOBODY) == after.find_cache_group(NOBODY)
    assert build_isolating(set()).find_cache_group(NOBODY) == ""
    assert RouteIndex(build_table()).find_cache_group(NOBODY) == ""


def test_each_customer_may_be_isolated_by_a_newer_configuration() -> None:
    """Guards against a table that is used for sharing though it may be outdated."""
    index = build_isolating({"one"})
    groups = {
        index.find_cache_group(CustomerName(name), is_confirmed=False)
        for name in (*NAMES, "removed")
    }
    assert len(groups) == 4
    assert index.find_cache_group(CustomerName("two")) not in groups
    isolated = CustomerName("one")
    assert index.find_cache_group(isolated) in groups
    assert index.find_cache_group(CustomerName("removed")) in groups
