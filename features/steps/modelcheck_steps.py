"""Steps for the model checker."""

from collections.abc import Iterator

from behave import then, when
from behave.runner import Context

from yuccagauge.modelcheck.explorer import explore
from yuccagauge.modelcheck.run import check_all


class Counter:
    """Counts up by one or, from 0, stays."""

    properties = ('below 3',)

    def initial(self) -> Iterator[int]:
        yield 0

    def successors(self, state: int) -> Iterator[tuple[str, int]]:
        yield 'stay', state
        yield 'count', state + 1

    def violation(self, state: int) -> str | None:
        return self.properties[0] if state >= 3 else None


@when('the specifications are checked within their small bounds')
def when_checked(context: Context) -> None:
    context.model_lines = []
    context.model_summary = check_all(context.model_lines.append, short=True)


@when('a model counter that may not reach 3 is explored')
def when_counter(context: Context) -> None:
    context.model_found = explore(Counter(), maximum_states=100)


@then('every model property holds')
def then_holds(context: Context) -> None:
    assert context.model_summary.violations == 0, context.model_lines


@then('the model trace has {count:d} steps')
def then_trace(context: Context, count: int) -> None:
    assert context.model_found.trace == ('count',) * count
