"""Tests for the version in force while a node replays the log."""

from __future__ import annotations

import random
from itertools import pairwise

import msgspec
from hypothesis import given, strategies as st

from core_world import ANY_PORT, build_patch
from toucanyard.configuration import Customer
from toucanyard.configuration_records import PatchRecord
from toucanyard.core_events import LogRead, MessageRead, SendMessage
from toucanyard.digests import ConfigurationOffer, ConfigurationRequest
from toucanyard.names import (
    CustomerName,
    DomainName,
    Incarnation,
    NodeId,
    NodeName,
)
from toucanyard.node_core import NodeCore
from toucanyard.options import ListenOptions, Options, PlatformOptions
from toucanyard.patches import Put
from toucanyard.platform_log import (
    LogRecord,
)

PEER = NodeId(NodeName("node-2"), Incarnation("b"))


def build_core() -> NodeCore:
    listen = ListenOptions(ANY_PORT, ANY_PORT, ANY_PORT)
    platform = PlatformOptions(ANY_PORT, ANY_PORT)
    name, domain = NodeName("node-1"), DomainName("north")
    options = Options(name, domain, listen, platform, ("secret",))
    return NodeCore(options, Incarnation("a"), random.Random(1))


def build_log(versions: int) -> list[str]:
    patches = [build_patch()] + [
        PatchRecord(
            patch_id=f"patch-{base}",
            base=base,
            put=Put(customers=(Customer(CustomerName("new"), (f"{base:064}",)),)),
        )
        for base in range(1, versions)
    ]
    return [msgspec.json.encode(patch).decode() for patch in patches]


def read(core: NodeCore, log: list[str], start: int, end: int) -> int:
    """Read one page, which includes the log's end; return the version in force."""
    records = tuple(LogRecord(at, 1_000.0, log[at]) for at in range(start, end))
    core.handle(LogRead(start, end, records, len(log), 1_000.0), 1_000.0)
    return core.configuration.version


@given(st.integers(1, 12), st.sets(st.integers(1, 11)))
def test_replay_shows_no_version_but_the_newest(versions: int, cuts: set[int]) -> None:
    """Guards against old versions in force while a restarted node reads a long log.

    Each page but the last ends at a version that was replaced long ago. In force, it
    would be lower than the version before the restart, and removed customers and
    endpoints would be served until the replay ends.
    """
    core, log = build_core(), build_log(versions)
    ends = sorted({0, versions, *(cut for cut in cuts if cut < versions)})
    shown = [read(core, log, start, end) for start, end in pairwise(ends)]
    assert shown == [0] * (len(shown) - 1) + [versions]


def test_peers_state_ends_the_wait() -> None:
    """The log becomes unavailable during a replay; a peer has the newest version."""
    core, log, peer = build_core(), build_log(4), build_core()
    assert read(core, log, 0, 2) == 0
    read(peer, log, 0, 4)
    checkpoint = peer.log.build_checkpoint()
    assert checkpoint is not None
    offer = ConfigurationOffer(checkpoint)
    core.handle(MessageRead(PEER, offer), 1_000.0)
    assert core.configuration.version == 4


def test_old_version_is_not_given_to_peers() -> None:
    """All nodes restart together; one requests the state of a still replaying one."""
    core, log = build_core(), build_log(4)
    read(core, log, 0, 2)
    request = MessageRead(PEER, ConfigurationRequest(0))
    actions = core.handle(request, 1_000.0)
    assert not any(isinstance(each, SendMessage) for each in actions)
    read(core, log, 2, 4)
    actions = core.handle(request, 1_000.0)
    assert any(isinstance(each, SendMessage) for each in actions)
