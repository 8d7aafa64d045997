"""Steps for the crashes of requests in the log of the platform."""

from behave import then, when
from behave.runner import Context

from features.loop import wait_for_call
from yuccagauge.clock import Millis
from yuccagauge.quarantine.archive import StoredCrash

_TOPIC = 'keyed.crashes'


def _crashes(count: int) -> tuple[StoredCrash, ...]:
    return tuple(
        StoredCrash(
            fingerprint=b'\x00\xff%d' % number,
            crash=f'c{number}',
            crashed_at=Millis(number),
        )
        for number in range(count)
    )


def _write(context: Context, crashes: tuple[StoredCrash, ...]) -> None:
    wait_for_call(context.lease_stores[0].write_crashes, crashes)


def _list(context: Context) -> tuple[StoredCrash, ...]:
    return wait_for_call(context.lease_stores[1].list_crashes)


@when('a router writes {count:d} crashes and removes {removed:d} of them')
def write_and_remove(context: Context, count: int, removed: int) -> None:
    """Write crashes in one call, and remove the first ones in another."""
    context.crashes = _crashes(count)
    _write(context, context.crashes)
    _write(
        context,
        tuple(
            StoredCrash(
                fingerprint=each.fingerprint, crash=each.crash, crashed_at=None
            )
            for each in context.crashes[:removed]
        ),
    )


@when(
    'a router writes {count:d} crash and another writer {malformed:d} '
    'malformed ones'
)
def write_malformed(context: Context, count: int, malformed: int) -> None:
    """Write crashes beside records of another kind."""
    _write(context, _crashes(count))
    for number in range(malformed):
        context.log_store.write(_TOPIC, f'not-hex-{number}', b'1')


@then('the store lists the other {count:d} crashes')
def check_remaining(context: Context, count: int) -> None:
    """Compare the listing with what was written."""
    assert _list(context) == context.crashes[-count:]


@then('the store lists {count:d} crash')
def check_listed(context: Context, count: int) -> None:
    """Compare the number of crashes."""
    assert len(_list(context)) == count
