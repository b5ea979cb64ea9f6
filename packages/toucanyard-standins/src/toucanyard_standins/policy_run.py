"""Run one workload through several nodes and fake engines in virtual time.

The network is modelled as a fixed delay. Refused callers retry after the requested
delay, up to a maximum number of attempts.
"""

from __future__ import annotations

import random
from functools import partial
from typing import Final

from hdrh.histogram import HdrHistogram

from toucanyard.configuration import Configuration, Customer, Endpoint, Pool
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    PoolName,
    RequestId,
)
from toucanyard.placement import Placement
from toucanyard.prefix import sample_chain
from toucanyard.requests import ModelTarget, Repeatability, Request
from toucanyard_standins.policy_baselines import (
    AffinityOnly,
    Baseline,
    LeastLoaded,
    Oracle,
)
from toucanyard_standins.policy_conditions import Condition, Policy, Result
from toucanyard_standins.policy_engine import FakeEngine, Job
from toucanyard_standins.policy_node import Node, Task
from toucanyard_standins.policy_workload import (
    CUSTOMER_SHARES,
    FIRST_WEIGHTS,
    Arrival,
    ArrivalChains,
    Deployment,
    make_arrivals,
)
from toucanyard_standins.virtual_clock import VirtualClock

END_MS: Final = 26_000.0
DISRUPTION_START_MS: Final = 10_000.0
OVERLOAD_MS: Final = 6_000.0
COOL_DOWN_MS: Final = 12_000.0
WARM_UP_MS: Final = 6_000.0
LOAD_LAG_MS: Final = 300.0
LOAD_INTERVAL_MS: Final = 2_000.0
DRAIN_MS: Final = 1_500.0
MAX_CALLER_TRIES: Final = 3
UNITS_PER_MS: Final = 10


class Run:
    """One deployment under one condition, policy and seed."""

    def __init__(
        self, deployment: Deployment, condition: Condition, policy: Policy, seed: int
    ) -> None:
        self.deployment = deployment
        self.condition = condition
        self.policy = policy
        self.seed = seed
        self.clock = VirtualClock()
        self.rng = random.Random(f"{seed} run")
        self.result = Result()
        self.load_lag_ms = 3_000.0 if condition == Condition.LOAD_LAG else LOAD_LAG_MS
        self.weights_version = FIRST_WEIGHTS
        self._computed: set[int] = set()
        self.pool = self._make_pool()
        customers = tuple(
            Customer(CustomerName(f"c{number}"), ())
            for number in range(len(CUSTOMER_SHARES))
        )
        self.configuration = Configuration(1, customers, pools=(self.pool,))
        self.engines = {
            each.name: FakeEngine(
                each.name, deployment.shape, self.clock, self._computed
            )
            for each in self.pool.endpoints
        }
        self.nodes = [Node(self, number) for number in range(deployment.nodes)]
        self._candidates: dict[tuple[str, ...], tuple[Endpoint, ...]] = {}
        self._histogram = HdrHistogram(1, 600_000, 3)
        self._smallest = HdrHistogram(1, 600_000, 3)
        seconds = int(END_MS + COOL_DOWN_MS) // 1_000
        self.result.served_at_s = [0] * seconds
        self.result.offered_at_s = [0] * seconds

    def execute(self) -> Result:
        """Run to the end and return the result."""
        for arrival in self._make_arrivals():
            delay_ms = arrival.at_ms
            self.clock.call_after(delay_ms, partial(self._offer_arrival, arrival))
        self._schedule_faults()
        # Wait for all open requests: leaving them out would drop the slowest ones.
        end_ms = END_MS + COOL_DOWN_MS
        while self.clock.now_ms < end_ms or self._count_open() > 0:
            self.clock.run_until(self.clock.now_ms + 1_000.0)
        result = self.result
        result.p50_ms = self._histogram.get_value_at_percentile(50) / UNITS_PER_MS
        result.p99_ms = self._histogram.get_value_at_percentile(99) / UNITS_PER_MS
        smallest = self._smallest.get_value_at_percentile(99)
        result.smallest_p99_ms = smallest / UNITS_PER_MS
        result.recomputed_blocks = sum(
            engine.recomputed_blocks for engine in self.engines.values()
        )
        result.recovery_s = compute_recovery(result)
        return result

    def build_placement(self, rng: random.Random) -> Placement:
        """Return a new placement of this run's policy."""
        match self.policy:
            case Policy.TOUCANYARD:
                return Placement(rng)
            case Policy.RANDOM:
                return Baseline(rng)
            case Policy.LEAST_LOADED:
                return LeastLoaded(rng)
            case Policy.AFFINITY:
                return AffinityOnly(rng)
            case Policy.ORACLE:
                price = self.deployment.policy.recompute_price
                return Oracle(rng, self.engines, price)

    def find_candidates(
        self, weights_version: str | None, down: set[EndpointName]
    ) -> tuple[Endpoint, ...]:
        """Return usable endpoints, with the given weights version unless it is None."""
        names = tuple(
            engine.name
            for engine in self.engines.values()
            if weights_version in (None, engine.weights_version)
            and not engine.is_loading
            and engine.name not in down
        )
        found = self._candidates.get(names)
        if found is None:
            found = tuple(each for each in self.pool.endpoints if each.name in names)
            self._candidates[names] = found
        return found

    def record_prompt_blocks(self, task: Task, job: Job) -> None:
        """Count the blocks of a prompt and its warm blocks."""
        self.result.prompt_blocks += len(job.chain)
        self.result.warm_blocks += job.warm_blocks

    def record_served(self, task: Task) -> None:
        """Count a complete answer, or a failure if it started after the deadline."""
        assert task.first_token_ms is not None
        since_ms = task.request.arrived_ms - task.arrival.at_ms
        if task.first_token_ms - since_ms > self.deployment.deadline_ms:
            self.result.failed += 1
            self._record_latency(task, task.first_token_ms)
            return
        self.result.served += 1
        second = int(self.clock.now_ms) // 1_000
        if second < len(self.result.served_at_s):
            self.result.served_at_s[second] += 1
        self._record_latency(task, task.first_token_ms)

    def record_failed(self, task: Task) -> None:
        """Count a request without an answer, and record the deadline as its latency."""
        self.result.failed += 1
        self._record_latency(task, self.deployment.deadline_ms)

    def record_refused_task(self, task: Task, retry_after_ms: int) -> None:
        """Schedule a retry after the requested delay, or count a refusal."""
        if task.tries >= MAX_CALLER_TRIES:
            self.result.refused += 1
            if self.condition not in (Condition.OVERLOAD_1_5, Condition.OVERLOAD_3):
                self._record_latency(task, self.deployment.deadline_ms)
            return
        arrival, tries = task.arrival, task.tries + 1
        self.clock.call_after(
            retry_after_ms, lambda: self._offer_arrival(arrival, tries=tries)
        )

    def _count_open(self) -> int:
        result = self.result
        return result.offered - result.served - result.refused - result.failed

    def _record_latency(self, task: Task, first_token_ms: float) -> None:
        if task.arrival.at_ms < WARM_UP_MS:
            return
        units = max(int(first_token_ms * UNITS_PER_MS), 1)
        self._histogram.record_value(units)
        if task.arrival.customer == len(CUSTOMER_SHARES) - 1:
            self._smallest.record_value(units)

    def _make_pool(self) -> Pool:
        endpoints = tuple(
            Endpoint(
                EndpointName(f"engine-{number}"),
                Address(f"127.0.0.1:{9000 + number}"),
                DomainName(f"domain-{number % self.deployment.domains}"),
            )
            for number in range(self.deployment.replicas)
        )
        name = PoolName("pool")
        return Pool(name, "m", "w1", endpoints, placement=self.deployment.policy)

    def _make_arrivals(self) -> list[Arrival]:
        deployment = self.deployment
        over = deployment.capacity_per_s / deployment.per_s
        window = (DISRUPTION_START_MS, DISRUPTION_START_MS + OVERLOAD_MS)
        match self.condition:
            case Condition.OVERLOAD_1_5:
                return make_arrivals(
                    deployment, self.seed, END_MS, (*window, 1.5 * over)
                )
            case Condition.OVERLOAD_3:
                return make_arrivals(
                    deployment, self.seed, END_MS, (*window, 3.0 * over)
                )
            case Condition.FLOOD:
                return make_arrivals(deployment, self.seed, END_MS, flood=6.0)
            case Condition.HERD:
                return make_arrivals(
                    deployment, self.seed, END_MS, shift_ms=DISRUPTION_START_MS
                )
            case _:
                return make_arrivals(deployment, self.seed, END_MS)

    def _offer_arrival(self, arrival: Arrival, tries: int = 1) -> None:
        now_ms = self.clock.now_ms
        if tries == 1:
            self.result.offered += 1
            self.result.offered_at_s[int(now_ms) // 1_000] += 1
        chains = ArrivalChains(arrival)
        chain = chains.find_chain(self.weights_version)
        target = ModelTarget(
            self.pool.name,
            "m",
            "",
            self.weights_version,
            chain,
            len(chain) * 256,
            arrival.tokens,
            sample_chain(chains.find_chain(FIRST_WEIGHTS)),
            chains,
        )
        request = Request(
            RequestId(f"{arrival.at_ms}-{arrival.customer}-{tries}"),
            CustomerName(f"c{arrival.customer}"),
            arrival.priority,
            target,
            Repeatability.REPEATABLE,
            now_ms,
            now_ms + self.deployment.deadline_ms,
            1,
        )
        node = self.rng.choice(self.nodes)
        node.offer(Task(arrival, request, tries))

    def _schedule_faults(self) -> None:
        engines = list(self.engines.values())
        match self.condition:
            case Condition.CRASH:
                self.clock.call_after(DISRUPTION_START_MS, engines[0].stop)
                self.clock.call_after(DISRUPTION_START_MS + 2_000.0, engines[0].start)
            case Condition.SLOW_REPLICA:
                engines[0].slowdown = 4.0
            case Condition.HERD:
                self.clock.call_after(DISRUPTION_START_MS, self._restart_nodes)
            case Condition.ROLL_OUT:
                self.clock.call_after(DISRUPTION_START_MS, self._publish_weights)
                for number, engine in enumerate(engines):
                    delay_ms = DISRUPTION_START_MS + LOAD_INTERVAL_MS * number
                    self.clock.call_after(delay_ms, partial(self._start_load, engine))
            case _:
                return

    def _publish_weights(self) -> None:
        self.weights_version = "w2"

    def _start_load(self, engine: FakeEngine) -> None:
        engine.is_loading = True
        # Running requests complete before the weights change.
        self.clock.call_after(DRAIN_MS, partial(self._finish_load, engine))

    def _finish_load(self, engine: FakeEngine) -> None:
        engine.stop()
        engine.start("w2")

    def _restart_nodes(self) -> None:
        for number, node in enumerate(self.nodes):
            node.is_stopped = True
            for task in list(node.tasks.values()):
                if task.endpoint is None:
                    node.run.record_failed(task)
            self.nodes[number] = Node(self, number)


def compute_recovery(result: Result) -> float:
    """Return seconds after the overload until goodput is 95% of that before it."""
    start, end = int(WARM_UP_MS) // 1_000, int(DISRUPTION_START_MS) // 1_000
    before = sum(result.served_at_s[start:end]) / (end - start)
    first = int(DISRUPTION_START_MS + OVERLOAD_MS) // 1_000
    last = int(END_MS) // 1_000
    for second in range(first, last - 2):
        after = sum(result.served_at_s[second : second + 3]) / 3
        if after >= 0.95 * before:
            return float(second - first)
    return -1.0
