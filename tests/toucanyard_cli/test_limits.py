from __future__ import annotations

import pytest
from click.testing import CliRunner
from hypothesis import given, strategies as st

from toucanyard.names import Address
from toucanyard_cli import limits_command
from toucanyard_cli.exit_codes import ExitCode
from toucanyard_cli.limits_command import parse_limit_usage
from toucanyard_cli.main import main

COORDINATOR = Address("10.0.0.1:9464")
METRICS = """toucanyard_limit_rejections_total 7
toucanyard_limit_rate_per_s{customer="large"} 18000.0
toucanyard_limit_share{customer="large"} 1.0
toucanyard_limit_level{customer="large"} -8385
toucanyard_limit_granted_total{customer="large"} 11400
toucanyard_limit_denied_total{customer="large"} 5400
toucanyard_limit_level{customer="a \\"b\\""} 3
toucanyard_routes_version 1
"""


def test_uses_are_read_from_metrics() -> None:
    large, other = parse_limit_usage(METRICS, COORDINATOR)
    assert (large.customer, large.rate_per_s, large.level) == ("large", 18_000, -8_385)
    assert (large.granted_total, large.denied_total) == (11_400, 5_400)
    assert other.customer == 'a "b"'


@given(st.text(max_size=200))
def test_whatever_a_node_answers_is_read(text: str) -> None:
    parse_limit_usage(text, COORDINATOR)
    parse_limit_usage(f'toucanyard_limit_level{{customer="{text}"}} 1', COORDINATOR)


def test_limits_are_listed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def read(node: Address) -> str | None:
        return METRICS if node == COORDINATOR else None

    monkeypatch.setattr(limits_command, "_fetch_metrics", read)
    result = CliRunner().invoke(main, ["limits", COORDINATOR, "10.0.0.2:9464"])
    assert result.exit_code == ExitCode.OK
    assert "large" in result.output
    assert "-8385.0" in result.output


def test_no_node_that_answers_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    async def read(_: Address) -> str | None:
        return None

    monkeypatch.setattr(limits_command, "_fetch_metrics", read)
    result = CliRunner().invoke(main, ["limits", COORDINATOR])
    assert result.exit_code == ExitCode.NOT_REACHABLE
