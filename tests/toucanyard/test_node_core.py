from __future__ import annotations

import msgspec

from core_world import POOL, CoreWorld, build_patch
from toucanyard.cache_view import CacheDump
from toucanyard.configuration import Pool
from toucanyard.configuration_records import PatchRecord
from toucanyard.core_events import (
    AppendSettled,
    CacheDumpRead,
    DrainBegun,
    LinksChanged,
    LoadRead,
    MessageRead,
    PatchAnswered,
    PatchSubmitted,
    ReadDump,
    SendMessage,
    TickPassed,
    VmsRead,
)
from toucanyard.digests import Digest, Leaving
from toucanyard.errorcodes import ErrorKind
from toucanyard.load_view import LoadReport
from toucanyard.names import (
    Address,
    DomainName,
    EndpointName,
    Incarnation,
    NodeId,
    NodeName,
)
from toucanyard.patches import Patch, Put
from toucanyard.platform_log import AppendResult
from toucanyard.requests import Dispatch
from toucanyard.vm_view import Vm, VmState

PEER = NodeId(NodeName("node-2"), Incarnation("b"))
OWN = Address("127.0.0.1:1")


def link(world: CoreWorld) -> None:
    vm = Vm("node-2", DomainName("south"), callers=Address("127.0.0.1:2"))
    world.handle(VmsRead((vm,)))
    world.handle(LinksChanged((PEER,)))


def find_digests(world: CoreWorld) -> list[Digest]:
    return [
        action.message
        for action in world.others
        if isinstance(action, SendMessage) and isinstance(action.message, Digest)
    ]


def submit(world: CoreWorld, patch_id: str, base: int) -> list[PatchAnswered]:
    world.others.clear()
    patch = Patch(patch_id, base, "operator")
    world.handle(PatchSubmitted(patch, world.now_ms + 1_000))
    world.read_log()
    return [each for each in world.others if isinstance(each, PatchAnswered)]


def apply_patch(world: CoreWorld, record: PatchRecord) -> None:
    world.log.append(msgspec.json.encode(record).decode())
    world.read_log()


def test_draining_node_tells_its_peers_at_once() -> None:
    # The VM list lags by seconds. Until it shows the stop, peers would continue to
    # return the address of the stopping node to callers of locate.
    world = CoreWorld()
    link(world)
    world.handle(DrainBegun(OWN))
    world.now_ms += 200
    world.handle(TickPassed())
    updates = [piece for digest in find_digests(world) for piece in digest.updates]
    assert [piece.address for piece in updates if isinstance(piece, Leaving)] == [OWN]


def test_news_of_a_leaving_endpoint_counts_before_the_list_shows_it() -> None:
    # No new request goes to an endpoint that another node has reported as leaving.
    world = CoreWorld()
    link(world)
    gone = world.core.configuration.pools[0].endpoints[0]
    digest = Digest(PEER.node, 1.0, -1.0, 1, 0, -1.0, (Leaving(gone.address, 0),))
    world.handle(MessageRead(PEER, digest))
    world.now_ms += 100
    for number in range(12):
        dispatch = world.find_last(world.arrive(f"r{number}"))
        assert isinstance(dispatch, Dispatch)
        assert dispatch.endpoint != gone.name


def test_leaving_endpoint_of_the_list_gets_no_new_work() -> None:
    world = CoreWorld()
    gone = world.core.configuration.pools[0].endpoints[0]
    vm = Vm(gone.name, gone.domain, VmState.LEAVING, "endpoint", endpoint=gone.address)
    world.handle(VmsRead((vm,)))
    world.now_ms += 100
    found = {world.find_last(world.arrive(f"r{number}")) for number in range(12)}
    assert gone.name not in {
        each.endpoint for each in found if isinstance(each, Dispatch)
    }


def test_patch_is_answered_with_what_the_log_says() -> None:
    world = CoreWorld()
    assert submit(world, "second", 1) == [PatchAnswered("second", 2, None, "")]
    (answer,) = submit(world, "late", 1)
    assert (answer.error, answer.version) == (ErrorKind.PATCH_CONFLICT, 2)
    assert submit(world, "second", 1) == [PatchAnswered("second", 2, None, "")]


def test_patch_without_a_result_is_answered_at_its_deadline() -> None:
    # The operator gets OUTCOME_UNKNOWN: the record may still be read back, so neither
    # "accepted" nor "rejected" would be true.
    world = CoreWorld()
    patch = Patch("slow", 1, "operator")
    world.handle(PatchSubmitted(patch, world.now_ms + 1_000))
    world.now_ms += 1_001
    world.handle(TickPassed())
    answers = [each for each in world.others if isinstance(each, PatchAnswered)]
    assert [each.error for each in answers] == [ErrorKind.OUTCOME_UNKNOWN]


def test_restarted_endpoint_is_expected_under_its_new_incarnation() -> None:
    # A dispatch names the current incarnation of its endpoint, never a dead one.
    world = CoreWorld()
    name = EndpointName("engine-0")
    for incarnation in ("old", "new"):
        world.now_ms += 100
        report = LoadReport(Incarnation(incarnation), 0, 0.0, weights_version="w1")
        world.handle(LoadRead(name, report, world.now_ms))
    assert world.core.membership.find_incarnation(name) == "new"
    for number in range(12):
        dispatch = world.find_last(world.arrive(f"r{number}"))
        assert isinstance(dispatch, Dispatch)
        if dispatch.endpoint == name:
            assert dispatch.expected_incarnation == "new"


def count_admitted(world: CoreWorld) -> int:
    return sum(world.arrive(f"r{number}") in world.replies for number in range(80))


def test_limits_are_shared_among_the_nodes_of_the_list() -> None:
    # An engine runs 16 requests in total. If each node assumed that it was the only
    # one, each would admit all 16, and eight nodes eight times too many.
    crowded = CoreWorld()
    vms = tuple(
        Vm(f"node-{number}", DomainName("north"), callers=Address(f"10.0.0.{number}:1"))
        for number in range(2, 10)
    )
    crowded.handle(VmsRead(vms))
    assert 0 < count_admitted(crowded) < count_admitted(CoreWorld())


def test_patch_whose_append_was_not_answered_is_appended_again() -> None:
    # The log answers after the node's timeout, and drops appends whose sender has
    # disconnected. Without a second append each patch would end as unknown. If the
    # second one is refused, "not accepted" would be false if the first took effect.
    world = CoreWorld()
    world.handle(PatchSubmitted(Patch("slow", 1, "operator"), world.now_ms + 9_000))
    lost, record_id = world.log.pop(), "patch-slow"
    world.handle(AppendSettled((record_id,), AppendResult.UNKNOWN))
    assert world.log[-1] == lost
    world.log.pop()
    world.handle(AppendSettled((record_id,), AppendResult.REFUSED))
    assert not any(isinstance(each, PatchAnswered) for each in world.others)
    world.log.append(lost)
    world.read_log()
    answers = [each for each in world.others if isinstance(each, PatchAnswered)]
    assert [each.version for each in answers] == [2]


def test_peer_with_another_value_under_the_same_version_is_shown() -> None:
    # Two nodes run different code and apply one patch with different results. Both
    # continue to serve, and the difference is reported to operators, as nothing else
    # would reveal it.
    world = CoreWorld()
    link(world)
    digest = world.core.log.digest
    for seen, expected in ((digest + 1, {PEER.node}), (digest, set())):
        digest_of_peer = Digest(PEER.node, 1.0, world.now_ms, 1, seen, 0.0)
        world.handle(MessageRead(PEER, digest_of_peer))
        assert world.core.synchronizer.divergent == expected


def test_nothing_is_kept_of_an_endpoint_that_left_the_configuration() -> None:
    """An engine is removed by one patch and its name is reused by a later one.

    The old views would be kept for ever, and the new engine would get requests for
    blocks that only the old one held. A report that arrives after the removal must not
    restore the view either.
    """
    world = CoreWorld()
    engines = build_patch().put.pools[0].endpoints
    gone = engines[0].name
    dump = CacheDump(Incarnation("old"), 1, (1, 2, 3))
    world.handle(CacheDumpRead(gone, dump))
    old_load = LoadReport(Incarnation("old"), 0, 0.0, weights_version="w0")
    world.handle(LoadRead(gone, old_load, world.now_ms))
    assert world.core.directory.find_weights(gone) == "w0"
    world.handle(CacheDumpRead(engines[1].name, CacheDump(Incarnation("b"), 1, (4,))))
    without = Pool(POOL, "m", "w1", engines[1:])
    apply_patch(
        world, PatchRecord(patch_id="second", base=1, put=Put(pools=(without,)))
    )
    assert world.core.placement.count_blocks() == 1
    world.handle(CacheDumpRead(gone, dump))
    apply_patch(world, build_patch("third", 2))
    assert world.core.placement.count_blocks() == 1
    assert world.core.directory.find_weights(gone) is None


def test_dump_of_a_new_process_is_asked_for_at_the_next_tick() -> None:
    """An engine's process is first seen right after the periodic check of the views.
    Its cache is unknown, and until its dump is read, other engines recompute its
    prefixes."""
    world = CoreWorld()
    world.handle(TickPassed())
    world.others.clear()
    endpoint = EndpointName("engine-1")
    report = LoadReport(Incarnation("i"), 0, 0.0)
    world.handle(LoadRead(endpoint, report, world.now_ms))
    world.now_ms += 50
    world.handle(TickPassed())
    assert ReadDump(endpoint) in world.others


def test_blocks_are_asked_for_only_of_engines_that_this_node_follows() -> None:
    """Hundreds of replicas, each with a view, of which this node follows a few.

    The views of the others get no events and so remain doubtful. Requesting 4,400
    lists of blocks every second would use a whole CPU core, and most of them would
    not be read.
    """
    world = CoreWorld()
    pool = world.core.configuration.pools[0]
    endpoints = tuple(
        msgspec.structs.replace(
            pool.endpoints[0],
            name=EndpointName(f"x{number}"),
            address=Address(f"10.1.0.{number}:80"),
        )
        for number in range(200)
    )
    put = Put(pools=(Pool(pool.name, pool.model, "w1", endpoints),))
    patch = build_patch("many", 1)
    apply_patch(world, msgspec.structs.replace(patch, put=put))
    own = world.core.identity.node
    names = (own, *(NodeName(f"n{number}") for number in range(9)))
    world.handle(VmsRead(tuple(Vm(name, DomainName("south")) for name in names)))
    for endpoint in endpoints:
        report = LoadReport(Incarnation("i"), 0, 0.0)
        world.handle(LoadRead(endpoint.name, report, world.now_ms))
    world.others.clear()
    world.now_ms += 2_000
    world.handle(TickPassed())
    dumped = {each.endpoint for each in world.others if isinstance(each, ReadDump)}
    assert dumped == {
        each.name for each in world.core.find_followed() if each in endpoints
    }
    assert 0 < len(dumped) < 100
