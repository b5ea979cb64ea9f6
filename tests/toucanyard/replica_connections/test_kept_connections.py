from __future__ import annotations

from toucanyard.names import EndpointName
from toucanyard.relay_options import ConnectionOptions
from toucanyard.replica_connections.kept_connections import (
    MAX_PER_REPLICA,
    USE_MARGIN_MS,
    KeptConnections,
)
from toucanyard.requests import Repeatability

from ..relay_examples import build_request

A, B = EndpointName("a"), EndpointName("b")
IDLE_MS = 5_000.0
ONCE = build_request("once", repeatability=Repeatability.RUN_ONCE)
AGAIN = build_request("again", repeatability=Repeatability.REPEATABLE)


def build(*kept: EndpointName, is_kept: bool = True) -> KeptConnections:
    connections = KeptConnections(ConnectionOptions(is_kept, IDLE_MS))
    for name in kept:
        connections.record_kept(name, 0.0)
    return connections


def test_calls_that_run_once_use_no_kept_connection() -> None:
    """The replica closes an idle connection as the call is written to it."""
    connections = build(A)
    assert not connections.may_use(ONCE)
    assert not connections.find_replicas(ONCE, 0.0)
    assert set(connections.find_replicas(AGAIN, 0.0)) == {A}


def test_nothing_is_kept_unless_the_settings_say_so() -> None:
    """Other deployments open a connection for each call as before."""
    connections = build(is_kept=False)
    assert not connections.may_use(AGAIN)
    assert not connections.may_keep(A, 500, 1, 0.0)


def test_connection_is_taken_once() -> None:
    connections = build(A)
    assert connections.take(A, 1.0)
    assert not connections.take(A, 1.0)
    assert not connections.find_replicas(AGAIN, 1.0)


def test_connection_that_is_about_to_be_closed_is_not_used() -> None:
    """The pool closes it between the decision and the send."""
    connections = build(A)
    assert connections.find_replicas(AGAIN, IDLE_MS - USE_MARGIN_MS - 1.0)
    assert not connections.find_replicas(AGAIN, IDLE_MS - USE_MARGIN_MS)
    assert not connections.take(A, IDLE_MS - USE_MARGIN_MS)


def test_all_nodes_together_keep_a_share_of_what_a_replica_accepts() -> None:
    """Hundreds of nodes keep connections to each replica, which resets the rest."""
    connections = build()
    assert connections.may_keep(A, 560, 72, 0.0)
    assert connections.may_keep(A, 560, 320, 0.0)
    assert not connections.may_keep(A, 560, 400, 0.0)
    assert not connections.may_keep(A, 0, 1, 0.0)
    full = build(*[A] * MAX_PER_REPLICA)
    assert not full.may_keep(A, 560, 1, 0.0)
    assert full.may_keep(A, 560, 1, IDLE_MS)


def test_connections_to_a_failed_or_removed_replica_are_forgotten() -> None:
    """A replica crashes while the node holds connections to it."""
    connections = build(A, B)
    connections.forget(A)
    assert set(connections.find_replicas(AGAIN, 0.0)) == {B}
    connections.retain([A])
    assert not connections.find_replicas(AGAIN, 0.0)
