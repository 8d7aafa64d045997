"""Compares the direct way to an engine with the way through a router."""

import hashlib
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from yuccagauge.adoption.publish import publish
from yuccagauge.logstream.client import LogClient
from yuccagauge.overhead.load import CREDENTIAL, LoadResult, LoadRun, LoadShape
from yuccagauge.settings.options import Endpoint, parse_endpoint
from yuccagauge.settings.reader import RawSections, render

_ENGINES = 3
_SETTLE_SECONDS = 2
_MICROSECONDS = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class OverheadReport:
    """The figures of one run."""

    direct_p50_ms: float
    direct_p99_ms: float
    routed_p50_ms: float
    routed_p99_ms: float
    added_p99_ms: float
    cpu_per_request_us: float
    cpu_per_chunk_us: float
    #: Share of one core that the router used under the whole load.
    cpu_share: float
    requests: int
    incomplete: int

    def as_text(self) -> str:
        """Return one line for each figure."""
        names = self.__slots__
        return '\n'.join(
            f'{name}: {round(getattr(self, name), 3)}' for name in names
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class _Setup:
    router: subprocess.Popen
    listen: Endpoint
    log: Endpoint
    engines: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class _CpuTimes:
    """CPU time of the router, in seconds."""

    #: For the answers of one token.
    brief: float
    #: For the full answers.
    whole: float
    #: Wall time of the full answers, with the last streams' end.
    elapsed: float


def measure(shape: LoadShape) -> OverheadReport:
    """Start everything as processes, load it, and stop it."""
    with ExitStack() as stack:
        setup = _start(stack)
        measuring: list[Deferred[OverheadReport]] = []
        reactor.callWhenRunning(
            lambda: measuring.append(
                _measure(setup, shape).addBoth(_stop_reactor),
            ),
        )
        reactor.run()
    outcome = measuring[0].result
    if isinstance(outcome, Failure):
        outcome.raiseException()
    return outcome


def _stop_reactor(outcome: Any) -> Any:
    reactor.stop()
    return outcome


@inlineCallbacks
def _measure(setup: _Setup, shape: LoadShape) -> Deferred[OverheadReport]:
    log = LogClient(setup.log, reactor)
    yield publish(log, 'matcher-llm', -1, _document(setup.engines))
    yield deferLater(reactor, _SETTLE_SECONDS, lambda: None)
    short = LoadShape(
        rate=shape.rate,
        tokens=1,
        prompt_tokens=shape.prompt_tokens,
        seconds=shape.seconds,
        warm_up=1,
    )
    before = _cpu_seconds(setup.router)
    brief = yield LoadRun([setup.listen], short).run()
    request_cpu = _cpu_seconds(setup.router) - before
    direct = yield LoadRun(setup.engines, shape).run()
    before = _cpu_seconds(setup.router)
    began_at = time.monotonic()
    routed = yield LoadRun([setup.listen], shape).run()
    whole_cpu = _cpu_seconds(setup.router) - before
    cpu = _CpuTimes(
        brief=request_cpu,
        whole=whole_cpu,
        elapsed=time.monotonic() - began_at,
    )
    return _report(shape, (brief, direct, routed), cpu)


def _report(
    shape: LoadShape,
    results: tuple[LoadResult, LoadResult, LoadResult],
    cpu: _CpuTimes,
) -> OverheadReport:
    _, direct, routed = results
    per_request = cpu.brief / (shape.rate * (shape.seconds + 1))
    calls = shape.rate * (shape.seconds + shape.warm_up)
    chunk_cpu = cpu.whole - per_request * calls
    direct_p50, direct_p99 = _percentiles(direct)
    routed_p50, routed_p99 = _percentiles(routed)
    return OverheadReport(
        direct_p50_ms=direct_p50,
        direct_p99_ms=direct_p99,
        routed_p50_ms=routed_p50,
        routed_p99_ms=routed_p99,
        added_p99_ms=routed_p99 - direct_p99,
        cpu_per_request_us=per_request * _MICROSECONDS,
        cpu_per_chunk_us=chunk_cpu / (calls * shape.tokens) * _MICROSECONDS,
        cpu_share=cpu.whole / cpu.elapsed,
        requests=routed.requests,
        incomplete=sum(result.incomplete for result in results),
    )


def _percentiles(result: LoadResult) -> tuple[float, float]:
    p50, p99 = np.percentile(result.first_token, (50, 99))
    return float(p50), float(p99)


def _start(stack: ExitStack) -> _Setup:
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    log, vm_list = (
        stack.enter_context(_standin(folder, kind))
        for kind in ('log', 'vm-list')
    )
    engines = tuple(
        parse_endpoint(
            stack.enter_context(_process('overhead-engine'))[1].strip(),
        )
        for _ in range(_ENGINES)
    )
    settings = folder / 'router.ini'
    settings.write_text(render(_settings(log, vm_list)), encoding='utf-8')
    process, line = stack.enter_context(_process('router', str(settings)))
    return _Setup(
        router=process,
        listen=parse_endpoint(json.loads(line)['listen']),
        log=log,
        engines=engines,
    )


@contextmanager
def _standin(folder: Path, kind: str) -> Iterator[Endpoint]:
    settings = folder / f'{kind}.ini'
    settings.write_text('[standin]\n', encoding='utf-8')
    with _process('standin', kind, str(settings)) as started:
        yield parse_endpoint(json.loads(started[1])['address'])


@contextmanager
def _process(*command: str) -> Iterator[tuple[subprocess.Popen, str]]:
    process = subprocess.Popen(
        [sys.executable, '-m', 'yuccagauge', *command],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        yield process, process.stdout.readline()
    finally:
        process.kill()
        process.wait()


def _settings(log: Endpoint, vm_list: Endpoint) -> RawSections:
    return {
        'router': {
            'name': 'overhead',
            'region': 'khomas',
            'data_centre': 'khomas-a',
            'listen': '127.0.0.1:0',
            'peer_listen': '127.0.0.1:0',
            'admin_listen': '127.0.0.1:0',
            'services': 'matcher-llm',
        },
        'platform': {'log': str(log), 'vm_list': str(vm_list)},
    }


def _document(engines: Sequence[Endpoint]) -> RawSections:
    digest = hashlib.sha256(CREDENTIAL.encode()).hexdigest()
    return {
        'service': {'name': 'matcher-llm', 'kind': 'model', 'owner': 'bench'},
        'model matcher-70b': {'weights_version': 'w1'},
        'customer bench': {'credential_sha256': digest, 'concurrent': '5000'},
        **{
            f'backend {engine}': {'data_centre': 'khomas-a'}
            for engine in engines
        },
    }


def _cpu_seconds(process: subprocess.Popen) -> float:
    """Return the CPU time of a process, in seconds, from ``/proc``."""
    text = Path(f'/proc/{process.pid}/stat').read_text(encoding='utf-8')
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')
