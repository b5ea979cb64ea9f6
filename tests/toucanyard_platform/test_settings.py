from __future__ import annotations

from pathlib import Path

import pytest

from toucanyard.relay_policy import RelayPolicy
from toucanyard_node.settings_watch import SettingsInvalidError
from toucanyard_platform.settings import MAX_FILE_BYTES, load_options

TEXT = """
nodeName = "edge-1"
role = "node"
ip = "10.1.0.30"
zone = "norte"
seeds = ["10.1.0.30:8783", "10.2.0.22:8783"]
bootstrap = true
unknownField = [1, 2]
[listen]
frontend = "10.1.0.30:8782"
readiness = "10.1.0.30:8789"
controlPlane = "10.1.0.30:8783"
directory = "10.1.0.30:8780"
[limits]
maxFds = 4100
[bounds]
drainMs = 3000
graceS = 8
retryBudgetRatio = 0.2
retryBudgetSlack = 54
budgetWindowS = 10
leaseMs = 3000
versionMs = 8000
ttl_max_s = 5
[platform]
address = "10.200.1.7:8784"
form = "log"
"""


def write(tmp_path: Path, text: str) -> Path:
    file = tmp_path / "boot.toml"
    file.write_text(text)
    return file


def load(tmp_path: Path, text: str) -> object:
    return load_options(write(tmp_path, text))


def test_settings_become_options(tmp_path: Path) -> None:
    file = tmp_path / "boot.toml"
    file.write_text(TEXT)
    options = load_options(file)
    assert options.name == "edge-1"
    assert options.domain == "norte"
    assert options.listen.callers == "10.1.0.30:8782"
    assert options.listen.peers == "10.1.0.30:8783"
    assert options.listen.metrics.startswith("10.1.0.30:")
    assert options.store == "10.200.1.7:8784"
    assert options.stop.grace_ms == 8_000
    assert options.drain_ms == 3_000
    assert options.retries.slack == 54
    assert options.weights.lease_ms == 3_000
    assert options.max_descriptors == 4_100


def test_nodes_of_one_installation_share_a_secret(tmp_path: Path) -> None:
    file = tmp_path / "boot.toml"
    secrets = []
    other = TEXT.replace("10.1.0.30", "10.1.0.31").replace("edge-1", "edge-2")
    for text in (TEXT, other, TEXT.replace("10.200.1.7", "10.200.1.8")):
        file.write_text(text)
        secrets.append(load_options(file).peer_secret)
    assert secrets[0] == secrets[1] != secrets[2]


def test_secret_that_is_given_goes_before_one_that_is_derived(tmp_path: Path) -> None:
    """Guards against unlinked nodes that reach the store at different addresses."""
    secrets = set()
    for store in ("10.200.1.7:8784", "10.200.1.8:8784"):
        text = 'peerSecret = "s"' + TEXT.replace("10.200.1.7:8784", store)
        secrets.add(load_options(write(tmp_path, text)).peer_secret)
    assert secrets == {"s"}


@pytest.mark.parametrize(
    "text",
    [
        "",
        "nodeName = ",
        TEXT.replace('zone = "norte"', ""),
        TEXT.replace("8000", '"x"'),
    ],
)
def test_wrong_settings_are_refused_with_the_place(tmp_path: Path, text: str) -> None:
    with pytest.raises(SettingsInvalidError, match="boot.toml"):
        load(tmp_path, text)


def test_missing_file_is_refused(tmp_path: Path) -> None:
    with pytest.raises(SettingsInvalidError):
        load_options(tmp_path / "none.toml")


def test_parts_for_scarce_room_are_off_without_the_contract(tmp_path: Path) -> None:
    """Deployments that did not ask for these parts are served as before."""
    for contracts in ("", 'contracts = ["base", "quota"]\n'):
        options = load_options(write(tmp_path, contracts + TEXT))
        assert options.policy == RelayPolicy()
        assert not options.connections.is_kept


def test_contract_of_pressure_switches_the_parts_for_scarce_room_on(
    tmp_path: Path,
) -> None:
    text = 'contracts = ["base", "pressure"]\n' + TEXT
    options = load_options(write(tmp_path, text))
    assert options.connections.is_kept
    assert options.policy.limits.by_urgency
    assert options.policy.queue.keeps_answer_time


@pytest.mark.parametrize(
    "text",
    [
        TEXT.replace("[1, 2]", "[" * 100_000),
        TEXT.replace("graceS = 8", "graceS = inf"),
        TEXT.replace("budgetWindowS = 10", "budgetWindowS = nan"),
        TEXT + "# " + "x" * MAX_FILE_BYTES,
    ],
    ids=["nested", "infinite", "no number", "large"],
)
def test_settings_that_no_node_can_use_are_invalid(tmp_path: Path, text: str) -> None:
    """Guards against a reload that ends the node instead of changing nothing."""
    file = tmp_path / "node.toml"
    file.write_text(text)
    with pytest.raises(SettingsInvalidError):
        load_options(file)
