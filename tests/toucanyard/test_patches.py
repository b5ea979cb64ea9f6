from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, strategies as st

from toucanyard.configuration import (
    Configuration,
    Customer,
    Endpoint,
    Operator,
    PlacementPolicy,
    Pool,
    Rule,
    Service,
)
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    PoolName,
    ServiceName,
)
from toucanyard.patches import (
    Patch,
    PatchInvalidError,
    Put,
    PutEndpoint,
    Remove,
    apply_patch,
)

KEY = "0" * 64


def build_endpoint(number: int) -> Endpoint:
    name = EndpointName(f"e{number}")
    return Endpoint(name, Address(f"10.0.0.{number}:80"), DomainName("d"))


POOL = Pool(PoolName("p"), "m", "w1", (build_endpoint(1),))
NAMED_HOST = Endpoint(EndpointName("z"), Address("host:1"), DomainName("d"))
SAME_ADDRESS = msgspec.structs.replace(build_endpoint(1), name=EndpointName("z"))
NO_CANDIDATES = PlacementPolicy(candidates=0)
BASE = apply_patch(
    Configuration(),
    Patch(
        "first",
        0,
        put=Put(
            customers=(Customer(CustomerName("c"), (KEY,)),),
            operators=(Operator("o", ("1" * 64,)),),
            pools=(POOL,),
            services=(Service(ServiceName("s"), (build_endpoint(2),)),),
            rules=(Rule("m", POOL.name),),
        ),
    ),
)


def apply(put: Put | None = None, remove: Remove | None = None) -> Configuration:
    return apply_patch(BASE, Patch("p", 1, "", put or Put(), remove or Remove()))


def test_put_replaces_by_name_and_keeps_the_rest() -> None:
    changed = msgspec.structs.replace(POOL, weights_version="w2")
    result = apply(Put(pools=(changed,)))
    assert result.version == 2
    assert result.pools == (changed,)
    assert result.services == BASE.services


def test_endpoints_are_put_and_removed_one_by_one() -> None:
    added = apply(Put(endpoints=(PutEndpoint("p", build_endpoint(3)),)))
    assert [each.name for each in added.pools[0].endpoints] == ["e1", "e3"]
    removed = apply(remove=Remove(endpoints=("e2",)))
    assert removed.services[0].endpoints == ()
    assert removed.pools == BASE.pools


def test_rule_for_some_customers_comes_before_the_one_for_all() -> None:
    narrow = Rule("m", POOL.name, (CustomerName("c"),))
    assert apply(Put(rules=(narrow,))).rules == (narrow, BASE.rules[0])


@pytest.mark.parametrize(
    ("put", "remove"),
    [
        (Put(), Remove(customers=("nobody",))),
        (Put(), Remove(rules=("nothing",))),
        (Put(), Remove(endpoints=("e9",))),
        (Put(), Remove(operators=("o",))),
        (Put(), Remove(pools=("p",))),
        (Put(rules=(Rule("m", PoolName("q")),)), Remove()),
        (Put(rules=(Rule("m", POOL.name, (CustomerName("x"),)),)), Remove()),
        (Put(customers=(Customer(CustomerName("d"), (KEY,)),)), Remove()),
        (Put(customers=(Customer(CustomerName("d"), ("plain",)),)), Remove()),
        (Put(customers=(Customer(CustomerName("d"), (), -1.0),)), Remove()),
        (Put(customers=(Customer(CustomerName("d"), (), float("nan")),)), Remove()),
        (Put(customers=(Customer(CustomerName(""), ()),)), Remove()),
        (Put(services=(Service(ServiceName("p"), ()),)), Remove()),
        (Put(endpoints=(PutEndpoint("q", build_endpoint(3)),)), Remove()),
        (Put(endpoints=(PutEndpoint("p", SAME_ADDRESS),)), Remove()),
        (Put(endpoints=(PutEndpoint("p", build_endpoint(2)),)), Remove()),
        (
            Put(pools=(Pool(PoolName("q"), "m", "w", (build_endpoint(1),)),)),
            Remove(),
        ),
        (
            Put(pools=(Pool(PoolName("q"), "m", "w", (NAMED_HOST,)),)),
            Remove(),
        ),
        (
            Put(pools=(Pool(PoolName("q"), "m", "w", (), placement=NO_CANDIDATES),)),
            Remove(),
        ),
    ],
)
def test_patch_that_contradicts_is_refused(put: Put, remove: Remove) -> None:
    with pytest.raises(PatchInvalidError):
        apply(put, remove)


@pytest.mark.parametrize(
    "placement",
    [
        PlacementPolicy(max_running=10**400),
        PlacementPolicy(candidates=10**400),
        PlacementPolicy(prefill_ms_per_block=1e308),
        PlacementPolicy(recompute_price=1e308),
    ],
)
def test_number_that_no_float_holds_is_refused(placement: PlacementPolicy) -> None:
    # If a mistyped number were accepted, it would raise in every node when it is used,
    # and again at each replay, so that no node could start.
    with pytest.raises(PatchInvalidError):
        apply(Put(pools=(msgspec.structs.replace(POOL, placement=placement),)))
    with pytest.raises(PatchInvalidError):
        apply(Put(services=(Service(ServiceName("s"), (), max_running=10**400),)))
    with pytest.raises(PatchInvalidError):
        apply(Put(customers=(Customer(CustomerName("c"), (), max_running=10**400),)))


NAMES = st.sampled_from(["c", "o", "p", "s", "e1", "e2", "m", "x", "", "a b"])
LISTS = st.lists(NAMES, max_size=3).map(tuple)
CUSTOMERS = st.builds(
    Customer, name=NAMES.map(CustomerName), key_hashes=LISTS, weight=st.floats()
)
ENDPOINTS = st.builds(
    Endpoint, name=NAMES.map(EndpointName), address=st.just(Address("10.0.0.1:80"))
)
PUTS = st.builds(
    Put,
    customers=st.lists(CUSTOMERS, max_size=2).map(tuple),
    endpoints=st.lists(
        st.builds(PutEndpoint, of=NAMES, endpoint=ENDPOINTS), max_size=2
    ).map(tuple),
    operators=st.just(()),
    pools=st.just(()),
    services=st.just(()),
    rules=st.just(()),
)
REMOVES = st.builds(Remove, customers=LISTS, rules=LISTS, endpoints=LISTS, pools=LISTS)


@given(st.builds(Patch, put=PUTS, remove=REMOVES))
def test_any_patch_is_applied_or_refused_and_the_same_way_twice(patch: Patch) -> None:
    results: list[Configuration | str] = []
    for _ in range(2):
        try:
            results.append(apply_patch(BASE, patch))
        except PatchInvalidError as error:
            results.append(str(error))
    assert results[0] == results[1]
