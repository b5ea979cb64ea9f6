"""Run the decisions of one node in virtual time.

Each node has its own admission, placement and views of the fake engines. Updates of
the views arrive late, and with gaps if the condition causes them.
"""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING, Final

import msgspec

from toucanyard.admission import Admission, AdmissionAction, Admit
from toucanyard.cache_view import CacheEvents
from toucanyard.names import EndpointName, RequestId
from toucanyard.options import AdmissionLimits
from toucanyard.placement import Placed
from toucanyard.requests import DispatchEnding, ModelTarget, Outcome, Refuse, Request
from toucanyard_standins.policy_conditions import Condition
from toucanyard_standins.policy_engine import FakeEngine, Job
from toucanyard_standins.policy_workload import Arrival

if TYPE_CHECKING:
    from toucanyard_standins.policy_run import Run

POLL_MS: Final = 200.0
TICK_MS: Final = 100.0
EVENT_DELAY_MS: Final = 300.0
DETECTION_MS: Final = 1_000.0
LOST_SHARE: Final = 0.2


class Task(msgspec.Struct):
    """One request from its arrival to its end."""

    arrival: Arrival
    request: Request
    tries: int = 1
    priority: int = 0
    attempt: int = 0
    sent_ms: float = 0.0
    endpoint: EndpointName | None = None
    expected_ms: float = 0.0
    first_token_ms: float | None = None
    weights_version: str | None = None
    """Weights of the first token; the answer is never continued with others."""


class Node:
    """One node: the real decisions, with delayed and lossy views."""

    def __init__(self, run: Run, number: int) -> None:
        self.run = run
        self.number = number
        self.rng = random.Random(f"{run.seed} {number} {run.policy}")
        self.admission = Admission(AdmissionLimits(), self.rng)
        self.admission.apply_node_count(run.deployment.nodes)
        self.admission.apply_configuration(run.configuration)
        self.placement = run.build_placement(self.rng)
        self.placement.apply_node_count(run.deployment.nodes)
        self.tasks: dict[RequestId, Task] = {}
        self.read_seqs: dict[EndpointName, tuple[str, int]] = {}
        self.down: set[EndpointName] = set()
        self.is_stopped = False
        run.clock.call_after(self.rng.uniform(0.0, POLL_MS), self.poll)
        run.clock.call_after(TICK_MS, self.tick)

    def offer(self, task: Task) -> None:
        """Accept one request from a caller."""
        self.tasks[task.request.request_id] = task
        self._apply(self.admission.offer(task.request, self.run.clock.now_ms))

    def tick(self) -> None:
        """Let admission refuse requests that have waited too long."""
        if not self.is_stopped:
            self._apply(self.admission.tick(self.run.clock.now_ms))
            self.run.clock.call_after(TICK_MS, self.tick)

    def poll(self) -> None:
        """Fetch load reports, cache events and dumps of all engines."""
        if self.is_stopped:
            return
        now_ms = self.run.clock.now_ms
        for engine in self.run.engines.values():
            if engine.is_up:
                report = engine.find_report(self.run.load_lag_ms)
                if report.incarnation == engine.incarnation:
                    self.placement.apply_load(engine.name, report, now_ms)
                self._read_events(engine, now_ms)
        for name in self.placement.find_doubtful(self.run.engines, now_ms):
            if self.run.engines[name].is_up:
                self.placement.record_dump_request(name, now_ms)
                dump = self.run.engines[name].make_dump()
                self.placement.apply_cache_dump(name, dump, now_ms)
        self.run.clock.call_after(POLL_MS, self.poll)

    def _read_events(self, engine: FakeEngine, now_ms: float) -> None:
        incarnation, after = self.read_seqs.get(engine.name, ("", 0))
        if incarnation != engine.incarnation:
            after = 0
        found = []
        for timed in reversed(engine.events):
            if timed.event.seq <= after:
                break
            if timed.at_ms <= now_ms - EVENT_DELAY_MS:
                found.append(timed.event)
        found.reverse()
        following = found[-1].seq + 1 if found else after + 1
        self.read_seqs[engine.name] = (engine.incarnation, following - 1)
        if self.run.condition == Condition.LOST_EVENTS:
            found = [event for event in found if self.rng.random() >= LOST_SHARE]
            self.rng.shuffle(found)
        events = CacheEvents(engine.incarnation, 1, following, tuple(found))
        self.placement.apply_cache_events(engine.name, events, now_ms)

    def _apply(self, actions: list[AdmissionAction]) -> None:
        for action in actions:
            match action:
                case Admit(request=request, priority=priority):
                    task = self.tasks[request.request_id]
                    task.priority = priority
                    self._dispatch(task)
                case Refuse(request_id=request_id, retry_after_ms=retry_after_ms):
                    task = self.tasks.pop(request_id)
                    self.run.record_refused_task(task, retry_after_ms)

    def _dispatch(self, task: Task) -> None:
        request = task.request
        now_ms = self.run.clock.now_ms
        usable = self.run.find_candidates(task.weights_version, self.down)
        open_names = self.admission.find_open(request, [each.name for each in usable])
        if len(open_names) < len(usable) and open_names:
            usable = tuple(each for each in usable if each.name in open_names)
        placed = self.placement.choose(request, self.run.pool, usable, now_ms)
        if placed is None:
            self._fail(task)
            return
        task.attempt += 1
        task.sent_ms = now_ms
        task.endpoint = placed.endpoint
        self.placement.record_dispatch(request, placed, self.run.pool, now_ms)
        work_ms = placed.first_token_ms - placed.queue_ms
        name = placed.endpoint
        self.admission.record_dispatch(request.request_id, name, work_ms, now_ms)
        self._send(task, placed)

    def _send(self, task: Task, placed: Placed) -> None:
        target = task.request.target
        assert isinstance(target, ModelTarget)
        engine = self.run.engines[placed.endpoint]
        delay_ms = self.run.deployment.one_way_ms
        self.run.clock.call_after(delay_ms, lambda: self._submit(task, target, engine))

    def _submit(self, task: Task, target: ModelTarget, engine: FakeEngine) -> None:
        job = Job(
            target.find_chain(engine.weights_version),
            task.arrival.tokens,
            task.priority,
            partial(self._record_first_token, task),
            partial(self._record_end, task),
        )
        engine.submit(job)

    def _record_first_token(self, task: Task, job: Job) -> None:
        run = self.run
        now_ms = run.clock.now_ms + run.deployment.one_way_ms
        after_ms = now_ms - task.sent_ms
        request_id = task.request.request_id
        if task.first_token_ms is None:
            task.first_token_ms = now_ms - task.arrival.at_ms
        assert task.endpoint is not None
        task.weights_version = run.engines[task.endpoint].weights_version
        missing = len(job.chain) - job.warm_blocks
        work_ms = missing * run.deployment.policy.prefill_ms_per_block
        run.record_prompt_blocks(task, job)
        if self.is_stopped:
            return
        self.placement.record_first_token(request_id, task.endpoint, after_ms, now_ms)
        self.admission.record_first_token(request_id, after_ms - work_ms, now_ms)

    def _record_end(self, task: Task, job: Job, ending: DispatchEnding) -> None:
        now_ms = self.run.clock.now_ms
        assert task.endpoint is not None
        if not self.is_stopped:
            engine = self.run.engines[task.endpoint]
            incarnation = engine.incarnation if engine.is_up else None
            outcome = Outcome(
                task.request.request_id,
                task.endpoint,
                ending,
                incarnation,
                duration_ms=now_ms - task.sent_ms,
            )
            self.placement.record_dispatch_end(task.request, outcome, now_ms)
        if ending == DispatchEnding.COMPLETED:
            self.run.record_served(task)
            self._finish(task)
            return
        if not self.is_stopped:
            self._record_down(task.endpoint)
            self.admission.record_failure(task.request.request_id, now_ms)
        if not self.is_stopped and self.admission.may_retry(task.attempt):
            self.run.result.retries += 1
            self._dispatch(task)
            return
        self._fail(task)

    def _record_down(self, name: EndpointName) -> None:
        if name not in self.down:
            self.down.add(name)
            delay_ms = DETECTION_MS
            self.run.clock.call_after(delay_ms, lambda: self.down.discard(name))

    def _fail(self, task: Task) -> None:
        self.run.record_failed(task)
        self._finish(task)

    def _finish(self, task: Task) -> None:
        self.tasks.pop(task.request.request_id, None)
        if not self.is_stopped:
            now_ms = self.run.clock.now_ms
            self._apply(self.admission.release(task.request.request_id, now_ms))
