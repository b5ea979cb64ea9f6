"""Start and stop the processes of each scenario."""

from __future__ import annotations

from behave.model import Scenario
from behave.runner import Context

from portal import Portal
from world import World


def before_scenario(context: Context, scenario: Scenario) -> None:
    portal = Portal()
    context.world = World(portal, portal.start())


def after_scenario(context: Context, scenario: Scenario) -> None:
    world: World = context.world
    if scenario.status.name != "passed":
        world.print_logs()
    world.portal.stop()
