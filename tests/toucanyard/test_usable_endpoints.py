"""Check the cached usable endpoints against a computation from scratch."""

from __future__ import annotations

from hypothesis import example, given, settings, strategies as st

from toucanyard.configuration import Endpoint
from toucanyard.digests import Digest, GossipUpdate, Leaving, Recovered, Suspected
from toucanyard.endpoint_directory import EndpointDirectory
from toucanyard.membership import Membership
from toucanyard.membership_events import DigestArrived
from toucanyard.names import EndpointName, NodeName

from .membership_fakes import TIMINGS, Fleet, build_vms

ENDPOINTS = 9
NUMBERS = st.integers(0, ENDPOINTS - 1)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["ok", "error", "suspect", "recover", "leave", "list", "gone", "wait"]
        ),
        NUMBERS,
        st.sampled_from([NodeName("a"), NodeName("b"), NodeName("c")]),
    ),
    max_size=40,
)


def compute_usable(
    member: Membership, endpoints: tuple[Endpoint, ...], now_ms: float
) -> list[Endpoint]:
    """Return the usable endpoints by applying the rules to every endpoint."""
    evidence = member._evidence
    staying = [each for each in endpoints if not member.is_leaving(each, now_ms)]
    reachable = [each for each in staying if not evidence.is_avoided(each.name, now_ms)]
    agreed = set(member.find_condemned(now_ms))
    silent = [
        each.name
        for each in reachable
        if each.name in agreed
        and now_ms - evidence._known[each.name].ok_ms > TIMINGS.suspect_after_ms
    ]
    silent.sort(key=lambda name: (evidence._known[name].ok_ms, name))
    most = max(1, int(TIMINGS.max_condemned_share * len(endpoints)))
    condemned = silent[:most]
    usable = [each for each in reachable if each.name not in condemned]
    return usable or reachable or staying


def apply_step(fleet: Fleet, kind: str, number: int, source: NodeName) -> None:
    endpoint = fleet.endpoints[number]
    update: GossipUpdate | None = None
    match kind:
        case "ok":
            fleet.report(0, number)
        case "error":
            fleet.fail(0, number)
        case "suspect":
            update = Suspected(endpoint.name, source, 0)
        case "recover":
            update = Recovered(endpoint.name, source, 0)
        case "leave":
            update = Leaving(endpoint.address, 0)
        case "list":
            fleet.read_list(0, leaving=[endpoint.name])
        case "gone":
            kept = [each for each in fleet.endpoints if each is not endpoint]
            vms = build_vms(kept, fleet.names)
            fleet.nodes[0]._view.read(vms, fleet.now_ms)
        case _:
            fleet.run(number * 900.0)
    if update is not None:
        digest = Digest(NodeName("n1"), fleet.now_ms, -1.0, 1, 7, -1.0, (update,))
        arrived = DigestArrived(NodeName("n1"), digest)
        fleet.nodes[0].handle(arrived, fleet.now_ms)


@given(STEPS)
@example(
    [
        ("suspect", number, source)
        for number in range(4)
        for source in (NodeName("a"), NodeName("b"))
    ]
    + [("error", 0, NodeName("a"))]
)
@settings(max_examples=200)
def test_kept_endpoints_equal_those_worked_out(
    steps: list[tuple[str, int, NodeName]],
) -> None:
    """Errors, answers, suspicions, leaving VMs and time come in any order. An endpoint
    cached as usable after it left would get new work; one that is missed would idle."""
    fleet = Fleet(2, ENDPOINTS)
    member, small = fleet.nodes[0], fleet.endpoints[:3]
    for kind, number, source in steps:
        apply_step(fleet, kind, number, source)
        for endpoints in (fleet.endpoints, small):
            usable = member.find_usable(endpoints, fleet.now_ms)
            assert list(usable) == compute_usable(member, endpoints, fleet.now_ms)
            assert member.find_usable(endpoints, fleet.now_ms) is usable


def test_refused_endpoint_rests_and_comes_back() -> None:
    """An engine that loads weights rejects requests. It is excluded for a moment, and
    placement gets the same sequence object before and after."""
    fleet = Fleet(1, 3)
    directory = EndpointDirectory(fleet.nodes[0])
    before = directory.find_usable(fleet.endpoints, 0.0)
    directory.record_refusal(EndpointName("e1"), 0.0)
    resting = directory.find_usable(fleet.endpoints, 1.0)
    assert [each.name for each in resting] == ["e0", "e2"]
    assert directory.find_usable(fleet.endpoints, 150.0) is resting
    after = directory.find_usable(fleet.endpoints, 1_000.0)
    assert after is before
