"""Steps for the log client and its follower."""

import json

from behave import given, then, when
from behave.runner import Context
from twisted.internet import reactor
from twisted.internet.defer import Deferred, succeed

from features.loop import wait_for, wait_for_call, wait_until
from features.memory_log import MemoryLog
from features.simulation import new_reactor, pass_time
from yuccagauge.clock import Millis
from yuccagauge.directory.position import UNKNOWN_ERA
from yuccagauge.logstream.backoff import Backoff
from yuccagauge.logstream.base import LogError, LogPage, LogRecord
from yuccagauge.logstream.client import LogClient, parse_page
from yuccagauge.logstream.follower import Follower
from yuccagauge.settings.options import Endpoint
from yuccagauge.standins import load_kinds
from yuccagauge.standins.base import STANDINS

_TIMEOUT = Millis(1000)


class Reader:
    """Keeps what a follower delivers."""

    def __init__(self) -> None:
        self.seen: list[str] = []

    def read_gap(self, expected: int, first_offset: int) -> None:
        self.seen.append(f'gap {expected}-{first_offset}')

    def read_restored(self, era: int) -> None:
        self.seen.append(f'era {era}')

    def read_page(self, page: LogPage) -> None:
        self.seen.extend(record.payload.decode() for record in page.records)


def _start_log(context: Context) -> None:
    load_kinds()
    context.log_standin = STANDINS.get('log')({})
    wait_for_call(context.log_standin.start)
    context.add_cleanup(wait_for_call, context.log_standin.close)


def _start_client(context: Context, endpoint: Endpoint) -> None:
    client = LogClient(endpoint, reactor, timeout=_TIMEOUT)
    context.log_client = client
    context.add_cleanup(wait_for_call, client.close)


@given('a log client of a log stand-in')
def given_client(context: Context) -> None:
    _start_log(context)
    _start_client(context, context.log_standin.endpoint)


@given('a log client of a closed port')
def given_closed(context: Context) -> None:
    _start_log(context)
    endpoint = context.log_standin.endpoint
    wait_for_call(context.log_standin.close)
    _start_client(context, endpoint)


@given('the log stand-in has "{knob}" set to "{text}"')
def given_knob(context: Context, knob: str, text: str) -> None:
    board = context.log_standin._board
    context.log_standin._faults = board.set_knobs({knob: text})
    context.log_standin.faults_changed()


@given('a log follower of "{stream}"')
def given_follower(context: Context, stream: str) -> None:
    context.log_reader = Reader()
    backoff = Backoff(1, maximum=Millis(100))
    follower = Follower(
        context.log_client,
        stream,
        context.log_reader,
        reactor,
        backoff,
        wait=Millis(500),
    )
    context.log_follower = follower
    follower.start()
    context.add_cleanup(follower.close)


@given('a log follower whose reader fails on its second page')
def given_failing_reader(context: Context) -> None:
    clock = new_reactor()
    log = MemoryLog(clock)
    pages: list[LogPage] = []

    class FailingReader(Reader):
        def read_page(self, page: LogPage) -> None:
            pages.append(page)
            if len(pages) == 2:
                raise ValueError('damaged')

    follower = Follower(log, 's', FailingReader(), clock, Backoff(1))
    follower.start()
    for _ in range(4):
        log.put('s', b'record')
        pass_time(clock, 1)
    context.log_follower = follower
    context.log_pages = pages


class EraLog:
    """A log that has one record more at each read, in eras that it is given."""

    def __init__(self, eras: str) -> None:
        self._eras = eras.split()

    def read(
        self, stream: str, after: int, limit: int, wait: Millis
    ) -> Deferred:
        """Answer, or wait for ever once all eras were named."""
        if not self._eras:
            return Deferred()
        era = self._eras.pop(0)
        record = LogRecord(
            offset=after + 1, time=Millis(0), payload=era.encode()
        )
        page = LogPage(
            first_offset=0,
            next_offset=after + 2,
            records=(record,),
            era=UNKNOWN_ERA if era == 'none' else int(era),
        )
        return succeed(page)


@given('a log follower of pages with one record each, in the eras "{eras}"')
def given_eras(context: Context, eras: str) -> None:
    clock = new_reactor()
    context.log_reader = Reader()
    follower = Follower(
        EraLog(eras), 's', context.log_reader, clock, Backoff(1)
    )
    follower.start()
    pass_time(clock, 10)
    assert not follower.failing


@when('the log client appends "{texts}" to "{stream}"')
def when_appended(context: Context, texts: str, stream: str) -> None:
    context.log_error = None
    for text in texts.split(', '):
        try:
            wait_for(context.log_client.append(stream, text.encode()))
        except LogError as error:
            context.log_error = error


@then('the log client reads "{texts}" from "{stream}" after {after:d}')
def then_reads(context: Context, texts: str, stream: str, after: int) -> None:
    call = context.log_client.read(stream, after, 10, Millis(0))
    page = wait_for(call)
    found = [record.payload.decode() for record in page.records]
    assert found == texts.split(', '), found
    assert page.records[0].offset == after + 1


@then('the log append fails with "{name}"')
def then_fails(context: Context, name: str) -> None:
    assert type(context.log_error).__name__ == name, context.log_error


@then('the log follower has "{texts}"')
def then_followed(context: Context, texts: str) -> None:
    expected = texts.split(', ')
    wait_until(lambda: len(context.log_reader.seen) >= len(expected))
    assert context.log_reader.seen == expected, context.log_reader.seen


@then('the log follower is failing')
def then_failing(context: Context) -> None:
    wait_until(lambda: context.log_follower.failing)


@then('the failed log follower has delivered {count:d} pages and stopped')
def then_stopped(context: Context, count: int) -> None:
    assert len(context.log_pages) == count
    assert context.log_follower.failing
    assert not context.log_follower.caught_up


@then('the follower of eras has read "{found}"')
def then_read_eras(context: Context, found: str) -> None:
    expected = [each.replace('anew-', 'era ') for each in found.split()]
    assert context.log_reader.seen == expected, context.log_reader.seen


@then('a page that names the era {value} has the era {era:d}')
def then_era(context: Context, value: str, era: int) -> None:
    answer = {'first_offset': 0, 'next_offset': 0, 'records': []}
    page = parse_page('s', answer | {'era': json.loads(value)})
    assert page.era == era, page
