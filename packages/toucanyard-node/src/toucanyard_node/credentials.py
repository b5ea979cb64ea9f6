"""Authenticate callers by API key."""

from __future__ import annotations

import hashlib
from typing import Final

from toucanyard.configuration import Configuration, Customer
from toucanyard.errorcodes import ErrorKind, RouterError

_SCHEME: Final = "bearer"
_RETRY_AFTER_MS: Final = 500


def compute_key_hash(key: str) -> str:
    """Return the SHA-256 of an API key in hexadecimal."""
    return hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()


def find_bearer_key(headers: dict[str, str]) -> str:
    """Return the API key of a request, or an empty string."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == _SCHEME else ""


def check_configuration_available(configuration: Configuration) -> None:
    """Raise NO_CONFIGURATION while a node that has just started has none.

    Callers rejected for an unknown key would give up although their key is valid.
    Asked to retry, they use another node, or this one a moment later.
    """
    if configuration.version == 0:
        raise RouterError(
            ErrorKind.NO_CONFIGURATION,
            "this node has no configuration yet, from neither a peer nor the log",
            _RETRY_AFTER_MS,
        )


class CustomerIndex:
    """Index of customers by the hash of their API keys.

    Invariant: the index matches the configuration of the last lookup.
    """

    __slots__ = ("_by_hash", "_configuration")

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._by_hash: dict[str, Customer] = {}

    def authenticate(
        self, configuration: Configuration, headers: dict[str, str]
    ) -> Customer:
        """Return the caller's customer, or raise UNAUTHENTICATED.

        Raise NO_CONFIGURATION when there is no configuration to check keys against.
        """
        check_configuration_available(configuration)
        key = find_bearer_key(headers)
        if not key:
            raise RouterError(ErrorKind.UNAUTHENTICATED, "no bearer API key")
        if configuration is not self._configuration:
            self._rebuild(configuration)
        customer = self._by_hash.get(compute_key_hash(key))
        if customer is None:
            raise RouterError(ErrorKind.UNAUTHENTICATED, "unknown API key")
        return customer

    def _rebuild(self, configuration: Configuration) -> None:
        self._by_hash = {
            key_hash: customer
            for customer in configuration.customers
            for key_hash in customer.key_hashes
        }
        self._configuration = configuration
