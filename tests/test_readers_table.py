"""Check that the table of readers in docs/design/received-bytes.md is complete.

A reader is a module that receives bytes from outside its process. The stand-ins and the
emulator are left out: they run on no machine that serves callers.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
TABLE = ROOT / "docs" / "design" / "received-bytes.md"
SOURCES = (
    "packages/toucanyard/src",
    "packages/toucanyard-node/src",
    "packages/toucanyard-cli/src",
    "platform/src",
)
READS = {
    "connect_websocket",
    "exchange_bounded",
    "fetch",
    "fetch_bounded",
    "fetch_counted",
    "read_body",
    "read_body_chunk",
    "read_bytes",
    "read_head",
    "read_part",
    "read_text",
    "receive_some",
    "recv",
    "recv_streaming",
    "serve_websockets",
}
"""Functions and methods that return what was received, or start to receive."""
RECEIVERS = ("channel", "socket", "stream")
"""Ends of the names of objects whose `receive` returns bytes from outside."""
COLUMNS = ("sender", "reader", "what", "one", "all", "time", "beyond", "tests")
NAMED_TEST = re.compile(r"`((?:\w+/)*\w+)::(\w+)`")
MODULE = re.compile(r"`(\w+)`")


def is_read(node: ast.AST) -> bool:
    """Return whether a node calls a function that reads, or names such a method.

    Methods also read where they are only passed on, as to a function with a timer.
    """
    match node:
        case ast.Call(func=func):
            return is_reading_function(func)
        case ast.Attribute(attr=name):
            return name in READS and name != "fetch"
    return False


def is_reading_function(func: ast.expr) -> bool:
    match func:
        case ast.Name(id="receive" | "open"):
            return True
        case ast.Name(id=name):
            return name in READS
        case ast.Attribute(attr="receive", value=value):
            return ast.unparse(value).endswith(RECEIVERS)
        case ast.Attribute(attr="open", value=value):
            return ast.unparse(value).endswith("file")
        case ast.Attribute(attr="read", value=ast.Name(id="os")):
            return True
    return False


def find_readers() -> set[str]:
    """Return the names of all modules that receive bytes from outside."""
    readers = set()
    for source in SOURCES:
        for file in sorted((ROOT / source).rglob("*.py")):
            tree = ast.parse(file.read_text())
            if any(map(is_read, ast.walk(tree))):
                readers.add(file.stem)
    return readers


def read_rows() -> Iterator[dict[str, str]]:
    section = TABLE.read_text().split("## Readers\n")[1].split("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("|")]
    for line in lines[2:]:
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        assert len(cells) == len(COLUMNS), line
        yield dict(zip(COLUMNS, cells, strict=True))


def find_listed() -> set[str]:
    return {name for row in read_rows() for name in MODULE.findall(row["reader"])}


def test_readers_are_found() -> None:
    """Guards against a search that finds nothing."""
    found = find_readers()
    assert {"http_server", "http_client", "peer_links", "store_client"} <= found
    assert len(found) > 20


def test_each_reader_of_bytes_from_outside_is_in_the_table() -> None:
    """Guards against a reader whose bounds nobody has decided on."""
    assert find_readers() - find_listed() == set()


def test_each_module_in_the_table_reads() -> None:
    assert find_listed() - find_readers() == set()


def test_each_row_says_all_bounds() -> None:
    rows = list(read_rows())
    assert rows
    assert [row for row in rows if not all(row.values())] == []


def test_each_row_names_tests_that_exist() -> None:
    missing = []
    for row in read_rows():
        named = NAMED_TEST.findall(row["tests"])
        if not named:
            missing.append(row["reader"])
        for path, name in named:
            folder, _, file = path.rpartition("/")
            test_file = ROOT / "tests" / folder / f"test_{file}.py"
            text = test_file.read_text() if test_file.exists() else ""
            if f"def test_{name}(" not in text:
                missing.append(f"{path}::{name}")
    assert missing == []
