"""Steps that test prefix levels."""

import dataclasses
from itertools import repeat

from behave import then
from behave.runner import Context
from hypothesis import example, settings
from hypothesis import given as forall
from hypothesis import strategies as st

from yuccagauge.prefixes import CacheScope, Message, prefix_schemes
from yuccagauge.prefixes.messages import MAXIMUM_LEVELS

_CACHE_SCOPE = CacheScope(
    customer='namport',
    model='matcher',
    adapter='',
    weights_version='w1',
)
_PROPERTY = settings(derandomize=True, database=None, deadline=None)
_MESSAGES = st.lists(
    st.builds(
        Message,
        st.sampled_from(['system', 'user']),
        st.integers(0, 20_000).map(lambda size: 'ab' * (size // 2)),
    ),
    min_size=1,
    max_size=5,
)

#: Twice these have more levels than a prefix may have.
_LONG_MESSAGES = list(repeat(Message('user', 'ab' * 10_000), 5))


def _derive(scheme, *messages, cache_scope=_CACHE_SCOPE):
    return prefix_schemes.get(scheme)().derive_levels(cache_scope, messages)


@then('with the prefix scheme "{scheme}" equal beginnings give equal levels')
def then_equal_beginnings(context: Context, scheme: str) -> None:
    """Guard against levels that depend on what follows them."""

    @_PROPERTY
    @example(_LONG_MESSAGES, _LONG_MESSAGES)
    @forall(_MESSAGES, _MESSAGES)
    def check(shared, rest):
        shared_prefix = _derive(scheme, *shared)
        whole_prefix = _derive(scheme, *shared, *rest)
        count = len(shared_prefix.levels)
        if len(whole_prefix.levels) == MAXIMUM_LEVELS:
            # Of a longer list, the first half at least is kept.
            count = min(count, MAXIMUM_LEVELS // 2)
        common = whole_prefix.levels[:count]
        assert common == shared_prefix.levels[:count]
        digests = [level.digest for level in whole_prefix.levels]
        assert len(set(digests)) == len(digests)
        sizes = [level.tokens for level in whole_prefix.levels]
        assert sizes == sorted(sizes)

    check()


@then(
    'with the prefix scheme "{scheme}" all but one block or one fifth of a '
    'text shared inside one message is found',
)
def then_nested(context: Context, scheme: str) -> None:
    """Guard against missing a shared text that only begins its message."""

    @_PROPERTY
    @forall(st.integers(2048, 200_000))
    def check(size):
        shared = 'w' * size
        one = _derive(scheme, Message('system', f'{shared}x'))
        other = _derive(scheme, Message('system', f'{shared}y'))
        found = set(one.levels) & set(other.levels)
        tokens = max(level.tokens for level in found)
        assert tokens * 4 >= min(size * 0.8, size - 2048) - 4
        assert len(one.levels) < 64

    check()


@then(
    'prompts of cache scopes that differ in one field share no prefix level '
    'or cache salt',
)
def then_scopes(context: Context) -> None:
    """Guard against matches across customers, models, adapters or weights."""
    message = Message('user', 'w' * 9000)
    base = _derive('messages', message)
    for field in ('customer', 'model', 'adapter', 'weights_version'):
        other = dataclasses.replace(_CACHE_SCOPE, **{field: 'other'})
        derived = _derive('messages', message, cache_scope=other)
        assert not {level.digest for level in derived.levels} & {
            level.digest for level in base.levels
        }
        assert other.cache_salt != _CACHE_SCOPE.cache_salt
    shifted = dataclasses.replace(
        _CACHE_SCOPE, customer='namportm', model='atcher'
    )
    assert shifted.cache_salt != _CACHE_SCOPE.cache_salt


@then(
    'one message and the same text in two messages end in different prefix '
    'levels',
)
def then_boundaries(context: Context) -> None:
    """Guard against digests that ignore where a message ends."""
    whole = _derive('messages', Message('user', 'ab'))
    split = _derive('messages', Message('user', 'a'), Message('user', 'b'))
    forged = _derive('messages', Message('user', 'a\xfe\xffuser\xffb'))
    ends = {prompt.levels[-1].digest for prompt in (whole, split, forged)}
    assert len(ends) == 3


@then(
    'a conversation of {count:d} messages has {levels:d} prefix levels '
    'including the first and the last',
)
def then_conversation(context: Context, count: int, levels: int) -> None:
    """Guard against decisions whose cost grows with the conversation."""
    messages = [Message('user', str(number)) for number in range(count)]
    prompt = _derive('messages', *messages)
    assert len(prompt.levels) == levels
    assert prompt.levels[0] == _derive('messages', messages[0]).levels[0]
    assert prompt.levels[-1].tokens == prompt.prompt_tokens
