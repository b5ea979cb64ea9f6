"""No call is left at a stopping node that nobody works on or that can't end."""

from __future__ import annotations

import random
from itertools import pairwise

import pytest

from toucanyard.relay_flow import MAX_BLOCKED
from toucanyard.relay_requests import RelayRequest
from toucanyard.requests import Repeatability
from toucanyard.routes import RouteIndex

from .relay_examples import build_request, build_table
from .silent_fleet import Call, Pause, SilentFleet

KEPT_MS = 3_000.0
LEFT_MS = 7_400.0
STOP_MS = 6_000.0
STEP_MS = 25.0
NAMES = tuple(f"r{number}" for number in range(3))


class StoppingFleet(SilentFleet):
    """A node that stops, with calls of several kinds."""

    def send(self, **changes: object) -> Call:
        """Send one call."""
        fields: dict[str, object] = {
            "is_stream": True,
            "max_attempts": 1,
            "repeatability": Repeatability.RUN_ONCE,
            "arrived_ms": self.now_ms,
            "deadline_ms": self.now_ms + 15_000.0,
        }
        return self.accept(build_request(f"q{len(self.calls)}", **(fields | changes)))

    def accept(self, request: RelayRequest) -> Call:
        """Let a call arrive."""
        call = self.calls[request.request_id] = Call(request)
        self._at(request.deadline_ms, lambda: self._time_out(call))
        self._take(self.node.flow.arrive(request, self.now_ms))
        return call

    def stop(self) -> None:
        """Stop the node."""
        stop = self.node.flow.stop
        stop.begin(self.now_ms + KEPT_MS, self.now_ms + LEFT_MS)

    def check_worked_on(self) -> None:
        """Check that each call has an ending, an open attempt or a place in a queue."""
        flow = self.node.flow
        waiting = [each for queue in flow._queues.values() for each in queue]
        for request_id, call in self.calls.items():
            pending = flow._pending.get(request_id)
            if call.ending:
                assert pending is None
                continue
            assert pending is not None
            numbers = {each.dispatch.attempt for each in call.attempts}
            silent = flow.hedged._silent.get(request_id, [])
            open_numbers = {each.attempt for each in silent}
            if any(each is pending for each in waiting):
                assert pending.is_waiting
            else:
                open_numbers.add(pending.attempt)
            assert open_numbers == numbers
            assert numbers or pending.is_waiting


def build_fleet(rng: random.Random, seed: int) -> StoppingFleet:
    """Return a fleet whose replicas pause, all at once or some of them."""
    moments = sorted(rng.uniform(500.0, 14_000.0) for _ in range(8))
    pauses = [
        Pause(begin, end, tuple(rng.sample(NAMES, rng.choice((1, 2, 3)))))
        for begin, end in list(pairwise(moments))[::2]
    ]
    slots = rng.choice((2, 6))
    return StoppingFleet(seed, replicas=3, slots=slots, pauses=pauses)


def send_some(fleet: StoppingFleet, rng: random.Random) -> None:
    if rng.random() < 0.5:
        fleet.send()
        return
    fleet.send(
        repeatability=Repeatability.REPEATABLE,
        is_resumable=rng.random() < 0.5,
        max_attempts=rng.choice((2, 3)),
        deadline_ms=fleet.now_ms + rng.choice((1_500.0, 5_000.0)),
    )


@pytest.mark.parametrize("seed", range(12))
def test_each_call_is_worked_on_until_it_ends(seed: int) -> None:
    """Guards against a call that stays open without an attempt or a place in a queue.

    Replicas pause, and the same routes get new versions, before and during a stop.
    """
    rng = random.Random(seed)
    fleet = build_fleet(rng, seed)
    version = 1
    while fleet.now_ms < STOP_MS + LEFT_MS:
        if fleet.now_ms == STOP_MS:
            fleet.stop()
        if rng.random() < 0.4 and fleet.now_ms < STOP_MS + KEPT_MS:
            send_some(fleet, rng)
        if rng.random() < 0.02:
            version += 1
            fleet.node.flow.apply_index(RouteIndex(build_table(version)))
        fleet.run(fleet.now_ms + STEP_MS)
        fleet.check_worked_on()
    fleet.run(fleet.now_ms + 20_000.0)
    assert fleet.node.flow.count_pending() == 0
    assert all(each.ending for each in fleet.calls.values())


@pytest.mark.parametrize("before", [1, MAX_BLOCKED - 1, MAX_BLOCKED, 3 * MAX_BLOCKED])
def test_queued_call_that_cannot_end_is_refused_wherever_it_stands(before: int) -> None:
    """Guards against a call that waits to the end of its node behind other calls."""
    pause = Pause(0.0, 60_000.0, ("r0",))
    fleet = StoppingFleet(1, replicas=1, slots=1, pauses=[pause])
    fleet.run(STEP_MS)
    fleet.stop()
    ends_ms = fleet.now_ms + LEFT_MS
    while fleet.node.flow.count_waiting() < before:
        # Their own time is over first, so that the stop doesn't touch them.
        fleet.send(deadline_ms=ends_ms - 100.0)
    last = fleet.send()
    assert fleet.node.flow.count_waiting() == before + 1
    fleet.run(ends_ms - 1_000.0)
    assert last.ending == "refused"
    assert fleet.node.flow.count_waiting() == before
