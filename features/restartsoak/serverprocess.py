"""A process with one server, which waits for the order to start."""

import asyncio
import json
import os
import subprocess
import sys
import threading
import time

from features.restartsoak.servers import build_server
from review import yard

_FIELDS = ('server_id', 'port', 'born', 'software', 'epoch')


class ServerProcess:
    """One server as a series of processes with the same id and address.

    The next process is started ahead and waits, so that a server can be back
    at once after its end.

    Parameters
    ----------
    kind
        ``engine`` or ``server``.
    server
        Describes the server, and writes its entries.
    record
        What happens is written there.
    statements
        Returns what a process of a software version states of itself.
    """

    def __init__(self, kind, server, record, statements):
        """Start nothing."""
        self._statements = statements
        self._kind = kind
        self._server = server
        self._record = record
        self._serving = None
        self._waiting = None
        self._beating = None
        #: How often the entry of a live process was removed.
        self.removals = 0

    def prepare(self):
        """Start the process that waits."""
        self._waiting = subprocess.Popen(
            [sys.executable, '-m', 'features.restartsoak.serverprocess'],
            stdin=subprocess.PIPE,
            cwd=yard.ROOT,
            text=True,
        )

    def start(self, lag):
        """Let the waiting process serve; list it after the lag."""
        server = self._server
        server.born = max(int(time.time() * 1000), server.born + 1)
        server.beat = 0
        server.epoch += 1
        server.states = self._statements(server.software)
        fields = {name: getattr(server, name) for name in _FIELDS}
        fields['states'] = sorted(server.states)
        fields['kind'] = self._kind
        fields['host'] = server.host
        fields['id_step'] = getattr(server, 'id_step', 1)
        self._serving, self._waiting = self._waiting, None
        self._serving.stdin.write(f'{json.dumps(fields)}\n')
        self._serving.stdin.flush()
        self._record.write(f'{server.server_id}: start {server.born}')
        self._beating = asyncio.create_task(self._beat(lag))
        self.prepare()

    def kill(self):
        """End the process with SIGKILL."""
        self._record.write(f'{self._server.server_id}: SIGKILL')
        self._beating.cancel()
        self._serving.kill()
        self._serving.wait()

    async def restart(self, kill):
        """Kill the process, and start the next one."""
        self.kill()
        await asyncio.sleep(kill.down)
        if kill.changes_software:
            is_first = self._server.software == 'v1'
            self._server.software = 'v2' if is_first else 'v1'
        self.start(kill.lag)

    def remove_entry(self, removal):
        """Remove the entry of the process that lives, and write it again."""
        if self._serving.poll() is not None:
            return
        server = self._server
        self._record.write(f'{server.server_id}: entry removed')
        self.removals += 1
        self._beating.cancel()
        server.store.put('keyed.servers', server.server_id, b'')
        self._beating = asyncio.create_task(self._beat(removal.duration))

    def close(self):
        """End both processes."""
        if self._beating is not None:
            self._beating.cancel()
        for process in (self._serving, self._waiting):
            if process is not None:
                process.kill()
                process.wait()
                process.stdin.close()

    async def _beat(self, lag):
        await asyncio.sleep(lag)
        while True:
            self._server.write_entry()
            await asyncio.sleep(self._server.heartbeat_s)


def _end_with_parent():
    sys.stdin.read()
    os._exit(0)


async def _serve(fields):
    names = ('kind', 'host')
    kind, host = [fields.pop(name) for name in names]
    server = build_server(kind, host, 'a', None, fields.pop('id_step'))
    for name, field in fields.items():
        setattr(server, name, field)
    await server.listen()
    await asyncio.Event().wait()


if __name__ == '__main__':
    line = sys.stdin.readline()
    if line:
        threading.Thread(target=_end_with_parent, daemon=True).start()
        asyncio.run(_serve(json.loads(line)))
