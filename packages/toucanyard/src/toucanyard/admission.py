"""Admit requests up to the endpoints' capacity; queue fairly and reject early.

A request is admitted, queued or rejected before any dispatch, so that the ending
"not run" is true. Concurrency limits follow each endpoint's latency. A request that
can't be dispatched before its deadline is rejected on arrival, with a retry delay
derived from the rate at which the queue drains.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from toucanyard.backends import AdmittedRequest, Backend
from toucanyard.configuration import Configuration, Customer
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.fair_queue import PRIORITY_RANKS
from toucanyard.names import CustomerName, EndpointName, RequestId
from toucanyard.options import AdmissionLimits
from toucanyard.requests import ModelTarget, Refuse, Request
from toucanyard.retry_budget import RetryBudget

MIN_RETRY_AFTER_MS: Final = 250
MAX_RETRY_AFTER_MS: Final = 30_000
DEFAULT_MAX_RUNNING: Final = 16
LOW_PRIORITY_SHARE: Final = 0.4
"""Share of this node's capacity above which a customer's requests get low priority."""
OVERDUE_TARGET_WAITS: Final = 2.0
"""Multiple of the target wait after which a missing first token counts as overdue."""


class Admit(msgspec.Struct, frozen=True):
    """Decision to place and dispatch a request now."""

    request: Request
    priority: int
    """Priority in the endpoint's own queue, 0 most urgent: ordered by class, then the
    customers that use a large share of this node's capacity, again by class."""


AdmissionAction = Admit | Refuse


class Admission:
    """Admission control of one node, for every pool and service; owned by one task."""

    __slots__ = (
        "_admitted",
        "_backends",
        "_customers",
        "_limits",
        "_node_count",
        "_rng",
        "_waiting",
        "retries",
    )

    def __init__(self, limits: AdmissionLimits, rng: random.Random) -> None:
        self._limits = limits
        self._rng = rng
        self._node_count = 1
        self._backends: dict[str, Backend] = {}
        self._customers: dict[CustomerName, Customer] = {}
        self._waiting: dict[RequestId, Request] = {}
        self._admitted: dict[RequestId, AdmittedRequest] = {}
        self.retries = RetryBudget(limits.retry_budget_share)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply customers' weights and limits, and the endpoints of pools."""
        self._customers = {each.name: each for each in configuration.customers}
        for pool in configuration.pools:
            names = [each.name for each in pool.endpoints]
            backend = self._find_backend(f"pool {pool.name}")
            backend.set_max_running(pool.placement.max_running, self._node_count)
            backend.set_usable(names)
        for service in configuration.services:
            names = [each.name for each in service.endpoints]
            backend = self._find_backend(f"service {service.name}")
            backend.set_max_running(service.max_running, self._node_count)
            backend.set_usable(names)

    def apply_node_count(self, count: int) -> None:
        """Set how many nodes share the endpoints; call it before the other methods."""
        self._node_count = max(count, 1)

    def apply_usable(self, target: Request, names: Iterable[EndpointName]) -> None:
        """Set which endpoints may receive requests with this target."""
        self._find_backend(compute_backend_name(target)).set_usable(list(names))

    def offer(self, request: Request, now_ms: float) -> list[AdmissionAction]:
        """Admit, queue or reject a new request; may reject another one instead."""
        if request.deadline_ms <= now_ms:
            return [self._refuse_expired(request, now_ms)]
        backend = self._find_backend(compute_backend_name(request))
        if not backend.has_usable():
            return [self._refuse(request, ErrorKind.NO_ENDPOINT, "no endpoint", now_ms)]
        weight = self._find_weight(request.customer)
        if len(backend.queue) == 0 and self._may_run(backend, request.customer):
            backend.queue.charge(request, weight)
            return [self._admit(backend, request)]
        refusal = self._check_queue(backend, request, now_ms)
        if refusal is not None:
            return [refusal]
        backend.queue.push(request, weight)
        self._waiting[request.request_id] = request
        return self._drop_surplus(backend, now_ms) + self._drain(backend, now_ms)

    def release(self, request_id: RequestId, now_ms: float) -> list[AdmissionAction]:
        """Release the slot of an admitted request and admit the next ones."""
        admitted = self._admitted.pop(request_id, None)
        if admitted is None:
            return []
        request = admitted.request
        backend = self._find_backend(compute_backend_name(request))
        backend.move(admitted, None)
        backend.end(request.customer, now_ms)
        return self._drain(backend, now_ms)

    def abandon(self, request_id: RequestId, now_ms: float) -> list[AdmissionAction]:
        """Drop a queued or admitted request that its caller has abandoned."""
        request = self._waiting.pop(request_id, None)
        if request is None:
            return self.release(request_id, now_ms)
        backend = self._find_backend(compute_backend_name(request))
        backend.queue.remove(request)
        text = "the caller went away while the request waited"
        refusal = self._refuse(request, ErrorKind.CALLER_GONE, text, now_ms)
        return [msgspec.structs.replace(refusal, ending=Ending.NOT_RUN)]

    def tick(self, now_ms: float) -> list[AdmissionAction]:
        """Reject queued requests past their deadline and admit those that fit."""
        self._reduce_overdue(now_ms)
        actions: list[AdmissionAction] = []
        for backend in self._backends.values():
            for request in backend.queue.find_expired(now_ms):
                self._remove_waiting(backend, request)
                actions.append(self._refuse_expired(request, now_ms))
            actions += self._drain(backend, now_ms)
        return actions

    def find_open(
        self, request: Request, names: Sequence[EndpointName]
    ) -> list[EndpointName]:
        """Return the endpoints that are below their declared limit.

        The latency-based limits bound only their sum. If each of them were enforced,
        requests rejected by an endpoint with a warm cache would be recomputed elsewhere
        and add to the load.
        """
        backend = self._find_backend(compute_backend_name(request))
        return [name for name in names if backend.has_room(name)]

    def record_dispatch(
        self,
        request_id: RequestId,
        endpoint: EndpointName,
        work_ms: float,
        now_ms: float,
    ) -> None:
        """Count an admitted request at its endpoint, for a first try or a retry.

        `work_ms` is the computation time expected before its first token.
        """
        admitted = self._admitted.get(request_id)
        if admitted is None:
            return
        backend = self._find_backend(compute_backend_name(admitted.request))
        if admitted.endpoint is None:
            self.retries.record_first_try()
        backend.move(admitted, endpoint)
        admitted.overdue_ms = (
            now_ms + work_ms + OVERDUE_TARGET_WAITS * self._limits.target_wait_ms
        )

    def record_first_token(
        self, request_id: RequestId, wait_ms: float, now_ms: float
    ) -> None:
        """Adjust an endpoint's limit to a request's wait, without its computation."""
        admitted = self._admitted.get(request_id)
        if admitted is not None:
            admitted.overdue_ms = float("inf")
            if admitted.endpoint is not None:
                backend = self._find_backend(compute_backend_name(admitted.request))
                backend.record_wait(admitted.endpoint, wait_ms, now_ms)

    def record_failure(self, request_id: RequestId, now_ms: float) -> None:
        """Lower the limit of an endpoint after a failed dispatch."""
        admitted = self._admitted.get(request_id)
        if admitted is not None and admitted.endpoint is not None:
            backend = self._find_backend(compute_backend_name(admitted.request))
            backend.record_failure(admitted.endpoint, now_ms)

    def may_retry(self, attempt: int) -> bool:
        """Take one retry from the budget; False if attempts or budget are exhausted."""
        return attempt < self._limits.max_attempts and self.retries.take()

    def compute_retry_after(self, request: Request, now_ms: float) -> int:
        """Return the retry delay in ms: the queue's drain time, with jitter."""
        backend = self._find_backend(compute_backend_name(request))
        wait_ms = backend.drain.compute_wait(len(backend.queue) + 1, now_ms)
        wait_ms = min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        # Jitter keeps callers that were rejected together from retrying together.
        return int(wait_ms * self._rng.uniform(1.0, 2.0))

    def count_queued(self) -> int:
        """Return how many requests are queued."""
        return len(self._waiting)

    def count_running(self) -> int:
        """Return how many admitted requests have not ended."""
        return len(self._admitted)

    def _reduce_overdue(self, now_ms: float) -> None:
        # A late first token reveals an overload only when it arrives; an overdue one
        # reveals it earlier, before more requests are sent.
        for request_id, admitted in self._admitted.items():
            if admitted.overdue_ms <= now_ms:
                admitted.overdue_ms = float("inf")
                self.record_failure(request_id, now_ms)

    def _check_queue(
        self, backend: Backend, request: Request, now_ms: float
    ) -> Refuse | None:
        customer = request.customer
        if backend.queue.count(customer) >= self._limits.max_queued_per_customer:
            text = "too many requests of this customer wait"
            return self._refuse(request, ErrorKind.CUSTOMER_LIMIT, text, now_ms)
        ahead = backend.queue.count(customer) * max(
            len(backend.queue.find_customers()), 1
        )
        wait_ms = backend.drain.compute_wait(min(ahead, len(backend.queue)), now_ms)
        room_ms = min(request.deadline_ms - now_ms, self._limits.max_wait_ms)
        if wait_ms > room_ms:
            text = f"the wait would be about {wait_ms:.0f} ms"
            return self._refuse(request, ErrorKind.OVERLOADED, text, now_ms)
        return None

    def _drop_surplus(self, backend: Backend, now_ms: float) -> list[AdmissionAction]:
        actions: list[AdmissionAction] = []
        while len(self._waiting) > self._limits.max_queued:
            surplus = backend.queue.find_surplus()
            if surplus is None:
                break
            self._remove_waiting(backend, surplus)
            text = "too many requests wait"
            actions.append(self._refuse(surplus, ErrorKind.OVERLOADED, text, now_ms))
        return actions

    def _drain(self, backend: Backend, now_ms: float) -> list[AdmissionAction]:
        actions: list[AdmissionAction] = []
        while len(backend.queue):
            may_run = {
                name
                for name in backend.queue.find_customers()
                if self._may_run(backend, name)
            }
            request = backend.queue.pop(may_run) if may_run else None
            if request is None:
                break
            del self._waiting[request.request_id]
            if request.deadline_ms <= now_ms:
                actions.append(self._refuse_expired(request, now_ms))
                continue
            actions.append(self._admit(backend, request))
        return actions

    def _may_run(self, backend: Backend, customer: CustomerName) -> bool:
        capacity = backend.capacity
        if backend.count_running() >= capacity:
            return False
        running = backend.running.get(customer, 0)
        declared = self._customers.get(customer)
        if declared is not None and 0 < declared.max_running <= running:
            return False
        # One customer may not use all slots. Otherwise a customer with few requests
        # would always wait for one of a flood's responses to end.
        return running < max(self._limits.max_customer_share * capacity, 1.0)

    def _admit(self, backend: Backend, request: Request) -> Admit:
        self._admitted[request.request_id] = AdmittedRequest(request)
        backend.begin(request.customer)
        return Admit(request, self._compute_priority(backend, request))

    def _compute_priority(self, backend: Backend, request: Request) -> int:
        # Dispatched requests wait in the endpoint's queue, where a flood would be ahead
        # of everyone. A customer that uses a large share of the node gets low priority
        # there; one that is merely large under normal load doesn't, as that would
        # raise its tail latency.
        running = backend.running[request.customer]
        is_over = running > max(LOW_PRIORITY_SHARE * backend.capacity, 1.0)
        return PRIORITY_RANKS[request.priority] + is_over * len(PRIORITY_RANKS)

    def _remove_waiting(self, backend: Backend, request: Request) -> None:
        backend.queue.remove(request)
        del self._waiting[request.request_id]

    def _refuse_expired(self, request: Request, now_ms: float) -> Refuse:
        text = "the deadline passed before the request could be sent"
        return self._refuse(request, ErrorKind.DEADLINE_EXCEEDED, text, now_ms)

    def _refuse(
        self, request: Request, kind: ErrorKind, text: str, now_ms: float
    ) -> Refuse:
        retry_after_ms = self.compute_retry_after(request, now_ms)
        return Refuse(request.request_id, kind, Ending.NOT_RUN, text, retry_after_ms)

    def _find_weight(self, customer: CustomerName) -> float:
        declared = self._customers.get(customer)
        return 1.0 if declared is None else max(declared.weight, 0.001)

    def _find_backend(self, name: str) -> Backend:
        backend = self._backends.get(name)
        if backend is None:
            backend = Backend(DEFAULT_MAX_RUNNING, self._limits.target_wait_ms)
            self._backends[name] = backend
        return backend


def compute_backend_name(request: Request) -> str:
    """Return the key under which a request's pool or service is stored."""
    match request.target:
        case ModelTarget(pool=pool):
            return f"pool {pool}"
        case _ as target:
            return f"service {target.service}"
