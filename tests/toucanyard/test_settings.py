"""Tests for errors about settings: file, field, value found and value expected."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, strategies as st

from toucanyard.options import Options, StatsdOptions
from toucanyard.patches import Put
from toucanyard.settings import SettingsError, load_document, load_options
from toucanyard_cli.main import main as toucanyard
from toucanyard_node.main import main as toucanyard_node

RIGHT = """{
  "name": "n1", // this VM
  "domain": "sala-norte",
  "listen": {
    "callers": "10.0.0.1:80", "operators": "10.0.0.1:81", "peers": "10.0.0.1:82"
  },
  "platform": {"log": "10.0.9.1:1", "vm_list": "10.0.9.1:1"},
  "peer_secrets": ["s"]%s
}"""

WRONG = {
    "unknown field": (
        RIGHT % ', "callers": {"header_timeout_s": 5}',
        "unknown field 'header_timeout_s'",
        "known fields",
        "$.callers.header_timeout_s",
    ),
    "missing field": ("{}", "no field 'name'", "one", "$.name"),
    "wrong type": (
        RIGHT % ', "callers": {"max_body_bytes": "4 MB"}',
        '"4 MB"',
        "`int`",
        "$.callers.max_body_bytes",
    ),
    "wrong unit": (
        RIGHT % ', "callers": {"header_timeout_ms": 0.5}',
        "0.5",
        "`int`",
        "$.callers.header_timeout_ms",
    ),
    "out of range": (
        RIGHT % ', "admission": {"retry_budget_share": 1.5}',
        "1.5",
        "`float` <= 1.0",
        "$.admission.retry_budget_share",
    ),
    "contradiction": (
        RIGHT % ', "claims": {"window_ms": 3000000}',
        '{"window_ms": 3000000}',
        "window_ms must be at most half of log_retention_ms",
        "$.claims",
    ),
    "contradiction in a range": (
        RIGHT % ', "streams": {"min_silence_ms": 4000}',
        "min_silence_ms 4000",
        "at most max_silence_ms 3000",
        "$.streams.min_silence_ms",
    ),
    "deadline beyond the window": (
        RIGHT % ', "callers": {"max_deadline_ms": 300001}',
        "max_deadline_ms 300001",
        "at most half of claims.window_ms 600000",
        "$.callers.max_deadline_ms",
    ),
    "window below the deadline": (
        RIGHT % ', "claims": {"window_ms": 599999}',
        "max_deadline_ms 300000",
        "at most half of claims.window_ms 599999",
        "$.callers.max_deadline_ms",
    ),
    "host name": (
        RIGHT.replace("10.0.9.1:1", "log:1") % "",
        '"log:1"',
        "matching regex",
        "$.platform.log",
    ),
    "impossible address": (
        RIGHT.replace("10.0.0.1:82", "10.0.0.1:99999") % "",
        '"10.0.0.1:99999"',
        "a port up to 65535",
        "$.listen.peers",
    ),
    "secret of a wrong type": (
        RIGHT.replace('"s"', '"s", 4711') % "",
        "a value of type int",
        "`str`",
        "$.peer_secrets[1]",
    ),
    "field twice": (RIGHT % ', "name": "n2"', "'name' twice", "once", ""),
    "no number": (RIGHT % ', "admission": {"max_attempts": NaN}', "NaN", "number", ""),
    "not JSON": (
        '{\n/* n\n*/\n"name" "n//1"}',
        "'\"n//1\"}'",
        "':'",
        "line 4 column 8",
    ),
    "cut short": ('{"name": ', "'the end'", "value", "line "),
    "too deep": ("[" * 100_000, "nested too deeply", "", ""),
}


def read_error(file: Path) -> str:
    with pytest.raises(SettingsError) as caught:
        load_options(file)
    return str(caught.value)


@pytest.mark.parametrize("case", WRONG)
def test_says_file_field_found_and_expected(case: str, tmp_path: Path) -> None:
    text, found, expected, path = WRONG[case]
    file = tmp_path / "node.json"
    file.write_text(text)
    error = read_error(file)
    assert error.startswith(f"{file}: ")
    assert "4711" not in error
    for part in (found, expected, path):
        assert part in error


@pytest.mark.parametrize("case", [*WRONG, "missing file"])
def test_both_programs_exit_with_status_2(case: str, tmp_path: Path) -> None:
    file = tmp_path / "node.json"
    if case in WRONG:
        file.write_text(WRONG[case][0])
    error = read_error(file)
    for result in (
        CliRunner().invoke(toucanyard, ["check", str(file)]),
        CliRunner().invoke(toucanyard_node, [str(file)]),
    ):
        assert result.exit_code == 2
        assert error in result.stderr


def test_right_settings_pass(tmp_path: Path) -> None:
    file = tmp_path / "node.json"
    file.write_text(RIGHT % "")
    assert load_options(file).name == "n1"
    assert CliRunner().invoke(toucanyard, ["check", str(file)]).exit_code == 0


def test_names_the_element_of_a_list(tmp_path: Path) -> None:
    file = tmp_path / "patch.json"
    file.write_text(
        '{"services": [{"name": "a", "endpoints": []}, {"name": 7, "endpoints": []}]}'
    )
    with pytest.raises(SettingsError, match=r"found 7, .* `\$.services\[1\].name`"):
        load_document(file, Put)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


@given(st.binary() | st.text().map(str.encode) | JSON.map(lambda each: b"%a" % each))
def test_any_file_is_read_or_refused(
    tmp_path_factory: pytest.TempPathFactory, content: bytes
) -> None:
    file = tmp_path_factory.getbasetemp() / "any.json"
    file.write_bytes(content)
    try:
        load_document(file, Options)
    except SettingsError as error:
        assert str(error).startswith(f"{file}: ")


def test_the_page_lists_every_setting() -> None:
    page = (
        Path(__file__).parents[2] / "docs" / "operators" / "settings.md"
    ).read_text()
    for section in msgspec.structs.fields(Options):
        kind = section.type if section.name != "statsd" else StatsdOptions
        fields = getattr(kind, "__struct_fields__", ())
        assert f"`{section.name}" in page
        for field in fields:
            assert f"`{field}`" in page or f"`{section.name}.{field}`" in page, field
