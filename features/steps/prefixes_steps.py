"""Steps for prefix identity."""

import dataclasses

from behave import then
from behave.runner import Context
from hypothesis import given as forall
from hypothesis import settings
from hypothesis import strategies as st

from yuccagauge.prefixes import CacheScope, Message, prefix_schemes

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


def _derive(scheme, *messages, cache_scope=_CACHE_SCOPE):
    return prefix_schemes.get(scheme)().derive_levels(cache_scope, messages)


@then('by the prefix scheme "{scheme}" equal beginnings give equal levels')
def then_equal_beginnings(context: Context, scheme: str) -> None:
    """Guard against levels that depend on what follows them."""

    @_PROPERTY
    @forall(_MESSAGES, _MESSAGES)
    def check(shared, rest):
        alone = _derive(scheme, *shared)
        longer = _derive(scheme, *shared, *rest)
        count = len(alone.levels)
        assert longer.levels[:count] == alone.levels
        digests = [level.digest for level in longer.levels]
        assert len(set(digests)) == len(digests)
        sizes = [level.tokens for level in longer.levels]
        assert sizes == sorted(sizes)

    check()


@then(
    'by the prefix scheme "{scheme}" all but a block or a fifth of a text '
    'shared inside one message is found',
)
def then_nested(context: Context, scheme: str) -> None:
    """Guard against missing a wording that shares its message."""

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
    'prompts of identities that differ in one field share no prefix level '
    'or salt',
)
def then_identities(context: Context) -> None:
    """Guard against a match across customers, adapters or weights."""
    message = Message('user', 'w' * 9000)
    known = _derive('messages', message)
    for field in ('customer', 'model', 'adapter', 'weights_version'):
        other = dataclasses.replace(_CACHE_SCOPE, **{field: 'other'})
        derived = _derive('messages', message, cache_scope=other)
        assert not {level.digest for level in derived.levels} & {
            level.digest for level in known.levels
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
    """Guard against digests that forget where a message ends."""
    whole = _derive('messages', Message('user', 'ab'))
    split = _derive('messages', Message('user', 'a'), Message('user', 'b'))
    forged = _derive('messages', Message('user', 'a\xfe\xffuser\xffb'))
    ends = {prompt.levels[-1].digest for prompt in (whole, split, forged)}
    assert len(ends) == 3


@then(
    'a conversation of {count:d} messages has {levels:d} prefix levels with '
    'the first and the last',
)
def then_conversation(context: Context, count: int, levels: int) -> None:
    """Guard against unbounded decisions for long conversations."""
    messages = [Message('user', str(number)) for number in range(count)]
    prompt = _derive('messages', *messages)
    assert len(prompt.levels) == levels
    assert prompt.levels[0] == _derive('messages', messages[0]).levels[0]
    assert prompt.levels[-1].tokens == prompt.prompt_tokens
