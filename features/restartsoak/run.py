"""Run seeds one after the other; print the counts of each as JSON."""

import argparse
import asyncio
import json
import os
import pathlib
import shutil
import signal
import sys
from collections import Counter
from functools import partial

from features.restartsoak import plan as plans
from features.restartsoak.client import DEADLINE_MS, HOST, Client
from features.restartsoak.judge import VIOLATIONS, Judge
from features.restartsoak.serverprocess import ServerProcess
from features.restartsoak.servers import MODEL, build_server
from features.restartsoak.statements import parse_statements, uniform_choice
from review import yard

_ZONES = 'abc'
_SETTLE_SECONDS = 3
_EXIT_BROKEN = 1
_MOST_DETAILS = 10
_OK = 200


def _route(name):
    is_stream = name in plans.STREAMS
    may_repeat = name == 'read'
    kinds = ('non_idempotent', 'idempotent')
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'kind': 'streaming' if is_stream else kinds[may_repeat],
        'timeoutMs': DEADLINE_MS,
        'sloMs': 500,
        'priority': 0,
        'service': 'lm' if is_stream else 'plain',
        'attempts': 2 if name in {'talk', 'read'} else 1,
        'public': False,
        'sticky': is_stream,
        'canResume': name == 'talk',
        'gapAimMs': 300,
    }


def _configuration():
    return {
        'version': 3,
        'routes': [_route(name) for name, _ in plans.ROUTES],
        'services': [
            yard.model_service('lm', MODEL),
            yard.plain_service('plain'),
        ],
        'limits': yard.LIMITS,
        'tenants': [{'name': 'sese880', 'apiKeys': ['k1'], 'priority': 1}],
    }


class Soak:
    """One run of one seed.

    Parameters
    ----------
    seed
        Decides requests and disturbances.
    seconds
        How long requests are sent.
    choice
        What the servers state; ``None`` if the seed decides.
    is_calm
        Whether nothing is disturbed.
    """

    def __init__(self, seed, seconds, choice, *, is_calm):
        """Start nothing."""
        self._seed = seed
        self._plan = plans.plan_run(seed, seconds, choice)
        self._is_calm = is_calm
        self._servers = []
        self._clients = []
        self._yard = None
        self._record = None

    async def run(self, keep, *, keeps_all):
        """Run, and return the counts; keep the logs if a rule was broken."""
        self._yard = yard.Yard(None, yard.default_settings())
        folder = self._yard.folder
        self._record = yard.Record(folder / 'record.txt')
        self._yard.record = self._yard.store.record = self._record
        logs = folder.with_name(f'{folder.name}-logs')
        try:
            counts = self._judge(await self._play())
        finally:
            for server in self._servers:
                server.close()
            shutil.copytree(folder, logs)
            self._yard.close()
        if keeps_all or counts['details']:
            target = pathlib.Path(keep) / f'seed-{self._seed}'
            shutil.rmtree(target, ignore_errors=True)
            shutil.copytree(logs, target)
        shutil.rmtree(logs)
        return counts

    async def _play(self):
        deployment = self._yard
        await deployment.store.listen()
        deployment.configure(_configuration())
        deployment.name_weights(MODEL, 1)
        for number in range(plans.ENGINES + plans.SERVERS):
            self._add_server(number)
        deployment.add_routers(_ZONES)
        await deployment.start_routers()
        for server in self._servers:
            server.start(0)
        await asyncio.sleep(_SETTLE_SECONDS)
        self._record.write('requests begin')
        finished = []
        self._clients = [
            Client(first, deployment.routers)
            for first in range(len(self._plan.requests))
        ]
        running = [
            client.run(requests, finished)
            for client, requests in zip(
                self._clients, self._plan.requests, strict=True
            )
        ]
        await asyncio.gather(*running, *self._disturbances())
        return finished

    def _add_server(self, number):
        kind = 'engine' if number < plans.ENGINES else 'server'
        host = self._yard.host(100 + number)
        zone = _ZONES[number % len(_ZONES)]
        server = build_server(
            kind, host, zone, self._yard.store, self._plan.id_step
        )
        server.port = yard.free_port(host)
        statements = partial(self._plan.choice.of, number)
        process = ServerProcess(kind, server, self._record, statements)
        self._servers.append(process)
        process.prepare()

    def _disturbances(self):
        if self._is_calm:
            return
        for kill in self._plan.kills:
            yield self._kill(kill)
        for pause in self._plan.pauses:
            yield self._pause(pause)
        if self._plan.choice.removes_entries:
            for removal in self._plan.removals:
                yield self._remove(removal)

    async def _kill(self, kill):
        await asyncio.sleep(kill.at)
        await self._servers[kill.server].restart(kill)

    async def _pause(self, pause):
        router = self._yard.routers[pause.router]
        await asyncio.sleep(pause.at)
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(pause.duration)
        router.signal(signal.SIGCONT)

    async def _remove(self, removal):
        await asyncio.sleep(removal.at)
        self._servers[removal.server].remove_entry(removal)

    def _judge(self, finished):
        counts = Counter()
        ends = Counter()
        violations = []
        for request, answers in finished:
            judge = Judge(request, self._plan.id_step)
            found = judge.judge(answers)
            violations += found
            last = answers[-1]
            kind = _kind(request)
            counts[kind] += 1
            is_answered = last.status == _OK and last.is_complete
            counts[f'whole {kind}'] += is_answered and judge.is_whole
            if is_answered:
                counts['answered'] += 1
            else:
                ends[_end(request, last)] += 1
            counts['moved'] += judge.processes > 1
            counts['broken'] += any(
                answer.status == _OK and not answer.is_complete
                for answer in answers
            )
            counts['taken up'] += len(answers) > 1
            self._write(request, answers, found)
        kinds = Counter(kind for kind, _ in violations)
        return {
            'seed': self._seed,
            **self._plan.choice.describe(),
            'requests': len(finished),
            'connections': sum(client.opened for client in self._clients),
            **dict(sorted(counts.items())),
            'not answered': dict(sorted(ends.items())),
            'kills': 0 if self._is_calm else len(self._plan.kills),
            'pauses': 0 if self._is_calm else len(self._plan.pauses),
            'removals': sum(server.removals for server in self._servers),
            'routers ended': sum(
                router.process.poll() is not None
                for router in self._yard.routers
            ),
            'violations': {kind: kinds[kind] for kind in VIOLATIONS},
            'details': violations[:_MOST_DETAILS],
        }

    def _write(self, request, answers, violations):
        self._record.write(f'{request}')
        for answer in answers:
            self._record.write(
                f'  {answer.request_id} at {answer.router}: {answer.status}, '
                f'{len(answer.body)} bytes, complete {answer.is_complete} '
                f'{answer.error}'
            )
        for violation in violations:
            self._record.write(f'  VIOLATION {violation}')


def _kind(request):
    """Return the kind of answer by which whole ones are counted."""
    kind = 'streams' if request.route in plans.STREAMS else 'calls'
    framing = 'unframed' if request.is_unframed else 'framed'
    return f'{framing} {kind}'


def _end(request, answer):
    """Return how a request ended that was not answered."""
    if answer.is_complete:
        return f'{request.route} {answer.status}'
    if answer.status:
        return f'{request.route} broken off'
    return f'{request.route} no answer'


def _options():
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=12)
    parser.add_argument('--calm', action='store_true')
    parser.add_argument('--keep', default='target/restartsoak')
    parser.add_argument('--keeps-all', action='store_true')
    parser.add_argument(
        '--states',
        type=parse_statements,
        help='entry, report and epoch, or -; the seed decides without it',
    )
    parser.add_argument('--removes-entries', action='store_true')
    options = parser.parse_args()
    if options.removes_entries and options.states is None:
        parser.error('--removes-entries needs --states')
    return options


def _chosen(options):
    """Return what the arguments choose; ``None`` if the seed decides."""
    if options.states is None:
        return None
    return uniform_choice(
        options.states, removes_entries=options.removes_entries
    )


def main():
    """Run the seeds that the arguments name; exit with 1 if a rule broke."""
    options = _options()
    choice = _chosen(options)
    # The deploy file starts python3; this is the one with the libraries.
    paths = (os.path.dirname(sys.executable), os.environ['PATH'])
    os.environ['PATH'] = os.pathsep.join(paths)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(_EXIT_BROKEN))
    is_broken = False
    for seed in range(options.seed, options.seed + options.seeds):
        soak = Soak(seed, options.seconds, choice, is_calm=options.calm)
        counts = asyncio.run(
            soak.run(options.keep, keeps_all=options.keeps_all)
        )
        is_broken = is_broken or bool(counts['details'])
        print(json.dumps(counts), flush=True)
    sys.exit(_EXIT_BROKEN if is_broken else 0)


if __name__ == '__main__':
    main()
