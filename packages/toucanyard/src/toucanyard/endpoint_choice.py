"""Choose a usable, untried, available and well-placed endpoint for an attempt.

Combines the endpoint directory, admission limits and placement for the request flow.
The usual path does no work per endpoint of a pool; candidates are listed one by one
only if the best one is full or the request has been tried before.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from toucanyard.admission import Admission, compute_backend_name
from toucanyard.configuration import Configuration, Endpoint, Pool, Service
from toucanyard.endpoint_directory import EndpointDirectory
from toucanyard.names import Address, EndpointName
from toucanyard.patches import find_owners
from toucanyard.placement import Placed, Placement
from toucanyard.requests import ModelTarget, Request, ServiceTarget


class Limits(msgspec.Struct, frozen=True):
    """Restrictions on the endpoint of one attempt of a request."""

    tried: tuple[EndpointName, ...] = ()
    weights_version: str | None = None
    """Weights version on which the answer was started; None if any version will do."""


class Choice(msgspec.Struct, frozen=True):
    """The chosen endpoint, its address and the reasons."""

    placed: Placed
    address: Address


class EndpointChoice:
    """Chooses endpoints under the current configuration.

    Invariant: `choose` returns only endpoints that the directory considers usable.
    """

    def __init__(
        self, admission: Admission, placement: Placement, directory: EndpointDirectory
    ) -> None:
        self._admission = admission
        self._placement = placement
        self._directory = directory
        self._configuration = Configuration()
        self._addresses: dict[EndpointName, Address] = {}
        self._reported_usable: dict[str, Sequence[Endpoint]] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use this configuration from now on."""
        self._configuration = configuration
        self._reported_usable.clear()
        addresses = {
            endpoint.name: endpoint.address
            for owner in find_owners(configuration)
            for endpoint in owner.endpoints
        }
        # A name that is new in this configuration may have belonged to a removed
        # endpoint, whose late messages may have created a view again. At startup there
        # is no previous configuration: the snapshot described endpoints before it
        # arrived.
        before = self._addresses or addresses
        same = addresses.keys() & before.keys()
        self._placement.retain_endpoints(same)
        self._directory.retain(same)
        self._addresses = addresses

    def find_pool(self, request: Request) -> Pool | None:
        """Return the pool that a model request goes to."""
        owner = self._find_owner(request)
        return owner if isinstance(owner, Pool) else None

    def report_usable(self, request: Request, now_ms: float) -> None:
        """Report to admission which endpoints may run requests like this one."""
        usable = self._find_usable(request, now_ms)
        backend = compute_backend_name(request)
        if self._reported_usable.get(backend) is usable:
            return
        self._reported_usable[backend] = usable
        self._admission.apply_usable(request, [each.name for each in usable])

    def choose(self, request: Request, limits: Limits, now_ms: float) -> Choice | None:
        """Return the best endpoint for an attempt, or None if there is none."""
        if limits == Limits():
            placed = self._place(request, self._find_usable(request, now_ms), now_ms)
            if placed is None or self._has_capacity(request, placed):
                return self._build(placed)
        candidates = self.list_candidates(request, limits, now_ms)
        return self._build(self._place(request, candidates, now_ms))

    def list_candidates(
        self, request: Request, limits: Limits, now_ms: float
    ) -> list[Endpoint]:
        """Return the usable endpoints within limits; full ones only if all are full."""
        usable = self._find_usable(request, now_ms)
        names = [each.name for each in usable]
        open_names = self._admission.find_open(request, names) or names
        allowed = set(open_names).difference(limits.tried)
        return [
            each
            for each in usable
            if each.name in allowed
            and self._may_have_weights(each.name, limits.weights_version)
        ]

    def _place(
        self, request: Request, candidates: Sequence[Endpoint], now_ms: float
    ) -> Placed | None:
        owner = self._find_owner(request)
        if isinstance(owner, Pool):
            return self._placement.choose(request, owner, candidates, now_ms)
        if isinstance(owner, Service):
            return self._placement.choose_service(request, owner, candidates, now_ms)
        return None

    def _has_capacity(self, request: Request, placed: Placed) -> bool:
        return bool(self._admission.find_open(request, [placed.endpoint]))

    def _build(self, placed: Placed | None) -> Choice | None:
        if placed is None:
            return None
        return Choice(placed, self._addresses[placed.endpoint])

    def _find_usable(self, request: Request, now_ms: float) -> Sequence[Endpoint]:
        owner = self._find_owner(request)
        endpoints = () if owner is None else owner.endpoints
        return self._directory.find_usable(endpoints, now_ms)

    def _find_owner(self, request: Request) -> Pool | Service | None:
        match request.target:
            case ModelTarget(pool=name):
                return self._configuration.find_pool(name)
            case ServiceTarget(service=service_name):
                return self._configuration.find_service(service_name)

    def _may_have_weights(self, endpoint: EndpointName, wanted: str | None) -> bool:
        # An endpoint that has not reported yet may have them; if not, it refuses the
        # request.
        return wanted is None or self._directory.find_weights(endpoint) in (
            wanted,
            None,
        )
