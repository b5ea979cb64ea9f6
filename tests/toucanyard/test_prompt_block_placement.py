from __future__ import annotations

from collections.abc import Sequence

import msgspec
import pytest

from toucanyard.candidates import CHOICES, MANY_REPLICAS, SHORT_SHARE
from toucanyard.fetch_sources import TRANSFER_PRICE
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    RequestId,
    SoftwareVersion,
)
from toucanyard.prompt_block_index import PromptBlock, PromptBlockIndex
from toucanyard.prompt_block_placement import (
    FULL_SHARE,
    LATE_AFTER_MS,
    MAX_READER_WAIT_MS,
    PlacedPrompt,
    PromptBlockPlacement,
    compute_scope,
)
from toucanyard.prompt_block_sources import choose_store, compute_store_name
from toucanyard.relay_requests import Prompt
from toucanyard.replica_usage import ReplicaUsage
from toucanyard.replicas import KnownReplica
from toucanyard.routes import PromptStore, RoutedCustomer, RouteIndex, RouteTable
from toucanyard.software_versions import VersionRoom
from toucanyard.target_weights import TargetWeights

from .relay_examples import MODEL, TRAITS, build_prompt, build_replica, build_request

MAX_OLD_MS = 6_000.0
PROMPT = build_prompt(("book", 2_500), ("subject", 3_700), ("own", 2_800))
STORE = PromptStore(Address("10.2.0.1:1"), DomainName("d2"), 700_000, 100_000.0, 12)


class Pool:
    """Some replicas with their blocks and calls."""

    def __init__(self, *names: str, version: int = 1) -> None:
        self.block_index = PromptBlockIndex()
        self.usage = ReplicaUsage()
        self.target = TargetWeights()
        self.target.apply(version, 0.0)
        self.placement = PromptBlockPlacement(self.block_index, self.usage, MAX_OLD_MS)
        weights = ((MODEL, version),)
        self.known = [
            KnownReplica(build_replica(name, weights=weights)) for name in names
        ]

    def choose(
        self,
        now_ms: float = 1_000.0,
        stores: Sequence[PromptStore] = (),
        request_id: str = "q",
        room: VersionRoom | None = None,
        **changes: object,
    ) -> PlacedPrompt | None:
        request = build_request(request_id, prompt=PROMPT, **changes)
        return self.placement.choose(
            request, PROMPT, TRAITS, self.known, self.target, stores, now_ms, room=room
        )

    def record(
        self, name: str, parts: Sequence[PromptBlock], ready_ms: float = 0.0
    ) -> None:
        memory = TRAITS.memory_tokens
        self.block_index.record(
            EndpointName(name), f"{MODEL}/1/", parts, ready_ms, memory
        )

    def load(self, name: str, calls: int, tokens: int, unread: int) -> None:
        for number in range(calls):
            request_id = RequestId(f"{name}{number}")
            self.usage.begin(EndpointName(name), request_id, tokens, unread, 0.0)


def find_name(placed: PlacedPrompt | None) -> str:
    assert placed is not None
    return placed.replica.replica.name


def test_warm_replica_is_chosen() -> None:
    for warm in "abcd":
        pool = Pool(*"abcd")
        pool.record(warm, PROMPT.parts[:2])
        placed = pool.choose()
        assert find_name(placed) == warm
        assert placed is not None
        assert placed.unread_tokens == 2_800


def test_cold_part_has_one_home_on_every_node() -> None:
    """A burst of calls for one cold block arrives at nodes without shared knowledge.

    Otherwise each would choose another replica, and the block would be read five times.
    """
    preferred = {find_name(Pool(*names).choose()) for names in ("abcd", "dcba", "bdac")}
    assert len(preferred) == 1


def test_busy_warm_replica_gives_its_parts_to_an_idle_one() -> None:
    pool = Pool(*"abcd")
    pool.record("a", PROMPT.parts[:2])
    pool.load("a", 6, 9_000, 9_000)
    placed = pool.choose()
    assert placed is not None
    assert find_name(placed) != "a"
    assert placed.source == pool.known[0].replica.address
    assert placed.fetched_tokens == 6_200
    assert placed.unread_tokens == 2_800


def test_part_that_another_replica_reads_now_is_followed_there() -> None:
    """The first call for a block has been sent and is read for a quarter second.

    A second call at another replica would read the block again for nothing.
    """
    for reader in "abcd":
        pool = Pool(*"abcd")
        pool.record(reader, PROMPT.parts[:2], ready_ms=1_250.0)
        pool.load(reader, 1, 9_000, 9_000)
        assert find_name(pool.choose()) == reader


def test_store_gives_what_no_replica_holds_any_more() -> None:
    pool = Pool(*"abcd")
    name = compute_store_name(STORE)
    pool.block_index.record(
        name, f"{MODEL}/1/", PROMPT.parts[:2], 0.0, STORE.memory_tokens
    )
    placed = pool.choose(stores=(STORE,))
    assert placed is not None
    assert placed.source == STORE.address
    assert placed.unread_tokens == 2_800
    assert placed.missing is None
    without = pool.choose()
    assert without is not None
    assert without.missing is not None


def test_parts_of_older_weights_are_never_fetched() -> None:
    """One replica has new weights, the others still have the older ones.

    Blocks read under the older weights must not be loaded under the new ones.
    """
    pool = Pool(*"ab", version=1)
    pool.record("a", PROMPT.parts[:2])
    pool.known[1] = KnownReplica(build_replica("b", weights=((MODEL, 2),)))
    pool.target.apply(2, 0.0)
    pool.load("a", 40, 1_000, 1_000)
    placed = pool.choose()
    assert placed is not None
    assert find_name(placed) == "b"
    assert placed.weights_version == 2
    assert placed.source is None
    assert placed.unread_tokens == PROMPT.count_tokens()


def test_walled_customer_has_a_scope_of_its_own() -> None:
    customers = tuple(
        RoutedCustomer(CustomerName(name), (name,), is_isolated=is_isolated)
        for name, is_isolated in (("c", False), ("d", True), ("e", True))
    )
    index = RouteIndex(RouteTable(1, customers=customers))
    scopes = {
        compute_scope(PROMPT, 1, index.find_cache_group(customer.name))
        for customer in customers
    }
    assert len(scopes) == 3


def test_replica_with_old_weights_is_avoided_and_then_not_used() -> None:
    pool = Pool(*"ab")
    pool.known[1] = KnownReplica(build_replica("b", weights=((MODEL, 2),)))
    pool.target.apply(2, 0.0)
    pool.record("a", PROMPT.parts[:2])
    assert find_name(pool.choose(100.0)) == "a"
    assert find_name(pool.choose(LATE_AFTER_MS + 1)) == "b"
    del pool.known[1]
    assert find_name(pool.choose(MAX_OLD_MS)) == "a"
    assert pool.choose(MAX_OLD_MS + 1) is None


def test_age_of_weights_counts_from_the_first_newer_version() -> None:
    """New versions are announced each second, faster than replicas can load them.

    Measured from the newest version, a very old one would never be too old.
    """
    pool = Pool("a")
    for second in range(1, 9):
        pool.target.apply(1 + second, second * 1_000.0)
    assert pool.choose(1_000 + MAX_OLD_MS) is not None
    assert pool.choose(1_001 + MAX_OLD_MS) is None


def test_full_memory_makes_a_call_wait() -> None:
    """Calls of all nodes fill a replica's memory.

    One more would make the engine preempt a running call and read it again.
    """
    pool = Pool("a")
    pool.load("a", 9, int(TRAITS.memory_tokens * FULL_SHARE / 9), 0)
    assert pool.choose() is None
    pool.usage.end(EndpointName("a"), RequestId("a0"))
    pool.usage.end(EndpointName("a"), RequestId("a1"))
    assert pool.choose() is not None


def test_failing_replica_is_avoided_while_others_are_well() -> None:
    pool = Pool(*"ab")
    pool.record("a", PROMPT.parts[:1])
    pool.record("b", PROMPT.parts[:1])
    first_choice = find_name(pool.choose())
    known = next(each for each in pool.known if each.replica.name == first_choice)
    for _ in range(3):
        known.record_failure(1_000.0, is_dead=False)
    assert find_name(pool.choose()) != first_choice


STORES = tuple(
    PromptStore(Address(f"10.2.0.{at}:1"), DomainName("d2"), 700_000, 100_000.0, 12)
    for at in range(3)
)
MANY_NAMES = [f"r{number}" for number in range(MANY_REPLICAS + 4)]


def test_all_nodes_keep_a_prompt_in_the_same_store() -> None:
    """Three stores are in one domain, and each node saves what its replicas read.

    With the first store alone, two thirds of the memory and of the links would be
    unused.
    """
    far = DomainName("d1")
    chosen = [choose_store(STORES, f"part {number}", far) for number in range(300)]
    again = [choose_store(STORES[::-1], f"part {number}", far) for number in range(300)]
    assert chosen == again
    for store in STORES:
        assert chosen.count(store) > 60
    assert choose_store((), "part", far) is None


def test_replica_saves_to_a_store_of_its_domain() -> None:
    """Stores are in two domains, and all replicas are cold and save what they read.

    Transfers between domains take twice as long, and calls queue behind them.
    """
    near = msgspec.structs.replace(STORES[0], domain=DomainName("d1"))
    stores = (*STORES[1:], near)
    for number in range(20):
        assert choose_store(stores, f"part {number}", DomainName("d1")) == near


def test_part_that_nobody_is_known_to_hold_is_asked_of_its_store() -> None:
    """Among many replicas, load places a block elsewhere than hashing does.

    Its reader saved it to the store that its name selects; a replica guessed by hashing
    rarely has it.
    """
    placed = Pool(*MANY_NAMES).choose(stores=STORES)
    assert placed is not None
    store = choose_store(STORES, "subject", placed.replica.replica.domain)
    assert store is not None
    assert placed.source == store.address
    own = Pool(*MANY_NAMES)
    own.record(find_name(placed), PROMPT.parts[:2])
    held = own.choose(stores=STORES)
    assert held is not None
    assert held.missing is None
    assert held.source == store.address
    few = Pool(*"abcd").choose(stores=STORES)
    assert few is not None
    assert few.source not in {each.address for each in STORES}


def test_fetching_from_another_domain_takes_twice_as_long() -> None:
    pool = Pool("a")
    near = PromptStore(Address("10.2.0.1:1"), DomainName("d1"), 700_000, 1_000.0, 12)
    totals = []
    for store in (near, msgspec.structs.replace(near, domain=DomainName("d2"))):
        memory = store.memory_tokens
        parts = PROMPT.parts[:2]
        pool.block_index.record(
            compute_store_name(store), f"{MODEL}/1/", parts, 0.0, memory
        )
        placed = pool.choose(stores=(store,))
        assert placed is not None
        totals.append(placed.total_ms)
    fetch_ms = 6_200 * TRAITS.bytes_per_token * 8 / 1_000 / 1_000
    assert totals[1] - totals[0] == pytest.approx(TRANSFER_PRICE * fetch_ms)


def test_calls_fetch_a_hot_part_from_all_that_hold_it_near_ones_first() -> None:
    """Six of eight replicas hold a block that every call needs, in two domains.

    A holder runs its transfers one after another: if all calls fetched a hot block from
    the same holder, they would queue for seconds.
    """
    pool = Pool()
    pool.known = [
        KnownReplica(
            build_replica(
                f"r{at}",
                address=Address(f"10.1.0.{at}:1"),
                domain=DomainName(f"d{at % 2}"),
            )
        )
        for at in range(8)
    ]
    for at in range(6):
        pool.record(f"r{at}", PROMPT.parts[:1])
        pool.load(f"r{at}", 3, 1_000, 9_000)
    sources = set()
    for number in range(40):
        placed = pool.choose(request_id=f"q{number}")
        assert placed is not None
        assert find_name(placed) in ("r6", "r7")
        assert placed.source is not None
        at = int(placed.source.rpartition(".")[2].partition(":")[0])
        assert at % 2 == int(find_name(placed)[1:]) % 2
        sources.add(at)
    assert len(sources) == 3


LONG = build_prompt(("book", 2_500), ("subject", 3_700), ("own", 2_800))
SHORT = build_prompt(("greeting", 120), ("own", 700))
LARGE_SERVICE = [f"r{number}" for number in range(40)]


def choose_alone(name: str, prompt: Prompt, pool: Pool) -> str:
    request = build_request(name, prompt=prompt)
    placed = pool.placement.choose(
        request, prompt, TRAITS, pool.known, pool.target, (), 1_000.0
    )
    chosen = find_name(placed)
    tokens = prompt.count_tokens()
    pool.usage.begin(EndpointName(chosen), RequestId(name), tokens, tokens, 1_000.0)
    return chosen


def test_long_prompts_leave_some_of_many_replicas_to_streams_of_short_ones() -> None:
    """Forty replicas run streams of short prompts when long prompts arrive.

    A stream event waits for a step of each long prompt read beside it; two in a row
    make every stream there late.
    """
    pool = Pool(*LARGE_SERVICE)
    short = {choose_alone(f"s{number}", SHORT, pool) for number in range(60)}
    long = {choose_alone(f"l{number}", LONG, pool) for number in range(20)}
    assert not short & long
    assert len(short) == int(len(LARGE_SERVICE) * SHORT_SHARE)
    # A hot subject is read at few of them and fetched by others.
    assert len(long) > 2 * CHOICES


def test_call_that_finds_its_own_side_full_goes_across() -> None:
    pool = Pool(*LARGE_SERVICE)
    short = {choose_alone(f"s{number}", SHORT, pool) for number in range(60)}
    for number, name in enumerate(sorted(short)):
        for call in range(TRAITS.slots):
            request_id = RequestId(f"full{number}-{call}")
            pool.usage.begin(EndpointName(name), request_id, 10, 0, 1_000.0)
    assert choose_alone("late", SHORT, pool) not in short


def test_few_replicas_serve_prompts_of_every_length() -> None:
    """With a third of five replicas left to short prompts, long ones would wait."""
    pool = Pool(*"abcde")
    assert len({choose_alone(f"l{number}", LONG, pool) for number in range(5)}) == 5


def test_call_waits_for_a_hot_part_that_one_of_many_replicas_reads() -> None:
    """After a weights change all memory is cold, and all calls need the same rulebook.

    Sent to the one replica that reads it they would queue there for seconds; sent
    elsewhere each would read it again. A moment later all can fetch it.
    """
    pool = Pool(*LARGE_SERVICE)
    reader = choose_alone("first", PROMPT, pool)
    pool.record(reader, PROMPT.parts[:1], ready_ms=1_150.0)
    pool.load(reader, 20, 1_000, 9_000)
    for now_ms in (1_010.0, 1_140.0):
        assert pool.choose(now_ms, arrived_ms=1_010.0) is None
    assert (
        pool.choose(1_010.0, arrived_ms=1_010.0 - MAX_READER_WAIT_MS - 1.0) is not None
    )
    placed = pool.choose(1_151.0, arrived_ms=1_010.0)
    assert placed is not None
    assert placed.fetched_tokens == 2_500
    assert find_name(placed) != reader


def test_stream_that_was_cut_does_not_wait_for_a_part() -> None:
    pool = Pool(*LARGE_SERVICE)
    reader = choose_alone("first", PROMPT, pool)
    pool.record(reader, PROMPT.parts[:1], ready_ms=1_150.0)
    pool.load(reader, 20, 1_000, 9_000)
    request = build_request("q", prompt=PROMPT, arrived_ms=1_000.0)
    placed = pool.placement.choose(
        request,
        PROMPT,
        TRAITS,
        pool.known,
        pool.target,
        (),
        1_010.0,
        may_wait_for_reader=False,
    )
    assert placed is not None


def test_nodes_that_know_old_figures_do_not_all_choose_the_same_replica() -> None:
    """Thirty nodes have the same load data, half a second old, and each sends one call.

    One replica looks slightly less loaded than the others. If every node chose it, its
    calls would wait for seconds beside idle replicas.
    """
    chosen = []
    for node in range(30):
        pool = Pool(*LARGE_SERVICE)
        for name in LARGE_SERVICE[1:]:
            pool.load(name, 1, 1_000, 0)
        prompt = build_prompt(("book", 2_500), (f"s{node}", 3_700), ("own", 2_800))
        chosen.append(choose_alone(f"l{node}", prompt, pool))
    assert max(chosen.count(name) for name in LARGE_SERVICE) <= 12


def test_calls_of_one_subject_go_to_a_replica_that_holds_it() -> None:
    """Nodes know where a subject has been read, and that other replicas are idle."""
    large_service = Pool(*LARGE_SERVICE)
    holder = min(choose_alone(f"l{node}", LONG, large_service) for node in range(30))
    chosen = set()
    for node in range(20):
        pool = Pool(*LARGE_SERVICE)
        pool.record(holder, LONG.parts[:2])
        chosen.add(choose_alone(f"l{node}", LONG, pool))
    assert chosen == {holder}


FEW_VERSION = SoftwareVersion("few")


def build_two_versions(busy_calls: int) -> Pool:
    """Return a replica of a version with few, without much room, and a loaded one."""
    pool = Pool("a", "b")
    few = build_replica("a", weights=((MODEL, 1),), software_version=FEW_VERSION)
    pool.known[0] = KnownReplica(few)
    pool.record("a", PROMPT.parts[:2])
    pool.load("a", 110, 100, 0)
    pool.load("b", busy_calls, 100, 0)
    return pool


@pytest.mark.parametrize(("busy_calls", "chosen"), [(100, "b"), (128, "a")])
def test_last_room_of_a_version_goes_to_new_streams_only_if_no_other_has_any(
    busy_calls: int, chosen: str
) -> None:
    """Guards against filling the last replicas of a version with new streams."""
    pool = build_two_versions(busy_calls)
    room = VersionRoom(few=frozenset((FEW_VERSION,)))
    assert find_name(pool.choose(room=room)) == chosen


def test_stream_that_can_go_on_nowhere_else_uses_that_room() -> None:
    pool = build_two_versions(100)
    del pool.known[1]
    assert find_name(pool.choose()) == "a"


def test_version_that_loses_replicas_is_the_worse_beginning() -> None:
    """Guards against beginning streams at a version that is about to leave."""
    pool = build_two_versions(110)
    room = VersionRoom(fewer=frozenset((FEW_VERSION,)))
    pool.block_index.forget(EndpointName("a"))
    for warm in "ab":
        pool.record(warm, PROMPT.parts)
    assert find_name(pool.choose(room=room)) == "b"
