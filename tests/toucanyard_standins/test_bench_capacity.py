from __future__ import annotations

import ipaddress

import pytest

from toucanyard_standins.bench_capacity import build_idle_configuration
from toucanyard_standins.capacity_slope import measure_slope, render_slope


def test_works_out_the_size_wanted_from_the_line() -> None:
    slope = measure_slope(
        "role", "cost", "us", "nodes", 320, (10, 20, 40, 80), lambda size: 5 + 2 * size
    )
    assert slope.compute_line() == pytest.approx((2.0, 5.0))
    assert slope.compute_at_target() == pytest.approx(645.0)
    assert "at 320: 645 us" in render_slope(slope)


def test_idle_nodes_connect_to_this_machine_only() -> None:
    # The replicas of the large configuration don't exist. With the addresses of other
    # benches, polling them would send packets to the real network.
    configuration = build_idle_configuration(4_400)
    addresses = {
        endpoint.address.rpartition(":")[0]
        for service in configuration.services
        for endpoint in service.endpoints
    }
    assert len(addresses) == 4_400
    assert all(ipaddress.ip_address(each).is_loopback for each in addresses)
