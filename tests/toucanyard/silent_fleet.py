"""Simulate streams of one node at replicas that pause, with timers and hedges."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from itertools import count

import msgspec

from toucanyard.names import EndpointName, RequestId
from toucanyard.relay_events import AttemptContinued, AttemptSilent
from toucanyard.relay_requests import (
    RelayDispatch,
    RelayOutcome,
    RelayReply,
    RelayRequest,
)
from toucanyard.requests import DispatchEnding, Refuse

from .flow_node import Node
from .relay_examples import DESK, build_replica, build_request

EVENT_MS = 300.0
IDLE_MS = 900.0
FIRST_EVENT_MS = 150.0
ANSWER_EVENTS = 10
TICK_MS = 25.0


class Pause(msgspec.Struct, frozen=True):
    """A time in which replicas do nothing; they go on with all they have then."""

    begin_ms: float
    end_ms: float
    replicas: tuple[str, ...]


class Replica:
    """A replica that runs as many streams as it has slots, in order of arrival."""

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.slots = slots
        self.is_paused = False
        self.running: list[Attempt] = []
        self.queue: list[Attempt] = []
        self.held: list[Callable[[], None]] = []
        """What it does as soon as it goes on."""


class Attempt:
    """One dispatch and the timer of its answer."""

    def __init__(self, call: Call, dispatch: RelayDispatch, at_ms: float) -> None:
        self.call = call
        self.dispatch = dispatch
        self.is_open = True
        self.is_silent = False
        self.heard_ms = at_ms
        self.next_event = call.events


class Call:
    """One stream, how much its caller has of it, and its open attempts."""

    def __init__(self, request: RelayRequest) -> None:
        self.request = request
        self.events = 0
        self.silences = 0
        self.continued_silence = 0
        self.attempts: list[Attempt] = []
        self.dispatches = 0
        self.ending = ""
        self.ended_ms = 0.0


class SilentFleet:
    """One node and its replicas."""

    def __init__(
        self,
        seed: int,
        *,
        replicas: int = 8,
        slots: int = 16,
        is_hedged: bool = True,
        pauses: Sequence[Pause] = (),
        node: Node | None = None,
    ) -> None:
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.is_hedged = is_hedged
        self.node = Node(desks="") if node is None else node
        self.calls: dict[RequestId, Call] = {}
        self.replicas: dict[EndpointName, Replica] = {}
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        for number in range(replicas):
            name = f"r{number}"
            self.replicas[EndpointName(name)] = Replica(name, slots)
            replica = build_replica(name, service=DESK, slots=slots, weights=())
            self.node.directory.apply(replica, 0.0)
        for pause in pauses:
            self._at(pause.begin_ms, lambda pause=pause: self._pause(pause))  # type: ignore[misc]
            self._at(pause.end_ms, lambda pause=pause: self._go_on(pause))  # type: ignore[misc]
        self._at(0.0, self._tick)

    # Observations.

    def count_endings(self) -> Counter[str]:
        """Return how many calls ended in which way."""
        return Counter(each.ending for each in self.calls.values())

    def compute_whole(self) -> float:
        """Return the share of calls that were answered to their end."""
        return self.count_endings()["whole"] / len(self.calls)

    def count_extra(self) -> int:
        """Return the number of dispatches beyond the first of each call."""
        return sum(max(each.dispatches - 1, 0) for each in self.calls.values())

    # Callers.

    def play(self, per_s: float, for_ms: float, deadline_ms: float) -> None:
        """Send calls at random times, and run until all have ended."""
        at_ms = 0.0
        while (at_ms := at_ms + self.rng.expovariate(per_s / 1_000)) < for_ms:
            self._at(at_ms, lambda: self._arrive(deadline_ms))
        self.run(for_ms + deadline_ms + 1.0)

    def run(self, until_ms: float) -> None:
        """Run until a time."""
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, act = heapq.heappop(self._due)
            act()
        self.now_ms = until_ms

    def arrive(self, deadline_ms: float) -> Call:
        """Send one call."""
        request = build_request(
            f"q{len(self.calls)}",
            is_stream=True,
            is_resumable=True,
            max_attempts=3,
            arrived_ms=self.now_ms,
            deadline_ms=self.now_ms + deadline_ms,
        )
        call = self.calls[request.request_id] = Call(request)
        self._at(request.deadline_ms, lambda: self._time_out(call))
        self._take(self.node.flow.arrive(request, self.now_ms))
        return call

    def _arrive(self, deadline_ms: float) -> None:
        self.arrive(deadline_ms)

    def _time_out(self, call: Call) -> None:
        if call.ending:
            return
        call.ending = "cut" if call.events else "timed out"
        if not call.attempts:
            flow = self.node.flow
            self._take(flow.leave(call.request.request_id, self.now_ms))
            return
        last = call.attempts[-1]
        for attempt in call.attempts:
            self._close(attempt)
        self._end(last, DispatchEnding.CANCELLED)

    # The node.

    def _tick(self) -> None:
        self._take(self.node.flow.tick(self.now_ms))
        self._at(self.now_ms + TICK_MS, self._tick)

    def _take(self, replies: Iterator[RelayReply]) -> None:
        for reply in replies:
            call = self.calls[reply.request_id]
            match reply.verdict:
                case RelayDispatch() as dispatch:
                    if dispatch.hedged and dispatch.silence <= call.continued_silence:
                        continue
                    self._send(call, dispatch)
                case Refuse() if not call.ending:
                    call.ending = "cut" if call.events else "refused"

    def _send(self, call: Call, dispatch: RelayDispatch) -> None:
        attempt = Attempt(call, dispatch, self.now_ms)
        call.attempts.append(attempt)
        call.dispatches += 1
        replica = self.replicas[dispatch.replica]
        replica.queue.append(attempt)
        self._watch(attempt)
        self._fill(replica)

    def _watch(self, attempt: Attempt) -> None:
        patience_ms = attempt.dispatch.patience_ms
        if not self.is_hedged or math.isinf(patience_ms):
            return
        if attempt.call.events:
            patience_ms = IDLE_MS
        heard_ms = attempt.heard_ms

        def check() -> None:
            if attempt.is_open and attempt.heard_ms == heard_ms:
                self._fall_silent(attempt)
                self._at(self.now_ms + patience_ms, check)

        self._at(self.now_ms + patience_ms, check)

    def _fall_silent(self, attempt: Attempt) -> None:
        call = attempt.call
        attempt.is_silent = True
        if call.attempts[-1] is not attempt:
            return
        call.silences += 1
        event = AttemptSilent(
            call.request.request_id,
            attempt.dispatch.attempt,
            call.silences,
            call.events > 0,
        )
        self._take(self.node.flow.handle_silent(event, self.now_ms))

    def _hear(self, attempt: Attempt) -> None:
        """Handle the next event of an attempt."""
        call = attempt.call
        if attempt.is_silent or len(call.attempts) > 1:
            losers = [each for each in call.attempts if each is not attempt]
            call.attempts = [attempt]
            call.continued_silence = call.silences
            attempt.is_silent = False
            number = attempt.dispatch.attempt
            event = AttemptContinued(call.request.request_id, number)
            self._take(self.node.flow.handle_continued(event, self.now_ms))
            for loser in losers:
                self._close(loser)
        if attempt.next_event < call.events:
            attempt.next_event += 1
            return
        attempt.heard_ms = self.now_ms
        call.events += 1
        attempt.next_event = call.events
        if call.events == 1:
            request_id = call.request.request_id
            self._take(self.node.flow.record_first_event(request_id, self.now_ms))
        if call.events == ANSWER_EVENTS:
            call.ending, call.ended_ms = "whole", self.now_ms
            self._close(attempt)
            self._end(attempt, DispatchEnding.COMPLETED)
        else:
            self._watch(attempt)

    def _end(self, attempt: Attempt, ending: DispatchEnding) -> None:
        call, dispatch = attempt.call, attempt.dispatch
        if attempt in call.attempts:
            call.attempts.remove(attempt)
        outcome = RelayOutcome(
            dispatch.request_id,
            dispatch.replica,
            ending,
            attempt=dispatch.attempt,
            has_begun=call.events > 0,
        )
        self._take(self.node.flow.end_dispatch(outcome, self.now_ms))

    # Replicas.

    def _pause(self, pause: Pause) -> None:
        for name in pause.replicas:
            self.replicas[EndpointName(name)].is_paused = True

    def _go_on(self, pause: Pause) -> None:
        for name in pause.replicas:
            replica = self.replicas[EndpointName(name)]
            replica.is_paused = False
            held, replica.held = replica.held, []
            for act in held:
                act()
            self._fill(replica)

    def _fill(self, replica: Replica) -> None:
        """Begin queued attempts in free slots."""
        while not replica.is_paused and replica.queue:
            if len(replica.running) >= replica.slots:
                return
            attempt = replica.queue.pop(0)
            replica.running.append(attempt)
            self._at(self.now_ms + FIRST_EVENT_MS, lambda a=attempt: self._step(a))  # type: ignore[misc]

    def _step(self, attempt: Attempt) -> None:
        replica = self.replicas[attempt.dispatch.replica]
        if replica.is_paused:
            replica.held.append(lambda: self._step(attempt))
            return
        if attempt.is_open:
            self._hear(attempt)
        if attempt.is_open:
            self._at(self.now_ms + EVENT_MS, lambda: self._step(attempt))
        else:
            replica.running.remove(attempt)
            self._fill(replica)

    def _close(self, attempt: Attempt) -> None:
        """Close an attempt; its replica notices at the next event that it writes."""
        attempt.is_open = False

    def _at(self, at_ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at_ms, next(self._numbers), act))
