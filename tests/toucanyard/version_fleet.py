"""Simulate a service whose replicas run several software versions side by side.

Each event of a stream records the version that wrote it. A caller whose stream breaks
takes it up at another node, and names the try that brought its first event.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from itertools import count

from toucanyard.names import (
    Address,
    Fingerprint,
    NodeName,
    SoftwareVersion,
)
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_events import (
    CallArrived,
    DispatchEnded,
    FirstEventSeen,
)
from toucanyard.relay_requests import Prompt, RelayDispatch, RelayOutcome, RelayRequest
from toucanyard.requests import DispatchEnding, Repeatability
from toucanyard.stream_origins import StreamOrigin

from .crash_fleet import LATENCY_MS, STEP_MS, Call, Engine, ForwardedCall
from .cut_fleet import CutFleet
from .relay_examples import DESK, ENGINES, MODEL, build_replica, build_request
from .relay_fleet import put

EVENTS = 10
EVENT_MS = 100.0
READ_MS = 60.0
"""Time from a call's arrival at a replica until its first event."""
AGAIN_MS = 100.0
"""Time after which a caller takes up a broken stream."""
MAX_TRIES = 3
STREAM_MS = 6_000.0
RESTART_MS = 1_500.0
BLOCKS = 8
"""Shared prompt blocks that streams are drawn from."""


class Stream:
    """One stream as its caller sees it, over all tries."""

    def __init__(self, number: int, deadline_ms: float) -> None:
        self.number = number
        self.deadline_ms = deadline_ms
        self.tries: list[StreamCall] = []
        self.first_id = ""
        """Id of the try that brought the first event."""
        self.last_event = 0
        self.is_whole = False
        self.leave_after: int | None = None
        """Number of events after which the caller breaks off the first try."""
        self.asked_ms = 0.0
        """Time of the first try."""
        self.first_ms: float | None = None

    def find_versions(self) -> set[str]:
        """Return the versions that wrote events of the stream."""
        return {version for each in self.tries for version in each.versions}

    def is_resumed(self) -> bool:
        """Return whether the caller has taken up the stream again."""
        return any(each.request.last_event_id for each in self.tries)

    def went_on(self) -> bool:
        """Return whether a later try brought further events."""
        return any(each.versions for each in self.tries if each.request.last_event_id)


class StreamCall(Call):
    """One try of a stream at one node."""

    def __init__(self, node: NodeName, request: RelayRequest, stream: Stream) -> None:
        super().__init__(node, request)
        self.stream = stream
        self.versions: list[str] = []
        """The version of each event."""
        self.is_broken = False


class VersionFleet(CutFleet):
    """Nodes, replicas of several versions, and callers of resumable streams."""

    def __init__(
        self,
        domains: int = 1,
        nodes_each: int = 5,
        versions: Sequence[str] = ("v1",) * 4 + ("v1.2",) * 4,
        *,
        is_prompt: bool = False,
    ) -> None:
        self._next_versions = list(versions)
        self.versions: dict[str, str] = {}
        """Software version of each replica, by its name."""
        self.version_at: dict[Address, str] = {}
        self.service = ENGINES if is_prompt else DESK
        self.streams: list[Stream] = []
        self.names_try = True
        """Whether callers name the try that began the stream."""
        self._stream_numbers = count()
        self.stream_rng = random.Random(7)
        super().__init__(domains, nodes_each)

    # Replicas.

    def _start(self, address: Address) -> None:
        if address not in self.version_at:
            self.version_at[address] = self._next_versions.pop(0)
        version = self.version_at[address]
        name = f"r{next(self._numbers)}"
        self.engines[address] = Engine(address, name)
        self.versions[name] = version
        self._append(name, put(self._build_entry(name, address, version)))

    def _build_entry(
        self, name: str, address: Address, version: str, **changes: object
    ) -> object:
        weights = ((MODEL, 1),) if self.service == ENGINES else ()
        return build_replica(
            name,
            service=self.service,
            weights=weights,
            address=address,
            software_version=SoftwareVersion(version),
            **changes,
        )

    def end_for_good(self, address: Address) -> None:
        """Crash the replica at an address; it never comes back."""
        engine = self.engines[address]
        if not engine.is_up:
            return
        engine.is_up = False
        for call in list(engine.calls.values()):
            self.after(LATENCY_MS, lambda call=call: self.lose(call, engine.name))  # type: ignore[misc]
        engine.calls.clear()
        self.after(3_400.0, lambda: self._append(engine.name, None))

    def drop_version(self, version: str) -> None:
        """End all replicas of a version for good, and remove them from the list."""
        for address in self.list_addresses(version):
            self.end_for_good(address)
            self._append(self.engines[address].name, None)

    def hide_version(self, version: str, for_ms: float) -> None:
        """Remove the entries of a version's running replicas for a time."""
        for address in self.list_addresses(version):
            name = self.engines[address].name
            entry = put(self._build_entry(name, address, version))
            self._append(name, None)
            self.after(for_ms, lambda name=name, entry=entry: self._append(name, entry))  # type: ignore[misc]

    def list_addresses(self, version: str) -> list[Address]:
        """Return the addresses of the running replicas of a version."""
        return [
            address
            for address, engine in self.engines.items()
            if engine.is_up and self.version_at[address] == version
        ]

    def replace(self, address: Address, version: str) -> None:
        """Replace the replica at an address, without notice, by one of a version."""
        self.version_at[address] = version
        self.crash(address)

    def lose(self, call: Call, replica: object, *, is_closed: bool = True) -> None:
        """End a call's dispatch without an answer."""
        outcome = RelayOutcome(
            call.request.request_id,
            replica,  # type: ignore[arg-type]
            DispatchEnding.LOST,
            text="closed before an answer",
            is_closed=is_closed,
            has_begun=call.has_begun,
        )
        self.handle(call.node, DispatchEnded(outcome))

    def _deliver_call(self, call: Call, dispatch: RelayDispatch) -> None:
        engine = self.engines[dispatch.address]
        is_there = engine.is_up and engine.name == dispatch.replica
        is_stream = isinstance(_find_origin(call), StreamCall)
        if call.node in self.cuts or not is_there or not is_stream:
            super()._deliver_call(call, dispatch)
            return
        engine.calls[call.request.request_id] = call
        self.after(READ_MS, lambda: self._write_event(call, engine))

    def _write_event(self, call: Call, engine: Engine) -> None:
        request_id = call.request.request_id
        if engine.calls.get(request_id) is not call:
            return
        if not call.has_begun:
            call.has_begun = True
            self.handle(call.node, FirstEventSeen(request_id))
        origin = _find_origin(call)
        assert isinstance(origin, StreamCall)
        if origin is not call:
            self._pass_on_first_event(origin, self.versions[engine.name])
        self._receive_event(origin, self.versions[engine.name])
        stream = origin.stream
        if stream.last_event >= EVENTS:
            engine.calls.pop(request_id, None)
            outcome = RelayOutcome(request_id, engine.name, DispatchEnding.COMPLETED)
            self._end(call, "completed")
            self.handle(call.node, DispatchEnded(outcome))
        elif origin.ending is None:
            self.after(EVENT_MS, lambda: self._write_event(call, engine))

    def _pass_on_first_event(self, call: StreamCall, version: str) -> None:
        if not call.has_begun:
            call.has_begun = True
            call.begun_origin = StreamOrigin(self.service, SoftwareVersion(version))
            seen = FirstEventSeen(call.request.request_id, call.begun_origin)
            self.handle(call.node, seen)

    def _receive_event(self, call: StreamCall, version: str) -> None:
        stream = call.stream
        if call.ending is not None:
            return
        call.versions.append(version)
        stream.last_event += 1
        if not stream.first_id:
            stream.first_id = call.request.caller_id
            stream.first_ms = self.now_ms
        if len(stream.tries) == 1 and stream.leave_after == stream.last_event:
            self.break_off(call)

    # Callers.

    def begin(self, node: NodeName, *, leave_after: int | None = None) -> Stream:
        """Let a caller ask for a new stream."""
        stream = Stream(next(self._stream_numbers), self.now_ms + STREAM_MS)
        stream.leave_after = leave_after
        stream.asked_ms = self.now_ms
        self.streams.append(stream)
        self.send(stream, node)
        return stream

    def send(self, stream: Stream, node: NodeName, **changes: object) -> StreamCall:
        """Send the next try of a stream to a node."""
        name = f"try-{stream.number}-{len(stream.tries)}"
        fields: dict[str, object] = {
            "service": self.service,
            "services": (self.service,),
            "fingerprint": Fingerprint(f"stream-{stream.number}"),
            "repeatability": Repeatability.REPEATABLE,
            "is_stream": True,
            "is_resumable": True,
            "arrived_ms": self.now_ms,
            "deadline_ms": stream.deadline_ms,
            "last_event_id": str(stream.last_event or ""),
            "resumed_id": stream.first_id if self.names_try else "",
        }
        if self.service == ENGINES:
            block = PromptBlock(f"block-{stream.number % BLOCKS}", 2_000)
            own = PromptBlock(f"own-{stream.number}", 200)
            fields["prompt"] = Prompt(MODEL, (block, own), EVENTS)
        request = build_request(name, **(fields | changes))
        call = StreamCall(node, request, stream)
        stream.tries.append(call)
        self.calls.append(call)
        self._by_id[request.request_id] = call
        self.handle(node, CallArrived(request))
        return call

    def break_off(self, call: StreamCall) -> None:
        """Let a caller lose its connection in the middle of a stream."""
        node, request_id = call.node, call.request.request_id
        call.is_broken = True
        for engine in self.engines.values():
            if engine.calls.pop(request_id, None) is not None:
                outcome = RelayOutcome(
                    request_id, engine.name, DispatchEnding.CANCELLED, has_begun=True
                )
                self.handle(node, DispatchEnded(outcome))
        self._end(call, "left")

    def _end(self, call: Call, ending: str) -> None:
        super()._end(call, ending)
        if not isinstance(call, StreamCall):
            return
        stream = call.stream
        if ending == "completed":
            stream.is_whole = True
            return
        wait_ms = AGAIN_MS
        left_ms = stream.deadline_ms - self.now_ms
        if call.refusal is not None and not call.versions:
            wait_ms = min(call.refusal.retry_after_ms, left_ms / 3)
        if len(stream.tries) < MAX_TRIES and left_ms > wait_ms:
            self.after(max(wait_ms, STEP_MS), lambda: self._take_up(stream))

    def _take_up(self, stream: Stream) -> None:
        before = stream.tries[-1].node
        others = [n for n in self.cores if n not in self.dead and n != before]
        if others:
            self.send(stream, self.stream_rng.choice(others))

    # Nodes.

    def kill_node(self, name: NodeName, back_ms: float = 1_000.0) -> None:
        """Kill a node, which starts again after a time without any state."""
        for engine in self.engines.values():
            for request_id, call in list(engine.calls.items()):
                if call.node == name:
                    del engine.calls[request_id]
        self.kill([name])
        self.after(back_ms, lambda: self.start_again([name]))

    def restart_at_once(self, names: Collection[NodeName]) -> None:
        """Kill nodes together; they start again at once without any state."""
        for name in names:
            self.kill_node(name, back_ms=STEP_MS)

    # Plays.

    def play_streams(
        self,
        for_ms: float,
        per_s: float = 20.0,
        *,
        leaving_share: float = 0.0,
        nodes: Collection[NodeName] = (),
    ) -> list[Stream]:
        """Begin streams at random nodes at a steady rate, and return them."""
        before, begun_ms, sent = len(self.streams), self.now_ms, 0
        while self.now_ms < begun_ms + for_ms:
            while sent < per_s * (self.now_ms - begun_ms) / 1_000:
                sent += 1
                alive = [n for n in nodes or self.cores if n not in self.dead]
                leaves = self.stream_rng.random() < leaving_share
                node = self.stream_rng.choice(alive)
                self.begin(node, leave_after=4 if leaves else None)
            self.run_for(STEP_MS)
        return self.streams[before:]

    def crash_in_turn(self, every_ms: float, until_ms: float) -> None:
        """Crash one running replica after the other until a time."""
        if self.now_ms >= until_ms:
            return
        running = [each for each in self.engines.values() if each.is_up]
        if running:
            self.crash(self.stream_rng.choice(running).address)
        self.after(every_ms, lambda: self.crash_in_turn(every_ms, until_ms))

    def kill_in_turn(self, every_ms: float, until_ms: float) -> None:
        """Kill one node after the other until a time."""
        if self.now_ms >= until_ms:
            return
        alive = [name for name in self.cores if name not in self.dead]
        self.kill_node(self.stream_rng.choice(alive))
        self.after(every_ms, lambda: self.kill_in_turn(every_ms, until_ms))


def _find_origin(call: Call) -> Call:
    """Return the call as its caller sent it."""
    return call.origin if isinstance(call, ForwardedCall) else call


def count_mixed_answers(streams: Sequence[Stream]) -> int:
    """Return how many streams have an answer with events of two versions."""
    return sum(
        any(len(set(call.versions)) > 1 for call in stream.tries) for stream in streams
    )


def count_mixed(streams: Sequence[Stream]) -> int:
    """Return how many streams have events of two versions, over all their tries."""
    return sum(len(stream.find_versions()) > 1 for stream in streams)


def count_resumed(streams: Sequence[Stream]) -> int:
    """Return how many streams their callers have taken up again."""
    return sum(each.is_resumed() for each in streams)


def compute_begun_share(streams: Sequence[Stream]) -> float:
    """Return the share of new streams that began."""
    return sum(bool(each.first_id) for each in streams) / len(streams)


def compute_resumed_share(streams: Sequence[Stream]) -> float:
    """Return the share of streams taken up again that went on."""
    resumed = [each for each in streams if each.is_resumed()]
    return sum(each.went_on() for each in resumed) / len(resumed)
