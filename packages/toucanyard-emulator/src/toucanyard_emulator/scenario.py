"""Define scenarios and load them from files with full validation.

A scenario file is TOML. Durations end in `_ms` or `_s`, sizes in `_tokens`; an unknown
field, a wrong type or a value out of range is an error that names file and field.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Final

import msgspec

_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NonNegative = Annotated[float, msgspec.Meta(ge=0)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=40)]


class _StrictTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of a scenario file; unknown fields are rejected."""


class Contention(_StrictTable, frozen=True, kw_only=True):
    """Engines share their machines with other work, which slows them down at times."""

    share: _Share
    """Share of the time in which an engine is slowed down."""
    factor: _Positive
    """How much longer its work takes then."""
    interval_ms: _Positive
    """Time after which it is drawn again whether an engine is slowed down."""


class EngineSettings(_StrictTable, frozen=True, kw_only=True):
    """The capacity and speed of each engine of the pool."""

    replicas: _PositiveInt
    slots: _PositiveInt
    memory_tokens: _PositiveInt
    bytes_per_token: _PositiveInt
    link_mbps: _Positive
    step_ms: _Positive
    """Base duration of a step."""
    step_ms_per_call: _NonNegative
    tokens_per_ms: _Positive
    """Prompt tokens that are prefilled per millisecond."""
    pairs_ms_per_m: _NonNegative
    """Time per million pairs of prompt tokens: the quadratic cost of attention."""
    chunk_tokens: _PositiveInt = 4_096
    """Maximum number of prompt tokens that are prefilled in one step."""
    first_ms: _NonNegative = 0.0
    """Time from the first token to the first event."""
    tokens_per_event: _PositiveInt = 6
    load_ms: _Positive = 1_000.0
    """Time to load weights."""
    loads_at_once: _PositiveInt = 2
    """Concurrent loads above this number slow each other down."""
    events_lag_ms: _NonNegative = 80.0
    events_loss: _Share = 0.01
    speeds: tuple[_Positive, ...] = (1.0,)
    """Speeds of the engines, assigned in turn."""
    contention: Contention | None = None


class PlainReplicaSettings(_StrictTable, frozen=True, kw_only=True):
    """Replicas that run no model."""

    replicas: _PositiveInt
    slots: _PositiveInt
    queue: _NonNegativeInt


class PromptStoreSettings(_StrictTable, frozen=True, kw_only=True):
    """A store that caches prompt blocks outside of the engines."""

    memory_tokens: _PositiveInt
    link_mbps: _Positive


class SharedBlock(_StrictTable, frozen=True, kw_only=True):
    """A prompt block that is shared by all calls on one of a number of subjects."""

    tokens: _PositiveInt
    subjects: _PositiveInt


class CallKind(_StrictTable, frozen=True, kw_only=True):
    """A kind of call; it has a prompt if `prompt_tokens` is set."""

    name: _Name
    per_s: _Positive
    worth: _Positive
    late_worth: _NonNegative
    target_ms: _PositiveInt
    deadline_ms: _PositiveInt
    rank: _NonNegativeInt = 1
    max_attempts: _PositiveInt = 1
    is_repeatable: bool = False
    caller_retries: _NonNegativeInt = 1
    prompt_tokens: _NonNegativeInt = 0
    """Mean size of the prompt block that is not shared."""
    output_tokens: _NonNegativeInt = 0
    max_gap_ms: _PositiveInt = 400
    shared: tuple[SharedBlock, ...] = ()
    work_ms: _NonNegative = 0.0
    """Mean service time of a plain call."""


class Prices(_StrictTable, frozen=True, kw_only=True):
    """Prices that are deducted from the worth of a run."""

    load: _NonNegative = 0.0
    order: _NonNegative = 0.0
    reread_per_1k_tokens: _NonNegative = 0.0
    connection: _NonNegative = 0.0
    store_call: _NonNegative = 0.0
    moved_gb: _NonNegative = 0.0
    old_weights_share: _Share = 0.2
    """Share of a call's worth that is deducted if it starts on outdated weights."""
    old_after_ms: _NonNegative = 1_500.0


class Objective(_StrictTable, frozen=True, kw_only=True):
    """Weights of the components of the worth of a run; they add up to one."""

    whole: _Share = 0.35
    windows: _Share = 0.5
    kinds: _Share = 0.15


class Crash(_StrictTable, frozen=True, kw_only=True, tag="crash"):
    """Replicas crash and restart with an empty cache."""

    at_s: _NonNegative
    for_s: _NonNegative
    count: _PositiveInt = 1
    is_silent: bool = False
    """While down, they do not respond at all instead of refusing connections."""
    keeps_id: bool = False
    """They restart under the same id."""


class GrayFailure(_StrictTable, frozen=True, kw_only=True, tag="grey"):
    """Gray failure: replicas do not respond to a share of their calls."""

    at_s: _NonNegative
    for_s: _NonNegative
    count: _PositiveInt = 1
    share: _Share = 0.45


class Slowdown(_StrictTable, frozen=True, kw_only=True, tag="slow"):
    """Replicas slow down by a factor."""

    at_s: _NonNegative
    for_s: _NonNegative
    count: _PositiveInt = 1
    factor: _Positive = 4.0


class ScaleIn(_StrictTable, frozen=True, kw_only=True, tag="scale_in"):
    """Replicas drain and are removed."""

    at_s: _NonNegative
    count: _PositiveInt = 1


class ScaleOut(_StrictTable, frozen=True, kw_only=True, tag="scale_out"):
    """Replicas with an empty cache are added."""

    at_s: _NonNegative
    count: _PositiveInt = 1


class NewWeights(_StrictTable, frozen=True, kw_only=True, tag="new_weights"):
    """Operators set a new target version of the weights."""

    at_s: _NonNegative


class LateOrders(_StrictTable, frozen=True, kw_only=True, tag="late_orders"):
    """A share of the orders gets no response and is applied late."""

    at_s: _NonNegative
    for_s: _NonNegative
    share: _Share = 0.5


class StoreDown(_StrictTable, frozen=True, kw_only=True, tag="store_down"):
    """The platform's store does not respond to some or all nodes."""

    at_s: _NonNegative
    for_s: _NonNegative
    nodes: _NonNegativeInt = 0
    """Number of affected nodes; 0 for all."""


class StoreRestored(_StrictTable, frozen=True, kw_only=True, tag="store_restored"):
    """The platform's store is away and comes back from a copy taken at `at_s`."""

    at_s: _NonNegative
    lost_s: _NonNegative
    """Time from the copy until the store is away; what is written then is lost."""
    for_s: _NonNegative = 1.0
    again_s: _NonNegative = 1.0
    """Time from its return until operators and replicas have written again."""


class NodesKilled(_StrictTable, frozen=True, kw_only=True, tag="nodes_killed"):
    """Nodes are killed and restart without state."""

    at_s: _NonNegative
    for_s: _NonNegative
    count: _NonNegativeInt = 0
    """Number of nodes; 0 for all."""


class Burst(_StrictTable, frozen=True, kw_only=True, tag="burst"):
    """The arrival rate is multiplied by a factor."""

    at_s: _NonNegative
    for_s: _NonNegative
    factor: _Positive = 1.7


class HotSubject(_StrictTable, frozen=True, kw_only=True, tag="hot_subject"):
    """A share of the calls of a kind is on the same subject."""

    at_s: _NonNegative
    for_s: _NonNegative
    kind: _Name
    share: _Share = 0.25


class CrashingRequest(_StrictTable, frozen=True, kw_only=True, tag="crashing_request"):
    """A request is repeated and crashes each engine that starts to run it.

    `has_block`: instead, requests of which no two are alike share one prompt block.
    """

    at_s: _NonNegative
    for_s: _NonNegative
    kind: _Name
    every_s: _Positive = 0.3
    after_ms: _NonNegative = 60.0
    """Time from its first token to the crash of the engine."""
    back_s: _Positive = 3.0
    """Time from the crash to the restart of the engine."""
    has_block: bool = False


Fault = (
    Crash
    | GrayFailure
    | Slowdown
    | ScaleIn
    | ScaleOut
    | NewWeights
    | LateOrders
    | StoreDown
    | StoreRestored
    | NodesKilled
    | Burst
    | HotSubject
    | CrashingRequest
)


class Scenario(_StrictTable, frozen=True, kw_only=True):
    """A complete scenario: nodes, replicas, calls, prices and faults."""

    name: _Name
    length_s: _Positive
    nodes: _PositiveInt
    domains: _PositiveInt = 3
    near_ms: _NonNegative = 0.1
    far_ms: _NonNegative = 0.9
    """One-way latency between failure domains."""
    caller_ms: _NonNegative = 1.0
    wave_share: _Share = 0.15
    wave_s: _Positive = 11.0
    weights_deadline_ms: _PositiveInt = 12_000
    start_ms: _NonNegative = 350.0
    """Time from the start of a node until it accepts calls."""
    engines: EngineSettings
    plain: PlainReplicaSettings
    prompt_store: PromptStoreSettings | None = None
    kinds: tuple[CallKind, ...]
    prices: Prices = Prices()
    goal: Objective = Objective()
    faults: tuple[Fault, ...] = ()


class InvalidScenarioError(Exception):
    """A scenario is invalid; the message names the file, the field and the reason."""


_EXTENDS: Final = "extends"
_SCENARIO_DIRECTORY: Final = Path(__file__).parent / "scenarios"


def list_scenarios() -> list[Path]:
    """Return the scenario files that are included in the package."""
    return sorted(
        file
        for file in _SCENARIO_DIRECTORY.glob("*.toml")
        if not file.name.startswith("_")
    )


def find_scenario(name: str) -> Path:
    """Return the file of a scenario, given its name in the package or its path."""
    own = _SCENARIO_DIRECTORY / f"{name}.toml"
    return own if own.exists() else Path(name)


def load_scenario(file: Path) -> Scenario:
    """Load a scenario from a file, or raise InvalidScenarioError."""
    table = _read_table(file, depth=0)
    try:
        scenario = msgspec.convert(table, Scenario)
    except msgspec.ValidationError as error:
        raise InvalidScenarioError(f"{file}: {error}") from error
    _validate(file, scenario)
    return scenario


def _read_table(file: Path, depth: int) -> dict[str, object]:
    """Return the table of a file, merged over the table of the file it extends."""
    try:
        table = tomllib.loads(file.read_text("utf-8"))
    except OSError as error:
        raise InvalidScenarioError(f"{file}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidScenarioError(f"{file}: {error}") from error
    base = table.pop(_EXTENDS, None)
    if base is None:
        return table
    if not isinstance(base, str) or depth > 3:
        raise InvalidScenarioError(f"{file}: {_EXTENDS}: names no file to build on")
    return _read_table(file.parent / base, depth + 1) | table


def _validate(file: Path, scenario: Scenario) -> None:
    """Check constraints that span several fields."""
    names = [kind.name for kind in scenario.kinds]
    if not names:
        raise InvalidScenarioError(f"{file}: kinds: there is none")
    if len(set(names)) < len(names):
        raise InvalidScenarioError(f"{file}: kinds: a name stands twice")
    for number, kind in enumerate(scenario.kinds):
        if not kind.prompt_tokens and not kind.work_ms:
            text = f"kinds[{number}]: neither prompt_tokens nor work_ms is set"
            raise InvalidScenarioError(f"{file}: {text}")
    for number, fault in enumerate(scenario.faults):
        if fault.at_s > scenario.length_s:
            text = f"faults[{number}].at_s: it comes after the end"
            raise InvalidScenarioError(f"{file}: {text}")
        if isinstance(fault, HotSubject | CrashingRequest) and fault.kind not in names:
            text = f"faults[{number}].kind: no such kind, {fault.kind}"
            raise InvalidScenarioError(f"{file}: {text}")
