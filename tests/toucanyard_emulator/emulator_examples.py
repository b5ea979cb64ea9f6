"""Build small scenarios for the emulator's tests."""

from __future__ import annotations

import msgspec

from toucanyard_emulator.scenario import (
    CallKind,
    EngineSettings,
    Fault,
    PlainReplicaSettings,
    Scenario,
    SharedBlock,
)

ENGINES = EngineSettings(
    replicas=3,
    slots=8,
    memory_tokens=40_000,
    bytes_per_token=35_136,
    link_mbps=1_000_000.0,
    step_ms=3.0,
    step_ms_per_call=0.1,
    tokens_per_ms=90.0,
    pairs_ms_per_m=0.35,
    first_ms=20.0,
    load_ms=500.0,
)
LONG = CallKind(
    name="long",
    per_s=8.0,
    worth=2.5,
    late_worth=0.25,
    target_ms=600,
    deadline_ms=4_000,
    prompt_tokens=1_000,
    output_tokens=9,
    shared=(SharedBlock(tokens=2_000, subjects=20),),
)
READ = CallKind(
    name="read",
    per_s=8.0,
    worth=1.0,
    late_worth=0.1,
    target_ms=200,
    deadline_ms=1_000,
    max_attempts=2,
    is_repeatable=True,
    work_ms=30.0,
)


def build_scenario(*faults: Fault, **changes: object) -> Scenario:
    scenario = Scenario(
        name="small",
        length_s=8.0,
        nodes=3,
        engines=ENGINES,
        plain=PlainReplicaSettings(replicas=2, slots=4, queue=8),
        kinds=(LONG, READ),
        faults=faults,
    )
    return msgspec.structs.replace(scenario, **changes)
