from __future__ import annotations

from toucanyard_standins import demo


async def test_demo_goes_through_with_real_processes() -> None:
    await demo.run()
