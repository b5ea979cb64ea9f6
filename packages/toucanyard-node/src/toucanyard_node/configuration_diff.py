"""Compute the patch between two versions of the configuration."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

from toucanyard.configuration import (
    Configuration,
    Customer,
    Operator,
    Pool,
    Service,
)
from toucanyard.patches import Put, Remove
from toucanyard_node.operator_messages import DiffReply

T = TypeVar("T", Customer, Operator, Pool, Service)


def compute_diff(old: Configuration, new: Configuration) -> DiffReply:
    """Return the changes from `old` to `new`; rules are replaced as a whole."""
    has_same_rules = old.rules == new.rules
    put = Put(
        customers=_find_changed(old.customers, new.customers),
        operators=_find_changed(old.operators, new.operators),
        pools=_find_changed(old.pools, new.pools),
        services=_find_changed(old.services, new.services),
        rules=() if has_same_rules else new.rules,
    )
    removed_models = {rule.model for rule in old.rules} - {
        rule.model for rule in new.rules
    }
    remove = Remove(
        customers=_find_removed(old.customers, new.customers),
        operators=_find_removed(old.operators, new.operators),
        pools=_find_removed(old.pools, new.pools),
        services=_find_removed(old.services, new.services),
        rules=tuple(sorted(removed_models)),
    )
    return DiffReply(old.version, new.version, put, remove)


def _find_changed(old: Sequence[T], new: Sequence[T]) -> tuple[T, ...]:
    known = {each.name: each for each in old}
    return tuple(each for each in new if known.get(each.name) != each)


def _find_removed(old: Sequence[T], new: Sequence[T]) -> tuple[str, ...]:
    kept = {each.name for each in new}
    return tuple(each.name for each in old if each.name not in kept)
