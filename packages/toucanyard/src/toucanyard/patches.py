"""Apply an operator's patch to a configuration and validate the result.

Every node replays the same patches, so nothing here may depend on settings, time or
the node: limits are constants, and a patch to a given configuration has the same
result on every node.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import Final, TypeVar

import msgspec

from toucanyard.configuration import (
    Configuration,
    Customer,
    Endpoint,
    Operator,
    Pool,
    Rule,
    Service,
)

T = TypeVar("T", Customer, Operator, Pool, Service, Endpoint)

MAX_PATCH_BYTES: Final = 262_144
MAX_CONFIGURATION_BYTES: Final = 4_000_000
_MAX_NUMBER: Final = 10**9
_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
_KEY_HASH: Final = re.compile(r"[0-9a-f]{64}")
_ADDRESS: Final = re.compile(r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}")


class PutEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An endpoint and the pool or service that it belongs to."""

    of: str
    endpoint: Endpoint


class Put(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Objects that a patch adds or, if the name exists, replaces."""

    customers: tuple[Customer, ...] = ()
    operators: tuple[Operator, ...] = ()
    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    rules: tuple[Rule, ...] = ()
    endpoints: tuple[PutEndpoint, ...] = ()


class Remove(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Names of the objects that a patch removes; a rule is named by its model."""

    customers: tuple[str, ...] = ()
    operators: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    rules: tuple[str, ...] = ()
    endpoints: tuple[str, ...] = ()


class Patch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change to a numbered version, with an id by which to look up its result."""

    patch_id: str
    base: int
    author: str = ""
    put: Put = Put()
    remove: Remove = Remove()


class PatchInvalidError(Exception):
    """A patch can't be applied; the text is shown to the operator."""


def apply_patch(configuration: Configuration, patch: Patch) -> Configuration:
    """Return the next version; raise PatchInvalidError if the patch is invalid."""
    put, remove = patch.put, patch.remove
    result = Configuration(
        version=configuration.version + 1,
        customers=_merge(configuration.customers, put.customers, remove.customers),
        operators=_merge(configuration.operators, put.operators, remove.operators),
        pools=_merge(configuration.pools, put.pools, remove.pools),
        services=_merge(configuration.services, put.services, remove.services),
        rules=_merge_rules(configuration.rules, put.rules, remove.rules),
    )
    result = _merge_endpoints(result, put.endpoints, remove.endpoints)
    check_configuration(result)
    if configuration.operators and not result.operators:
        raise PatchInvalidError("the last operator can't be removed")
    return result


def check_configuration(configuration: Configuration) -> None:
    """Raise PatchInvalidError if a configuration is inconsistent."""
    _check_names("customer", [each.name for each in configuration.customers])
    _check_names("operator", [each.name for each in configuration.operators])
    owners = find_owners(configuration)
    _check_names("pool or service", [owner.name for owner in owners])
    _check_keys(configuration)
    _check_endpoints(configuration)
    _check_rules(configuration)
    _check_numbers(configuration)
    if len(msgspec.json.encode(configuration)) > MAX_CONFIGURATION_BYTES:
        raise PatchInvalidError(
            f"found a configuration of more than {MAX_CONFIGURATION_BYTES} bytes"
        )


def find_owners(configuration: Configuration) -> list[Pool | Service]:
    """Return the pools and services, which have endpoints."""
    return [*configuration.pools, *configuration.services]


def list_endpoints(configuration: Configuration) -> list[Endpoint]:
    """Return the endpoints of all pools and services."""
    return [
        endpoint for owner in find_owners(configuration) for endpoint in owner.endpoints
    ]


def _merge(
    present: Sequence[T], put: Sequence[T], removed: Sequence[str]
) -> tuple[T, ...]:
    merged: dict[str, T] = {each.name: each for each in present}
    for name in removed:
        if name not in merged:
            raise PatchInvalidError(f"found no {name!r} to remove")
        del merged[name]
    for each in put:
        merged[each.name] = each
    return tuple(merged.values())


def _merge_rules(
    present: Sequence[Rule], put: Sequence[Rule], removed: Sequence[str]
) -> tuple[Rule, ...]:
    for model in removed:
        if all(rule.model != model for rule in present):
            raise PatchInvalidError(f"found no rule for {model!r} to remove")
    kept = [rule for rule in present if rule.model not in removed]
    merged = {(rule.model, rule.customers): rule for rule in [*kept, *put]}
    # The first matching rule applies, so a rule for all customers must come after
    # those for some customers; otherwise it would shadow them.
    return tuple(sorted(merged.values(), key=lambda rule: not rule.customers))


def _merge_endpoints(
    configuration: Configuration, put: Sequence[PutEndpoint], removed: Sequence[str]
) -> Configuration:
    if not put and not removed:
        return configuration
    owners = find_owners(configuration)
    unknown = {each.of for each in put} - {owner.name for owner in owners}
    if unknown:
        raise PatchInvalidError(f"found no pool or service {min(unknown)!r}")
    present = {each.name for owner in owners for each in owner.endpoints}
    absent = set(removed) - present
    if absent:
        raise PatchInvalidError(f"found no {min(absent)!r} to remove")

    def merge(owner: Pool | Service) -> tuple[Endpoint, ...]:
        length_group_names = {endpoint.name for endpoint in owner.endpoints}
        return _merge(
            owner.endpoints,
            [each.endpoint for each in put if each.of == owner.name],
            [name for name in removed if name in length_group_names],
        )

    return msgspec.structs.replace(
        configuration,
        pools=tuple(
            msgspec.structs.replace(pool, endpoints=merge(pool))
            for pool in configuration.pools
        ),
        services=tuple(
            msgspec.structs.replace(service, endpoints=merge(service))
            for service in configuration.services
        ),
    )


def _check_names(kind: str, names: Sequence[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if not _NAME.fullmatch(name):
            raise PatchInvalidError(f"found {name!r}, expected a {kind}'s name")
        if name in seen:
            raise PatchInvalidError(f"found {kind} {name!r} twice")
        seen.add(name)


def _check_keys(configuration: Configuration) -> None:
    seen: set[str] = set()
    owners: list[Customer | Operator] = [*configuration.customers]
    owners += configuration.operators
    for owner in owners:
        for key_hash in owner.key_hashes:
            if not _KEY_HASH.fullmatch(key_hash):
                raise PatchInvalidError(
                    f"found a key of {owner.name!r} that is no SHA-256 in hexadecimal"
                )
            if key_hash in seen:
                raise PatchInvalidError(f"found a key of {owner.name!r} twice")
            seen.add(key_hash)


def _check_endpoints(configuration: Configuration) -> None:
    names: list[str] = []
    addresses: set[str] = set()
    for owner in find_owners(configuration):
        for endpoint in owner.endpoints:
            names.append(endpoint.name)
            if not _ADDRESS.fullmatch(endpoint.address):
                raise PatchInvalidError(
                    f"found {endpoint.address!r}, expected IP number and port"
                )
            if endpoint.address in addresses:
                raise PatchInvalidError(f"found address {endpoint.address!r} twice")
            addresses.add(endpoint.address)
    _check_names("endpoint", names)


def _check_rules(configuration: Configuration) -> None:
    pools = {pool.name for pool in configuration.pools}
    customers = {customer.name for customer in configuration.customers}
    for rule in configuration.rules:
        _check_names("model", [rule.model])
        if rule.pool not in pools:
            raise PatchInvalidError(f"found no pool {rule.pool!r} for {rule.model!r}")
        unknown = set(rule.customers) - customers
        if unknown:
            raise PatchInvalidError(
                f"found no customer {min(unknown)!r} for {rule.model!r}"
            )


def _check_numbers(configuration: Configuration) -> None:
    for customer in configuration.customers:
        is_weighed = 0 < customer.weight <= 1_000
        if not is_weighed or not 0 <= customer.max_running <= _MAX_NUMBER:
            raise PatchInvalidError(f"found numbers of {customer.name!r} out of range")
    for pool in configuration.pools:
        placement = pool.placement
        least = min(
            placement.prefill_ms_per_block,
            placement.recompute_price,
            placement.candidates - 1,
            placement.max_running - 1,
        )
        most = max(
            placement.prefill_ms_per_block,
            placement.recompute_price,
            placement.candidates,
            placement.max_running,
        )
        # The negated comparisons reject NaN, which compares false with everything. A
        # number too large for a float would raise at each replay on every node.
        if not least >= 0 or not most <= _MAX_NUMBER:
            raise PatchInvalidError(f"found placement of {pool.name!r} out of range")
    for service in configuration.services:
        if not 1 <= service.max_running <= _MAX_NUMBER:
            raise PatchInvalidError(
                f"found max_running of {service.name!r} out of range"
            )
