"""Test which origins the streams of a route may have."""

from __future__ import annotations

from toucanyard.link_messages import SoftwareVersionAge
from toucanyard.names import EndpointName, ServiceName, SoftwareVersion
from toucanyard.replicas import ReplicaDirectory
from toucanyard.routes import Split
from toucanyard.software_versions import MIN_MEMORY_MS, SoftwareVersions
from toucanyard.stream_origins import StreamOrigin

from .relay_examples import DESK, ENGINES, build_replica, build_route, build_table


class Versions:
    """Replicas and the versions that a node has seen of them."""

    def __init__(self, **versions: str) -> None:
        self.directory = ReplicaDirectory()
        self.versions = SoftwareVersions(self.directory)
        for name, version in versions.items():
            self.list_replica(name, version)

    def list_replica(self, name: str, version: str, now_ms: float = 0.0) -> None:
        self.directory.apply(
            build_replica(name, software_version=SoftwareVersion(version)), now_ms
        )
        self.versions.refresh(now_ms)

    def remove(self, *names: str, now_ms: float) -> None:
        self.directory.remove(
            [EndpointName(each) for each in names], now_ms, listed_ms=now_ms
        )
        self.versions.refresh(now_ms)

    def find(
        self, now_ms: float, *services: ServiceName, route: str = "r"
    ) -> set[tuple[str, str]]:
        origins = self.versions.find_origins(route, services or (ENGINES,), now_ms)
        return {(each.service, each.software_version) for each in origins}


def test_versions_count_for_as_long_as_their_streams_may_last() -> None:
    """Guards against taking a version that has just left for one that never was."""
    seen = Versions(a="v1", b="v2")
    seen.remove("a", now_ms=1_000.0)
    seen.list_replica("b", "v2", 1_000.0 + MIN_MEMORY_MS)
    assert len(seen.find(900.0 + MIN_MEMORY_MS)) == 2
    assert seen.find(1_001.0 + MIN_MEMORY_MS) == {(ENGINES, "v2")}


def test_longest_timeout_of_a_route_lengthens_the_memory() -> None:
    seen = Versions()
    route = build_route("r", "/a/", timeout_ms=120_000)
    seen.versions.apply_routes(build_table(routes=(route,)), build_table(), 0.0)
    assert seen.versions.memory_ms == 240_000.0


def test_service_to_which_a_route_led_before_is_a_possible_origin() -> None:
    """Guards against going on at the service to which a route was moved."""
    seen = Versions(a="v1")
    desk = build_replica("d", service=DESK, software_version=SoftwareVersion("v1"))
    seen.directory.apply(desk, 0.0)
    seen.versions.refresh(0.0)
    before = build_table(1, routes=(build_route("r", "/a/"),))
    moved = build_route("r", "/a/", splits=(Split(ENGINES, 1.0),))
    seen.versions.apply_routes(build_table(2, routes=(moved,)), before, 0.0)
    assert seen.find(10.0, ENGINES) == {(ENGINES, "v1"), (DESK, "v1")}
    assert seen.find(10.0, ENGINES, route="other") == {(ENGINES, "v1")}


def test_reported_versions_count_by_their_age() -> None:
    seen = Versions(a="v2")
    reported = SoftwareVersionAge(ENGINES, SoftwareVersion("v1"), MIN_MEMORY_MS - 50.0)
    seen.versions.apply_reported((reported,), 0.0)
    assert len(seen.find(10.0)) == 2
    assert seen.find(60.0) == {(ENGINES, "v2")}


def test_only_services_with_several_versions_are_reported() -> None:
    assert not list(Versions(a="v1", b="v1").versions.list_several(10.0))
    several = list(Versions(a="v1", b="v2").versions.list_several(10.0))
    assert {each.software_version for each in several} == {"v1", "v2"}


def test_version_with_few_or_fewer_replicas_is_the_worse_beginning() -> None:
    """Guards against filling the last replicas of a version with new streams."""
    seen = Versions(**dict.fromkeys("abcd", "v1"), e="v2")
    room = seen.versions.find_room(ENGINES, 0.0)
    assert room is not None
    assert (set(room.few), set(room.fewer)) == ({"v2"}, set())
    seen.remove("a", now_ms=10.0)
    room = seen.versions.find_room(ENGINES, 10.0)
    assert room is not None
    assert set(room.fewer) == {"v1"}


def test_one_version_has_no_worse_beginning() -> None:
    seen = Versions(a="v1", b="v1")
    assert seen.versions.find_room(ENGINES, 0.0) is None


def test_versions_are_opaque() -> None:
    """Guards against parsing or ordering versions."""
    words = ("", "v1", "v1.0", "V1", " v1", "1", "01")
    seen = Versions(**{f"r{n}": word for n, word in enumerate(words)})
    assert seen.find(0.0) == {(ENGINES, word) for word in words}
    assert StreamOrigin(ENGINES, SoftwareVersion("v1")) != StreamOrigin(
        ENGINES, SoftwareVersion("v1.0")
    )


def test_replicas_that_load_weights_stay_with_their_version() -> None:
    """Guards against avoiding a version while its replicas load weights."""
    seen = Versions(**dict.fromkeys("abcd", "v1"), **dict.fromkeys("efgh", "v2"))
    for known in seen.directory.find_listed(ENGINES, 0.0)[:3]:
        known.loading_until_ms = 1_000.0
    room = seen.versions.find_room(ENGINES, 10.0)
    assert room is not None
    assert not room.few | room.fewer


def test_routes_and_services_of_the_past_are_forgotten() -> None:
    """Guards against memory that grows with each route that ever was."""
    seen = Versions()
    for number in range(50):
        table = build_table(routes=(build_route(f"r{number}", "/a/"),))
        seen.versions.apply_routes(build_table(), table, 0.0)
        seen.versions.record_listed(ServiceName(f"s{number}"), SoftwareVersion(""), 0.0)
    seen.versions.refresh(MIN_MEMORY_MS + 1.0)
    assert not seen.versions.count_remembered()
