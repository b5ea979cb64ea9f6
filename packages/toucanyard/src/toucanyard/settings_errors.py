"""Describe why a document doesn't match its class: what was found, what is expected.

The decoding library reports the path and what it expects, but seldom the value, so the
value is looked up in the document. Values of secrets are never shown.
"""

from __future__ import annotations

import json
import re
from typing import Final

import msgspec

_AT: Final = re.compile(r"^(?P<text>.*) - at `(?P<path>\$.*)`$", re.DOTALL)
_FIELD: Final = re.compile(r"^Object (?P<what>.*) field `(?P<name>.*)`$")
_GOT: Final = re.compile(r", got `\w+`$")
_STEP: Final = re.compile(r"\.([^.\[]+)|\[(\d+)\]")
_SECRET: Final = ("secret", "hash", "key")
_MAX_SHOWN: Final = 60


def describe_invalid(error: msgspec.ValidationError, document: object) -> str:
    """Return "found .., expected .. - at `path`"."""
    match = _AT.match(str(error))
    text = match["text"] if match else str(error)
    path = match["path"] if match else "$"
    field = _FIELD.match(text)
    if field is not None:
        return _describe_field(field["what"], field["name"], path)
    found = _describe_found(document, path)
    expected = _GOT.sub("", text)
    if expected.startswith("Expected "):
        expected = expected.removeprefix("Expected ")
        return f"found {found}, expected {expected} - at `{path}`"
    return f"found {found}: {expected} - at `{path}`"


def _describe_field(what: str, name: str, path: str) -> str:
    if what == "contains unknown":
        found = f"found unknown field {name!r}, expected only known fields"
    else:
        found = f"found no field {name!r}, expected one"
    return f"{found} - at `{path}.{name}`"


def _describe_found(document: object, path: str) -> str:
    value = _find_value(document, path)
    if any(word in path for word in _SECRET):
        return f"a value of type {type(value).__name__}"
    shown = json.dumps(value)
    return shown if len(shown) <= _MAX_SHOWN else f"{shown[:_MAX_SHOWN]}.."


def _find_value(document: object, path: str) -> object:
    """Return the value at a path, such as `$.pools[0].name`."""
    value = document
    for step in _STEP.finditer(path):
        name, index = step[1], step[2]
        if index is not None and isinstance(value, list):
            value = value[int(index)]
        elif isinstance(value, dict):
            value = value.get(name)
    return value
