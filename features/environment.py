"""Hooks of the behave suite."""

from behave.model import Scenario
from behave.runner import Context
from twisted.internet import reactor


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Give every scenario its own list of clean-up functions."""
    context.scenario_name = scenario.name


def after_all(context: Context) -> None:
    """Stop the reactor's thread pool, which keeps the process from ending."""
    if reactor.running:
        reactor.fireSystemEvent('shutdown')
