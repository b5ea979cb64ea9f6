"""Queue requests fairly across customers, and by class within one customer.

Start-time fair queueing: each customer has a virtual time that advances by the cost of
its served requests divided by its weight, and the customer with the lowest goes next.
For two customers that both have queued requests, the difference in weighted cost stays
below one largest request of each, however many requests either has sent.
"""

from __future__ import annotations

import heapq
from typing import Final

from toucanyard.configuration import PriorityClass
from toucanyard.names import CustomerName, RequestId
from toucanyard.requests import ModelTarget, Request

PRIORITY_RANKS: Final[dict[PriorityClass, int]] = {
    priority: rank for rank, priority in enumerate(PriorityClass)
}
PROMPT_BYTES_PER_UNIT: Final = 16_384
TOKENS_PER_UNIT: Final = 128


def compute_cost(request: Request) -> float:
    """Return the cost that a request is charged to its customer."""
    match request.target:
        case ModelTarget(prompt_bytes=prompt_bytes, max_tokens=max_tokens):
            by_prompt = min(prompt_bytes / PROMPT_BYTES_PER_UNIT, 4.0)
            return 1.0 + by_prompt + min(max_tokens / TOKENS_PER_UNIT, 4.0)
        case _:
            return 1.0


class CustomerQueue:
    """Queued requests of one customer, most urgent class, then earliest deadline."""

    __slots__ = ("_heap", "_order", "finish", "waiting", "weight")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.finish = 0.0
        self.waiting: dict[RequestId, Request] = {}
        self._heap: list[tuple[int, float, int, Request]] = []
        self._order = 0

    def push(self, request: Request) -> None:
        """Add one request."""
        self._order += 1
        rank = PRIORITY_RANKS[request.priority]
        entry = (rank, request.deadline_ms, self._order, request)
        heapq.heappush(self._heap, entry)
        self.waiting[request.request_id] = request

    def find_first(self) -> Request | None:
        """Return the request that is next in order."""
        heap = self._heap
        while heap and heap[0][3].request_id not in self.waiting:
            heapq.heappop(heap)
        return heap[0][3] if heap else None

    def find_last(self) -> Request | None:
        """Return the request that is last in order."""
        entries = (each for each in self._heap if each[3].request_id in self.waiting)
        last = max(entries, default=None, key=lambda entry: entry[:3])
        return None if last is None else last[3]

    def remove(self, request_id: RequestId) -> Request | None:
        """Remove one request, wherever it is in the queue."""
        removed = self.waiting.pop(request_id, None)
        if len(self._heap) > 2 * len(self.waiting) + 16:
            self._heap = [
                each for each in self._heap if each[3].request_id in self.waiting
            ]
            heapq.heapify(self._heap)
        return removed


class FairQueue:
    """Requests queued for one pool or service, across all customers."""

    __slots__ = ("_customers", "_length", "_virtual")

    def __init__(self) -> None:
        self._customers: dict[CustomerName, CustomerQueue] = {}
        self._virtual = 0.0
        self._length = 0

    def __len__(self) -> int:
        """Return how many requests are queued."""
        return self._length

    def count(self, customer: CustomerName) -> int:
        """Return how many requests of a customer are queued."""
        queue = self._customers.get(customer)
        return 0 if queue is None else len(queue.waiting)

    def push(self, request: Request, weight: float) -> None:
        """Add one request with its customer's current weight."""
        queue = self._find_queue(request.customer, weight)
        queue.push(request)
        self._length += 1

    def charge(self, request: Request, weight: float) -> None:
        """Charge a customer for a request that bypassed the queue."""
        self._charge(self._find_queue(request.customer, weight), request)

    def pop(self, may_run: set[CustomerName] | None = None) -> Request | None:
        """Remove and return the next request, optionally of these customers only."""
        best: CustomerQueue | None = None
        best_start = 0.0
        for name, queue in self._customers.items():
            if not queue.waiting or (may_run is not None and name not in may_run):
                continue
            start = max(queue.finish, 0.0)
            if best is None or start < best_start:
                best, best_start = queue, start
        request = None if best is None else best.find_first()
        if best is None or request is None:
            return None
        best.remove(request.request_id)
        self._length -= 1
        self._virtual = max(self._virtual, best_start)
        self._charge(best, request)
        return request

    def remove(self, request: Request) -> bool:
        """Remove one request; return False if it is not queued here."""
        queue = self._customers.get(request.customer)
        if queue is None or queue.remove(request.request_id) is None:
            return False
        self._length -= 1
        return True

    def find_customers(self) -> list[CustomerName]:
        """Return the customers that have queued requests."""
        return [name for name, queue in self._customers.items() if queue.waiting]

    def find_expired(self, now_ms: float) -> list[Request]:
        """Return queued requests whose deadline has passed."""
        return [
            request
            for queue in self._customers.values()
            for request in queue.waiting.values()
            if request.deadline_ms <= now_ms
        ]

    def find_surplus(self) -> Request | None:
        """Return the last request of the customer with most queued for its weight."""
        queues = [queue for queue in self._customers.values() if queue.waiting]
        if not queues:
            return None
        longest = max(queues, key=lambda queue: len(queue.waiting) / queue.weight)
        return longest.find_last()

    def _find_queue(self, customer: CustomerName, weight: float) -> CustomerQueue:
        queue = self._customers.get(customer)
        if queue is None:
            queue = CustomerQueue(weight)
            self._customers[customer] = queue
        queue.weight = weight
        if not queue.waiting:
            # A customer that was idle starts at the current virtual time. If unused
            # capacity were saved up, the customer could starve the others later.
            queue.finish = max(queue.finish, self._virtual)
        return queue

    def _charge(self, queue: CustomerQueue, request: Request) -> None:
        queue.finish += compute_cost(request) / queue.weight
