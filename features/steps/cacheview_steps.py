"""Steps for the expected cache contents."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as forall
from hypothesis import settings
from hypothesis import strategies as st

from yuccagauge.cacheview import CacheView
from yuccagauge.load import EngineKey
from yuccagauge.prefixes import CacheScope, PrefixLevel, RequestPrefix

_ENGINE = EngineKey('127.0.0.1', 9000)
_CACHE_SCOPE = CacheScope(
    customer='c',
    model='m',
    adapter='',
    weights_version='w',
)


def _prompt(name: str = '') -> RequestPrefix:
    levels = tuple(
        PrefixLevel(f'{name}{depth}'.encode(), depth * 1000)
        for depth in (1, 2, 3)
    )
    return RequestPrefix(
        cache_scope=_CACHE_SCOPE,
        levels=levels,
        prompt_tokens=3000,
        stable_levels=2,
    )


class _History:
    """Applies the steps of a history to a cache view."""

    def __init__(self, view: CacheView) -> None:
        self.view = view
        self.now = 10_000
        self.crashes = 0

    @property
    def incarnation(self) -> str:
        return str(self.crashes)

    def apply_step(self, step: str, prompt: RequestPrefix) -> None:
        self.now += 10
        if step == 'c':
            self.crashes += 1
        elif step == 'p':
            self.view.record_placement(
                _ENGINE, self.incarnation, prompt, self.now
            )
        elif step == 'o':
            self.view.record_usage(
                _ENGINE, self.incarnation, prompt, 0, self.now
            )
        elif step == 'g':
            self.view.record_event_gap(_ENGINE, self.now)
        else:
            self._apply_event(step, prompt.levels[int(step[1]) - 1])

    def expected(self, prompt: RequestPrefix) -> int:
        return self.view.expected_tokens(_ENGINE, self.incarnation, prompt)

    def _apply_event(self, event: str, level: PrefixLevel) -> None:
        if event[0] == 's':
            self.view.apply_stored_event(
                _ENGINE,
                self.incarnation,
                level.digest,
                level.tokens,
                self.now,
            )
        else:
            self.view.apply_evicted_event(
                _ENGINE, self.incarnation, level.digest
            )


@given(
    'a cache view of a prompt with levels of 1000, 2000 and 3000 tokens',
)
def given_view(context: Context) -> None:
    """Create an empty view."""
    context.history = _History(CacheView())


@when('the cache view records "{history}"')
def when_records(context: Context, history: str) -> None:
    """Apply a history step by step."""
    for step in history.split():
        context.history.apply_step(step, _prompt())


@when('the cache view records "{history}" {count:d} times')
def when_repeats(context: Context, history: str, count: int) -> None:
    """Apply a history several times."""
    for _ in range(count):
        when_records(context, history)


@when('the engine computes {tokens:d} tokens for others')
def when_others(context: Context, tokens: int) -> None:
    """Age the levels in the view."""
    context.history.view.record_computed_tokens(_ENGINE, tokens)


@when('the cache view records ""')
def when_records_nothing(context: Context) -> None:
    """Leave the view empty."""


@when(
    'the engine computes {tokens:d} tokens while the cache view records a use '
    'of level 2',
)
def when_computes(context: Context, tokens: int) -> None:
    """Age the deepest level, and use the levels above it."""
    view = context.history.view
    view.record_computed_tokens(_ENGINE, tokens)
    view.expect_levels(_ENGINE, '0', _prompt().levels[:2], 20_000)


@then('the cache view expects {tokens:d} tokens')
def then_expects(context: Context, tokens: int) -> None:
    """Check the expected tokens of the prompt."""
    found = context.history.expected(_prompt())
    assert found == tokens, found


@then(
    'no history makes a cache view of {bound:d} levels larger or its '
    'expectation exceed the prompt',
)
def then_bounded(context: Context, bound: int) -> None:
    """Check random histories for the two limits.

    The view must not exceed its maximum of levels, and must not expect more
    tokens than the prompt has, whatever the order of events and crashes.
    """
    kind = st.sampled_from(['p', 'o', 'c', 'g', 's1', 's2', 's3', 'e1', 'e3'])

    @settings(derandomize=True, database=None, deadline=None)
    @forall(st.lists(st.tuples(kind, st.integers(0, 9)), max_size=60))
    def check(steps):
        history = _History(CacheView(bound))
        for step, name in steps:
            prompt = _prompt(f'{name}/')
            history.apply_step(step, prompt)
            assert 0 <= history.expected(prompt) <= prompt.prompt_tokens
            assert len(history.view) <= bound

    check()


@then('a new cache view that adds its hot prefixes expects {tokens:d} tokens')
def then_preloaded(context: Context, tokens: int) -> None:
    """Check that a router that starts expects the hot prefixes of its peers."""
    fresh = CacheView()
    fresh.add_hot_prefixes(context.history.view.hot_prefixes(10), 20_000)
    assert fresh.expected_tokens(_ENGINE, '0', _prompt()) == tokens
