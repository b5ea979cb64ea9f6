from __future__ import annotations

from toucanyard.failed_loads import (
    HALT_MS,
    MAX_FAILED_LOADS,
    FailedLoad,
    FailedLoads,
)
from toucanyard.names import DomainName, EndpointName

D0, D1 = DomainName("d0"), DomainName("d1")


def build_failures(*domains: DomainName) -> FailedLoads:
    """Return replicas that were ordered to load at 0 and crashed 400 ms later."""
    failures = FailedLoads()
    for number, domain in enumerate(domains):
        failure = FailedLoad(EndpointName(f"r{number}"), domain, 0.0, 400.0)
        assert failures.record_failed(2, failure)
    return failures


def test_crashes_of_one_domain_at_one_moment_lead_to_a_trial_only() -> None:
    """Guards against a halt by the crash of a domain in which all that load are."""
    failures = build_failures(*[D0] * 12)
    assert not failures.is_halted(2, 500.0)
    assert failures.is_on_trial(2)


def test_crash_of_the_trial_halts_the_version() -> None:
    failures = build_failures(*[D0] * MAX_FAILED_LOADS)
    failures.record_failed(2, FailedLoad(EndpointName("s"), D1, 500.0, 900.0))
    assert failures.is_halted(2, 900.0)
    assert failures.is_halted(2, 899.0 + HALT_MS)
    assert not failures.is_halted(2, 900.0 + HALT_MS)


def test_loaded_version_is_neither_halted_nor_on_trial() -> None:
    failures = build_failures(D0, D0, D1)
    assert failures.is_halted(2, 500.0)
    failures.forget(2)
    assert not failures.is_halted(2, 500.0)
    assert not failures.is_on_trial(2)


def test_crash_beside_one_that_does_not_load_is_not_due_to_the_weights() -> None:
    failures = build_failures(D0, D0, D1, D1)
    assert failures.is_halted(2, 500.0)
    failures.record_ended(EndpointName("s"), D0, 900.0)
    assert not failures.is_halted(2, 1_000.0)
    assert failures.is_on_trial(2)
    failures.record_failed(2, FailedLoad(EndpointName("r4"), D1, 1_000.0, 1_400.0))
    assert failures.is_halted(2, 1_500.0)


def test_end_of_a_replica_that_stays_listed_explains_no_later_crash() -> None:
    """Guards against a dead replica that is asked again and excuses bad weights."""
    failures = FailedLoads()
    for step in range(20):
        failures.record_ended(EndpointName("s"), D0, step * 500.0)
    for number in range(MAX_FAILED_LOADS):
        at_ms = 5_000.0 + number * 500.0
        name = EndpointName(f"r{number}")
        failures.record_failed(2, FailedLoad(name, D0, at_ms - 100.0, at_ms))
    assert failures.is_halted(2, 7_000.0)


def test_replica_that_failed_to_load_is_no_witness_of_its_own_crash() -> None:
    """Guards against bad weights that are excused by the replicas which they ended."""
    failures = build_failures(D0, D0, D1)
    for number in range(MAX_FAILED_LOADS):
        failures.record_ended(EndpointName(f"r{number}"), D0, 600.0)
    assert failures.is_halted(2, 700.0)
