from __future__ import annotations

import pytest

from toucanyard.configuration import Configuration, Customer
from toucanyard.errorcodes import ErrorKind, RouterError
from toucanyard.names import CustomerName, RequestId
from toucanyard_node.caller_context import build_refusal
from toucanyard_node.credentials import CustomerIndex, compute_key_hash
from toucanyard_node.refusals import render_refusal

VALID_HEADERS = {"authorization": "Bearer key-of-rio"}
RIO = Customer(CustomerName("rio"), (compute_key_hash("key-of-rio"),))


def test_node_without_configuration_calls_no_key_wrong() -> None:
    """A node has just started and got no configuration from a peer or the log.

    A caller with a valid key that is refused as unauthenticated would give up and
    report a wrong key. The response must say that nothing ran and when to retry.
    """
    index = CustomerIndex()
    with pytest.raises(RouterError) as caught:
        index.authenticate(Configuration(), VALID_HEADERS)
    assert caught.value.kind is ErrorKind.NO_CONFIGURATION
    rendered = render_refusal(build_refusal(caught.value, RequestId("r")))
    assert rendered.status == 503
    assert ("Retry-After", "1") in rendered.headers
    known = Configuration(version=1, customers=(RIO,))
    assert index.authenticate(known, VALID_HEADERS) == RIO


def test_unknown_key_is_refused_once_there_is_a_configuration() -> None:
    known = Configuration(version=1, customers=(RIO,))
    with pytest.raises(RouterError) as caught:
        CustomerIndex().authenticate(known, {"authorization": "Bearer other"})
    assert caught.value.kind is ErrorKind.UNAUTHENTICATED
