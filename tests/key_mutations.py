"""Mutations of the at-most-once decision, one line each, and a way to apply them."""

from __future__ import annotations

import importlib
import inspect
import types
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True)
class Mutation:
    """Replace one line of one module."""

    name: str
    module: str
    line: str
    mutated: str


MUTATIONS = (
    Mutation(
        "the last claim of a key wins",
        "claims",
        "known = self._claims.get(claim.name)",
        "known = None",
    ),
    Mutation(
        "a claim is passed over while an old one is remembered",
        "claims",
        "elif self._log_now_ms - known.at_ms >= self._retention_ms:",
        "elif False:",
    ),
    Mutation(
        "claims are forgotten inside the window",
        "claims",
        "_RETENTION_WINDOWS: Final = 1.25",
        "_RETENTION_WINDOWS: Final = 0.2",
    ),
    Mutation(
        "a claim is forgotten by the log's clock alone",
        "claims",
        "if now_ms - read_ms < self._retention_ms:",
        "if now_ms < read_ms:",
    ),
    Mutation(
        "a claim past its window proves that nothing ran",
        "claims",
        "return age_ms < self._window_ms",
        "return True",
    ),
    Mutation(
        "an own claim that was given up counts as won",
        "claimed_keys",
        "elif claim.claim_id == entry.claim_id:",
        "elif claim.claimer == table.identity:",
    ),
    Mutation(
        "a claim is dispatched without having won",
        "claimed_keys",
        "elif claim.claim_id == entry.claim_id:",
        "elif entry.claim_id:",
    ),
    Mutation(
        "a dead claimer's key is reported as not run",
        "followed_keys",
        "if is_reused or claim.is_abandoned:",
        "if is_reused or claim.is_abandoned or table.is_replaced(claim.claimer):",
    ),
    Mutation(
        "a key that the witness noted is reported as not run",
        "followed_keys",
        "if message.status is LedgerStatus.REVOKED:",
        "if message.status is not LedgerStatus.GONE:",
    ),
    Mutation(
        "a witness notes a key that it has sealed",
        "backup_ledgers",
        "if status is not None:",
        "if status is wanted:",
    ),
    Mutation(
        "an issued key is dispatched before it is noted",
        "recorded_keys",
        "if backup is None:",
        "if True:",
    ),
    Mutation(
        "a key that its witness refused to note is dispatched",
        "recorded_keys",
        "if position in message.refused:",
        "if False:",
    ),
    Mutation(
        "an issued key may run again after the window",
        "recorded_keys",
        "if not table.is_in_window(issued, now_ms):",
        "if False:",
    ),
    Mutation(
        "a key is sealed as unseen after it was forgotten",
        "recorded_keys",
        "if not table.is_in_window(issued, now_ms) or table.is_full(name.customer):",
        "if table.is_full(name.customer):",
    ),
    Mutation(
        "a lost dispatch is reported as not run",
        "at_most_once",
        "if event.ending in PROVEN_NOT_RUN or",
        "if event.ending in (DispatchEnding.NOT_SENT, DispatchEnding.LOST) or",
    ),
    Mutation(
        "a dispatch cancelled after its start is reported as not run",
        "at_most_once",
        "if event.ending in PROVEN_NOT_RUN or (is_cancelled and not entry.is_started):",
        "if event.ending in PROVEN_NOT_RUN or is_cancelled:",
    ),
    Mutation(
        "the age of a key is not looked at",
        "at_most_once",
        "return age_ms + left_ms >= self._table.limits.window_ms",
        "return False",
    ),
    Mutation(
        "a key's answer goes to another body",
        "key_answers",
        "if digest and digest != event.body_digest:",
        "if False:",
    ),
    Mutation(
        "every early refusal says not run",
        "key_answers",
        "return Ending.NOT_RUN if key_age_ms == 0 else Ending.UNKNOWN",
        "return Ending.NOT_RUN",
    ),
    Mutation(
        "a try is dispatched after its deadline",
        "key_entries",
        "if attempt.body_digest == self.digest and attempt.deadline_ms > now_ms:",
        "if attempt.body_digest == self.digest:",
    ),
)

STOP_MUTATIONS = (
    Mutation(
        "a planned stop reports what is running as not run",
        "at_most_once",
        "for entry in self._table.find_entries(Phase.RECORDING):",
        "for entry in self._table.find_entries():",
    ),
    Mutation(
        "a holder reports a key that it was not handed as not run",
        "key_query_handler",
        'report = KeyReport(to, name, claim_id, KeyStatus.UNKNOWN, b"")',
        'report = KeyReport(to, name, claim_id, KeyStatus.NOT_RUN, b"")',
    ),
    Mutation(
        "a key is handed over without its body's digest",
        "transferred_keys",
        "key.claim_id, key.status, key.digest, now_ms",
        'key.claim_id, key.status, b"", now_ms',
    ),
)


@contextmanager
def apply_mutation(mutation: Mutation) -> Iterator[None]:
    """Replace the code of a module's functions by mutated code within the context."""
    original = importlib.import_module(f"toucanyard.{mutation.module}")
    assert original.__file__ is not None
    source = Path(original.__file__).read_text()
    assert source.count(mutation.line) == 1, mutation
    mutated = types.ModuleType(original.__name__)
    exec(source.replace(mutation.line, mutation.mutated), mutated.__dict__)
    constants = {
        name: value
        for name, value in vars(original).items()
        if isinstance(value, (float, frozenset))
    }
    pairs = list(_find_functions(original, mutated))
    saved = [function.__code__ for function, _ in pairs]
    vars(original).update({name: vars(mutated)[name] for name in constants})
    for function, replacement in pairs:
        function.__code__ = replacement.__code__
    try:
        yield
    finally:
        vars(original).update(constants)
        for (function, _), code in zip(pairs, saved, strict=True):
            function.__code__ = code


def _find_functions(
    original: types.ModuleType, mutated: types.ModuleType
) -> Iterator[tuple[types.FunctionType, types.FunctionType]]:
    for name, value in vars(original).items():
        if getattr(value, "__module__", "") != original.__name__:
            continue
        if inspect.isfunction(value):
            yield value, vars(mutated)[name]
        elif inspect.isclass(value):
            yield from _find_methods(value, vars(mutated)[name])


def _find_methods(
    original: type, mutated: type
) -> Iterator[tuple[types.FunctionType, types.FunctionType]]:
    for name, member in vars(original).items():
        is_generated = name in ("__init__", "__eq__", "__repr__")
        if inspect.isfunction(member) and not is_generated:
            yield member, vars(mutated)[name]
