from __future__ import annotations

import random

from toucanyard_standins.prefix_load import (
    LoadShape,
    PrefixLoad,
    RequestResult,
    find_error,
)
from toucanyard_standins.processes import ProcessHandle


def test_refusals_are_named_by_status_and_code() -> None:
    body = b'{"error":{"code":"no_configuration","message":"m"}}'
    assert find_error(503, body) == "503 no_configuration"
    assert find_error(200, b"data: {}") == "200 cut"


def test_requests_are_found_by_their_beginning_and_node() -> None:
    load = PrefixLoad(LoadShape(), random.Random(1))
    load.results = [
        RequestResult(name, begun_s, 1.0, 10, 5)
        for name, begun_s in (("n1", 0.5), ("n1", 1.0), ("n2", 1.5), ("n1", 2.0))
    ]
    node = ProcessHandle.__new__(ProcessHandle)
    node.name = "n1"
    assert load.find_between(1.0, 2.0, [node]) == [load.results[1]]
