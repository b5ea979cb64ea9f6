from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from toucanyard.configuration import Configuration
from toucanyard.configuration_log import ConfigurationLog
from toucanyard.configuration_records import encode_patch
from toucanyard.options import ConfigurationTimings
from toucanyard.patches import Patch, apply_patch, find_owners
from toucanyard.settings import load_options
from toucanyard_cli.check_command import read_patch_file
from toucanyard_cli.main import main

EXAMPLES = Path(__file__).parents[2] / "examples"
SIZES = {
    "valdivia": {"model-pool": 5, "booking-app": 3, "prompt-keep": 1},
    "hangang": {"drafter-llm": 6, "notice-desk": 3, "prompt-vault": 1},
}


def load_patch(deployment: str) -> Patch:
    content = read_patch_file(EXAMPLES / deployment / "configuration.json")
    return Patch("p", 0, "bootstrap", content.put, content.remove)


@pytest.mark.parametrize("deployment", SIZES)
def test_example_is_right(deployment: str) -> None:
    directory = EXAMPLES / deployment
    settings = CliRunner().invoke(main, ["check", str(directory / "node.json")])
    assert settings.exit_code == 0, settings.output
    arguments = ["check", "--configuration", str(directory / "configuration.json")]
    assert CliRunner().invoke(main, arguments).exit_code == 0


@pytest.mark.parametrize("deployment", SIZES)
def test_example_makes_version_1_with_its_real_sizes(deployment: str) -> None:
    log = ConfigurationLog(ConfigurationTimings())
    log.apply_record(0, 0.0, encode_patch(load_patch(deployment)), 0.0)
    configuration = log.configuration
    assert configuration.version == 1
    sizes = {each.name: len(each.endpoints) for each in find_owners(configuration)}
    assert sizes == SIZES[deployment]
    assert len(configuration.customers) == 8
    domains = {
        endpoint.domain
        for owner in find_owners(configuration)
        for endpoint in owner.endpoints
    }
    assert len(domains) == 3
    assert load_options(EXAMPLES / deployment / "node.json").domain in domains


def test_check_tries_a_patch_on_a_version(tmp_path: Path) -> None:
    # A patch that removes a customer applies to the version that contains the customer,
    # but not to the empty version.
    patch = tmp_path / "patch.json"
    patch.write_text('{"remove": {"customers": ["kioskos"]}}')
    version = apply_patch(Configuration(), load_patch("valdivia"))
    base = tmp_path / "version.json"
    base.write_bytes(msgspec.json.encode({"configuration": version}))
    arguments = ["check", "--configuration", str(patch)]
    on_nothing = CliRunner().invoke(main, [*arguments, "--json"])
    assert on_nothing.exit_code == 4
    assert "'kioskos'" in on_nothing.stdout
    assert CliRunner().invoke(main, [*arguments, "--on", str(base)]).exit_code == 0
