"""Hooks of the behave suite."""

from behave.model import Scenario
from behave.runner import Context


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Give every scenario its own list of clean-up functions."""
    context.scenario_name = scenario.name
