from __future__ import annotations

import json
import random

import pytest
import trio
import trio.testing
from hypothesis import example, given, settings, strategies as st

from support.network import MemoryNetwork
from toucanyard.core_events import VmsRead
from toucanyard.names import Address
from toucanyard.options import MembershipTimings
from toucanyard.vm_view import VmState
from toucanyard_node.http_client import is_valid_address
from toucanyard_node.http_exchange import (
    HttpRequest,
    Responder,
)
from toucanyard_node.vm_list import poll_vm_list

ADDRESS = Address("10.0.0.9:80")
VALID_BODY = (
    b'{"vms":[{"name":"e1","domain":"d","state":"leaving","runs":"endpoint",'
    b'"endpoint":"10.0.0.1:80"},{"name":"n1","domain":"d"}]}'
)


class VmListHarness:
    """A platform with configurable responses and a node that polls it."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.answers = [(200, VALID_BODY)]
        self.seen: list[VmsRead] = []
        network = MemoryNetwork(nursery)
        network.serve(ADDRESS, self.handle)
        nursery.start_soon(
            poll_vm_list,
            ADDRESS,
            MembershipTimings(),
            self.record_event,
            random.Random(1),
            network.connect,
        )

    async def record_event(self, event: VmsRead) -> None:
        self.seen.append(event)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        status, body = self.answers[0]
        await responder.send(status, (), body)


async def test_list_is_read_again_and_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with trio.open_nursery() as nursery:
        harness = VmListHarness(nursery)
        await trio.sleep(5)
        assert 5 <= len(harness.seen) <= 8
        assert harness.seen[0].vms[0].state is VmState.LEAVING
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "answer",
    [
        (503, b""),
        (200, b"[]"),
        (200, b'{"vms":[{"name":1}]}'),
        (200, b"\xff"),
        (200, b"[" * 50_000),
        (200, b" " * 5_000_000),
    ],
)
async def test_bad_answers_are_passed_over_and_polling_goes_on(
    autojump_clock: trio.testing.MockClock, answer: tuple[int, bytes]
) -> None:
    async with trio.open_nursery() as nursery:
        harness = VmListHarness(nursery)
        harness.answers = [answer]
        await trio.sleep(3)
        assert harness.seen == []
        harness.answers = [(200, VALID_BODY)]
        await trio.sleep(3)
        assert harness.seen
        nursery.cancel_scope.cancel()


async def test_address_that_is_none_counts_as_not_given(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The list contains invalid addresses. Connecting to one, to dial a peer or to
    explain a request, would raise an unexpected exception."""
    body = VALID_BODY.replace(
        b'"domain":"d"}]',
        b'"domain":"d","peers":"[x","operators":'
        b'"10.0.0.1:99999","callers":"10.0.0.1:80"}]',
    )
    async with trio.open_nursery() as nursery:
        harness = VmListHarness(nursery)
        harness.answers = [(200, body)]
        await trio.sleep(1)
        endpoint, node = harness.seen[0].vms
        assert (node.peers, node.operators) == ("", "")
        assert (node.callers, endpoint.endpoint) == ("10.0.0.1:80", "10.0.0.1:80")
        nursery.cancel_scope.cancel()


UNUSUAL_VALUES: st.SearchStrategy[object] = st.sampled_from(
    ["", "n1", "live", "leaving", "10.0.0.1:80", "[::1]:80", "[x", "h:1", "10.0.0.1:0"]
    + [None, 1, [], {}, "x" * 5_000]
)
FIELDS = ["name", "domain", "state", "runs", "callers", "operators", "peers"]
VMS = st.fixed_dictionaries(
    {"name": UNUSUAL_VALUES, "domain": UNUSUAL_VALUES},
    optional=dict.fromkeys([*FIELDS[2:], "endpoint"], UNUSUAL_VALUES),
)
BODIES = st.fixed_dictionaries({"vms": st.lists(VMS, max_size=3) | UNUSUAL_VALUES})


@given(st.sampled_from([200, 404]), BODIES.map(json.dumps) | st.text(max_size=9))
@example(200, '{"x":' + "[" * 100_000)
@settings(max_examples=60)
def test_any_list_is_taken_or_passed_over(status: int, body: str) -> None:
    """For any response, all accepted addresses must be valid, and the next valid
    response must be read."""

    async def check() -> None:
        async with trio.open_nursery() as nursery:
            harness = VmListHarness(nursery)
            harness.answers = [(status, body.encode())]
            await trio.sleep(1)
            harness.answers = [(200, VALID_BODY)]
            await trio.sleep(3)
            assert harness.seen[-1].vms[0].name == "e1"
            vms = [vm for event in harness.seen for vm in event.vms]
            for vm in vms:
                given_addresses = [vm.callers, vm.operators, vm.peers, vm.endpoint]
                assert all(is_valid_address(each) for each in given_addresses if each)
            nursery.cancel_scope.cancel()

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))
