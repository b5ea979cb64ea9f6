from __future__ import annotations

from pathlib import Path

import trio
from fleet import MODEL, Fleet, NodeProcess, build_configuration, open_fleet, wait_until

from toucanyard_node.http_client import ConnectionFailedError

AWAY_MS = 1_000
BOUND_S = 2.0
"""Time from the store's confirmation in which a version must be in force."""
HOST = ("Host", "h")


async def serves(node: NodeProcess, path: str) -> bool:
    try:
        answer = await node.call(f"{path}x", "after", HOST)
    except ConnectionFailedError:
        return False
    return answer.status == 200


async def publish_routes(fleet: Fleet, version: int) -> None:
    """Publish a version that replaces the route of the version before."""
    routes = build_configuration(version, "/desk/", f"/only-{version}/")
    while not await fleet.try_publish("config", routes):
        await trio.sleep(0.05)


async def test_nodes_follow_a_store_that_was_restored_from_a_copy(
    tmp_path: Path,
) -> None:
    """Guards against nodes that drop what is written to a restored store."""
    async with open_fleet(tmp_path, nodes=3) as fleet:
        await publish_routes(fleet, 2)
        await fleet.copy_store()
        for version in (3, 4, 5):
            await publish_routes(fleet, version)
        for node in fleet.nodes:
            await wait_until(
                lambda node=node: serves(node, "/only-5/"), f"{node.name} serves 5"
            )
        added = fleet.add_node()
        await wait_until(added.is_ready, "the added node is ready")
        await fleet.restore_store(AWAY_MS)
        # The operator has not written again yet.
        for node in fleet.nodes:
            assert await serves(node, "/only-5/"), node.name
            assert not await serves(node, "/only-2/"), node.name
        await publish_routes(fleet, 6)
        await fleet.publish(f"version/{MODEL}", {"model": MODEL, "version": 2})
        await trio.sleep(BOUND_S)
        for node in fleet.nodes:
            assert await serves(node, "/only-6/"), node.name
            assert not await serves(node, "/only-5/"), node.name
        await wait_until(
            lambda: is_written_again(fleet), "the added node has written its record"
        )
    logs = [node.log.read_text() for node in fleet.nodes]
    assert all("event=store_era_changed era=1 before=0" in log for log in logs)
    assert all("event=weights_wanted model=m version=2" in log for log in logs)
    written = [log.count("event=record_written_again") for log in logs]
    assert written == [0, 0, 0, 1]


async def is_written_again(fleet: Fleet) -> bool:
    return "event=record_written_again" in fleet.nodes[-1].log.read_text()
