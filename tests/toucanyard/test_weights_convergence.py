from __future__ import annotations

import random
from collections.abc import Callable

from hypothesis import given, settings, strategies as st

from toucanyard.names import NodeName

from .relay_examples import MODEL
from .weights_fleet import LOAD_MS, WeightsEngine, WeightsFleet

DISTURBED_MS = 8_000.0
SETTLED_MS = 12_000.0
"""Longer than a lease, a rollout to all replicas and one check of doubts."""
MAX_FREEZE_MS = 4_500.0
MAX_WRONG_MS = 1_500.0
MAX_LATENCY_MS = 600.0
NORMAL_LATENCY_MS = 5.0
MAX_REFUSED_SHARE = 0.01


class Campaign:
    """Disturbances of one fleet, drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet = WeightsFleet(1, self.rng.choice((3, 5, 9)))
        self.actions: tuple[Callable[[], None], ...] = (
            self.name_version,
            self.name_version,
            self.freeze,
            self.freeze,
            self.state_wrongly,
            self.state_nothing,
            self.delay_messages,
            self.lose_reports,
            self.restart,
        )

    def run(self) -> None:
        """Disturb the fleet, then let it settle."""
        self.fleet.run_with_calls(500.0)
        end_ms = self.fleet.now_ms + DISTURBED_MS
        while self.fleet.now_ms < end_ms:
            self.rng.choice(self.actions)()
            self.fleet.run_with_calls(5.0 * self.rng.randrange(10, 200))
        self.fleet.run_with_calls(max(MAX_FREEZE_MS, MAX_WRONG_MS))
        self.fleet.run_with_calls(SETTLED_MS)

    def choose_node(self) -> NodeName:
        return self.rng.choice(list(self.fleet.cores))

    def choose_replica(self) -> WeightsEngine:
        return self.rng.choice(self.fleet.list_engines())

    def name_version(self) -> None:
        self.fleet.name_version(self.fleet.version + 1)

    def freeze(self) -> None:
        node = self.choose_node()
        self.fleet.freeze(node)
        delay_ms = self.rng.uniform(200.0, MAX_FREEZE_MS)
        self.fleet.after(delay_ms, lambda: self.fleet.thaw(node))

    def state_wrongly(self) -> None:
        engine = self.choose_replica()
        engine.stated = max(engine.version + self.rng.choice((-1, 1, 2)), 1)

        def end() -> None:
            engine.stated = None
            self.fleet.register_weights(engine)

        self.fleet.after(self.rng.uniform(20.0, MAX_WRONG_MS), end)

    def state_nothing(self) -> None:
        engine = self.choose_replica()
        engine.is_silent_on_weights = True

        def end() -> None:
            engine.is_silent_on_weights = False

        self.fleet.after(self.rng.uniform(20.0, MAX_WRONG_MS), end)

    def delay_messages(self) -> None:
        self.fleet.set_latency(self.rng.uniform(50.0, MAX_LATENCY_MS))
        delay_ms = self.rng.uniform(50.0, MAX_WRONG_MS)
        self.fleet.after(delay_ms, lambda: self.fleet.set_latency(NORMAL_LATENCY_MS))

    def lose_reports(self) -> None:
        node = self.choose_node()
        self.fleet.unreported.add(node)
        delay_ms = self.rng.uniform(50.0, MAX_WRONG_MS)
        self.fleet.after(delay_ms, lambda: self.fleet.unreported.discard(node))

    def restart(self) -> None:
        self.fleet.restart(self.choose_node())


def check_converged(fleet: WeightsFleet) -> None:
    """Check that nodes know what replicas have, and that calls are served."""
    assert fleet.list_old() == []
    for engine in fleet.list_engines():
        assert engine.loads == sorted(set(engine.loads))
        for name, core in fleet.cores.items():
            known = core.directory.find(engine.name)
            assert known is not None, (name, engine.name)
            assert known.weights == {MODEL: engine.version}, (name, engine.name)
    begun = fleet.run_with_calls(1_500.0)
    fleet.run_for(LOAD_MS)
    failed = [each.ending for each in begun if each.ending != "completed"]
    assert len(failed) <= MAX_REFUSED_SHARE * len(begun)


@settings(max_examples=6)
@given(st.integers(0, 2**32))
def test_beliefs_about_weights_converge_after_any_disturbance(seed: int) -> None:
    """Guards against replicas left on old weights, or taken for ones they lack."""
    campaign = Campaign(seed)
    campaign.run()
    check_converged(campaign.fleet)
