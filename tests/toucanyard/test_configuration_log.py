from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from toucanyard.configuration import Configuration
from toucanyard.configuration_log import PatchResult
from toucanyard.configuration_records import (
    CheckpointRecord,
    decode_record,
    encode_checkpoint,
    encode_patch,
)
from toucanyard.errorcodes import ErrorKind
from toucanyard.patches import MAX_PATCH_BYTES

from .configuration_fakes import TIMINGS, FakeLog, build_patch, start_node


def test_racing_operators_get_the_winners_number() -> None:
    """Two operators patch version 1 at once, and the log orders the patches. The second
    is rejected with version 2, the other's, and no part of its patch is in force."""
    log, node = FakeLog(), start_node()
    log.append_patch(build_patch("first", 0))
    log.append_patch(build_patch("ana", 1))
    log.append_patch(build_patch("luis", 1))
    results = log.replay(node)
    assert [result.version for result in results] == [1, 2, 2]
    assert results[2].rejection is ErrorKind.PATCH_CONFLICT
    assert [each.name for each in node.configuration.customers] == ["first", "ana"]


def test_lost_append_answer_is_settled_by_patch_id() -> None:
    """An append succeeds but its answer is lost, so the patch is appended again. The
    result must be the patch's own version, not a conflict with itself."""
    log, node = FakeLog(), start_node()
    log.append_patch(build_patch("ana", 0))
    log.append_patch(build_patch("ana", 0))
    results = log.replay(node)
    assert results[1] == results[0] == node.find_result("ana")
    assert node.configuration.version == 1


def test_equal_patch_ids_on_other_bases_do_not_part_replicas() -> None:
    """Two operators choose the same patch id. A node that has the first patch in its
    history must not skip the second, since a node that started later applies it."""
    log, node, late = FakeLog(), start_node(), start_node()
    log.append_patch(build_patch("p", 0, "ana"))
    log.replay(node)
    log.append_checkpoint(node)
    log.oldest = 1
    log.append_patch(build_patch("p", 1, "luis"))
    log.replay(node)
    log.replay(late)
    assert node.configuration == late.configuration
    assert node.configuration.version == 2


def test_checkpoint_behind_a_patch_is_replayed_from_its_own_offset() -> None:
    """A patch reaches the log between a node's read and its checkpoint. A node that
    starts after the patch expired must not adopt the checkpoint; otherwise it would
    give the next patch the version number of the one that it missed."""
    log, writer = FakeLog(), start_node()
    log.append_patch(build_patch("one", 0))
    log.replay(writer)
    checkpoint = writer.build_checkpoint()
    assert checkpoint is not None
    log.append_patch(build_patch("two", 1))
    log.append(encode_checkpoint(checkpoint))
    log.append_patch(build_patch("rival", 1))
    late = start_node()
    log.replay(writer)
    log.oldest = 2
    log.replay(late)
    assert late.has_gap and late.configuration.version == 0
    log.append_checkpoint(writer)
    log.replay(late)
    assert late.configuration == writer.configuration


def test_unknown_configuration_kind_keeps_last_good_version() -> None:
    """A node with newer code appends a record of an unknown kind that makes version 2.
    A patch on version 1 follows, which other nodes reject, so this one must too."""
    log, node = FakeLog(), start_node()
    log.append_patch(build_patch("one", 0))
    log.append('{"kind": "configuration_swap", "version": 2}')
    log.append_patch(build_patch("late", 1))
    log.replay(node)
    assert node.configuration.version == 1 and node.has_gap
    assert not node.compute_permissions(0.0).may_order
    assert node.unknown_kinds == {"configuration_swap": 1}
    swapped = msgspec.structs.replace(node.configuration, version=2)
    newer = CheckpointRecord(configuration=swapped, next_offset=len(log.texts))
    log.append(encode_checkpoint(newer))
    log.replay(node)
    assert node.configuration == swapped and not node.has_gap


def test_newer_format_of_a_patch_halts_like_an_unknown_kind() -> None:
    log, node = FakeLog(), start_node()
    text = encode_patch(build_patch("one", 0)).replace('"format":1', '"format":2')
    log.append(text)
    log.append_patch(build_patch("late", 0))
    log.replay(node)
    assert node.has_gap and node.configuration.version == 0


@given(st.text(max_size=200) | st.sampled_from(["[]", "{}", '{"kind":1}', "\ud800"]))
def test_rogue_record_never_stops_a_node(text: str) -> None:
    log, node = FakeLog(), start_node()
    log.append(text)
    log.append('{"kind": "patch", "base": 0}')
    log.append('{"kind": "checkpoint", "configuration": {"version": 9}}')
    log.append('{"kind": "configuration_swap"}')
    log.append("[" * 100_000)
    log.append(" " * MAX_PATCH_BYTES + encode_patch(build_patch("large", 0)))
    log.append_patch(build_patch("good", 0))
    log.replay(node)
    assert [entry.patch_id for entry in node.history] == ["good"]


def test_forged_checkpoint_is_refused_where_nothing_was_missed() -> None:
    log, node = FakeLog(), start_node()
    log.append_patch(build_patch("one", 0))
    forged = CheckpointRecord(configuration=Configuration(version=9), next_offset=1)
    log.append(encode_checkpoint(forged))
    log.replay(node)
    assert node.configuration.version == 1
    assert node.counts.refused_checkpoints == 1


def test_peers_carry_a_version_while_the_log_is_down_for_a_node() -> None:
    log, node, cut_off = FakeLog(), start_node(), start_node()
    log.append_patch(build_patch("one", 0))
    log.replay(node)
    log.replay(cut_off)
    log.append_patch(build_patch("two", 1))
    log.append_patch(build_patch("lost", 1))
    log.replay(node)
    delta = node.build_delta(1)
    assert delta is not None and cut_off.adopt_delta(delta)
    assert cut_off.configuration == node.configuration
    assert not cut_off.adopt_delta(delta)
    lost = cut_off.apply_record(2, 0.0, log.texts[2], 0.0)
    assert lost is not None and lost.version == 2 and not lost.is_accepted()


def test_delta_taken_with_later_patches_kept_back_is_passed_on_whole() -> None:
    """Records expire unread, a later patch is deferred, and a peer's delta closes the
    gap. If patches were stored under wrong versions, the next node could not apply the
    forwarded delta and would fall back to complete states."""
    log, node, peer, late = FakeLog(), start_node(), start_node(), start_node()
    log.append_patch(build_patch("one", 0))
    for each in (node, peer, late):
        log.replay(each)
    log.append_patch(build_patch("two", 1))
    log.replay(peer)
    log.append_patch(build_patch("three", 2))
    log.oldest = 2
    log.replay(node)
    assert node.has_gap
    delta = peer.build_delta(1)
    assert delta is not None and node.adopt_delta(delta)
    assert node.configuration.version == 3
    passed_on = node.build_delta(1)
    assert passed_on is not None and late.adopt_delta(passed_on)
    assert late.configuration == node.configuration


def test_node_that_cannot_confirm_reports_it_and_stops_orders() -> None:
    """A node reaches neither the log nor peers, so it can't learn of newer versions.
    Within the bound it must stop orders and patches, while it continues to serve."""
    log, node = FakeLog(), start_node()
    log.append_patch(build_patch("one", 0))
    log.replay(node, now_ms=0.0)
    bound_ms = TIMINGS.stale_after_ms
    assert node.compute_permissions(bound_ms).may_order
    permissions = node.compute_permissions(bound_ms + 1)
    assert not (
        permissions.is_current or permissions.may_order or permissions.may_patch
    )
    assert node.apply_peer_confirmation(1, node.digest, bound_ms)
    assert node.is_current(bound_ms + 1)
    assert not node.apply_peer_confirmation(1, node.digest + 1, bound_ms)


def test_read_behind_the_head_confirms_nothing() -> None:
    log, node = FakeLog(), start_node()
    log.append_patch(build_patch("one", 0))
    log.append_patch(build_patch("two", 1))
    log.replay(node, limit=1)
    assert not node.is_current(0.0)


def test_checkpoint_comes_before_records_expire_also_in_a_quiet_log() -> None:
    """Nothing is appended for an hour, so the only configuration record would expire,
    and a later restart of all nodes would find none. A checkpoint must be appended in
    time, by one node first."""
    log, early, other = FakeLog(), start_node(0.0), start_node(1.0)
    log.append_patch(build_patch("one", 0))
    due_ms = float(TIMINGS.checkpoint_after_ms)
    for node in (early, other):
        log.replay(node)
        node.record_checkpoint_appended(0.0)
        log.replay(node, now_ms=due_ms)
    assert early.is_checkpoint_due(due_ms) and not other.is_checkpoint_due(due_ms)
    log.append_checkpoint(early)
    early.record_checkpoint_appended(due_ms)
    log.replay(other, now_ms=due_ms)
    assert not other.is_checkpoint_due(due_ms * 1.25)


class ReplicaMachine(RuleBasedStateMachine):
    """Run nodes, operators and a log that expires; compare with one full replay."""

    patches = Bundle("patches")

    def __init__(self) -> None:
        super().__init__()
        self.log = FakeLog()
        self.nodes = [start_node() for _ in range(3)]
        self.highest = [0, 0, 0]
        self.reference = start_node()
        self.accepted: dict[str, PatchResult] = {}
        self.number = 0

    def check(self, results: list[PatchResult]) -> None:
        for result in results:
            key = f"{result.patch_id}/{result.base}"
            if result.is_accepted():
                assert self.accepted.setdefault(key, result) == result

    @rule(target=patches, behind=st.integers(0, 2), again=st.booleans())
    def patch(self, behind: int, again: bool) -> str:
        self.number += 1
        version = self.reference.configuration.version
        text = encode_patch(build_patch(f"p{self.number}", max(0, version - behind)))
        self.log.append(text)
        if again:
            self.log.append(text)
        self.check(self.log.replay(self.reference))
        return text

    @rule(text=patches)
    def append_late(self, text: str) -> None:
        self.log.append(text)
        self.check(self.log.replay(self.reference))

    @rule(text=st.sampled_from(["rogue", '{"kind": "claim"}', '{"kind": "patch"}']))
    def append_rogue(self, text: str) -> None:
        self.log.append(text)

    @rule(node=st.integers(0, 2), limit=st.integers(1, 4))
    def read(self, node: int, limit: int) -> None:
        self.check(self.log.replay(self.nodes[node], limit))

    @rule(node=st.integers(0, 2))
    def checkpoint(self, node: int) -> None:
        self.log.append_checkpoint(self.nodes[node])

    @rule(count=st.integers(1, 6))
    def expire(self, count: int) -> None:
        self.log.oldest = min(self.log.oldest + count, len(self.log.texts))

    @rule(source=st.integers(0, 2), taker=st.integers(0, 2), whole=st.booleans())
    def send_state(self, source: int, taker: int, whole: bool) -> None:
        if whole:
            checkpoint = self.nodes[source].build_checkpoint()
            if checkpoint is not None:
                self.nodes[taker].adopt(checkpoint)
            return
        base = self.nodes[taker].configuration.version
        delta = self.nodes[source].build_delta(base)
        if delta is not None:
            self.nodes[taker].adopt_delta(delta)

    @rule(node=st.integers(0, 2))
    def restart(self, node: int) -> None:
        """Discard a node's state; a node without any configuration serves nothing."""
        self.nodes[node] = start_node()
        self.highest[node] = 0

    @invariant()
    def every_replica_holds_what_the_full_replay_holds(self) -> None:
        self.replay_all()
        for number, node in enumerate(self.nodes):
            version = node.configuration.version
            assert version >= self.highest[number]
            self.highest[number] = version
            if version:
                assert node.configuration == self.known[version]

    def replay_all(self) -> None:
        reference = self.reference
        first = reference.next_offset
        for offset, text in enumerate(self.log.texts[first:], first):
            reference.apply_record(offset, 0.0, text, 0.0)
        self.known = getattr(self, "known", {0: Configuration()})
        self.known.update(reference._versions._by_number)


def test_no_replica_reverts_or_parts_from_the_others() -> None:
    """Operators race and append twice or late, records expire, nodes read partially,
    restart without state and adopt states of each other. If a node applied a patch
    that another rejected, one version number would have two values."""
    run_state_machine_as_test(ReplicaMachine)


def test_checkpoint_round_trips() -> None:
    log, node = FakeLog(), start_node()
    log.append_patch(build_patch("one", 0))
    log.replay(node)
    checkpoint = node.build_checkpoint()
    assert checkpoint is not None
    assert decode_record(encode_checkpoint(checkpoint)) == checkpoint


@pytest.mark.parametrize("base", [1, 7])
def test_patch_on_an_unknown_base_is_rejected(base: int) -> None:
    result = start_node().check_patch(build_patch("ahead", base))
    assert result.rejection is ErrorKind.PATCH_CONFLICT and result.version == 0


def test_patch_read_before_its_checkpoint_is_not_lost() -> None:
    """A node starts after expired records and reads a patch, then a checkpoint of the
    version before it. Adopting only the checkpoint would lose the patch."""
    log, writer, late = FakeLog(), start_node(), start_node()
    log.append_patch(build_patch("one", 0))
    log.replay(writer)
    checkpoint = writer.build_checkpoint()
    assert checkpoint is not None
    log.append_patch(build_patch("two", 1))
    log.append(encode_checkpoint(checkpoint))
    log.replay(writer)
    log.oldest = 1
    log.replay(late)
    assert late.configuration == writer.configuration
    assert late.configuration.version == 2


def test_lower_or_less_covering_state_is_never_taken() -> None:
    """A peer that was paused for long, or runs other code, offers its state. Adopting
    it would restore what a later version removed."""
    log, node = FakeLog(), start_node()
    for number in range(3):
        log.append_patch(build_patch(f"p{number}", number))
    log.replay(node)
    older = CheckpointRecord(configuration=Configuration(version=1), next_offset=9)
    strange = CheckpointRecord(configuration=Configuration(version=9), next_offset=2)
    assert not node.adopt(older) and not node.adopt(strange)
    node.handle_expired(6)
    assert not node.adopt(older)
    assert node.configuration.version == 3
