"""An engine process whose streams have neither a length nor chunks.

It writes whole events only, so that a stream that its death ends lacks no byte
of its last event. Half of each stream waits for the signal USR1.
"""

import asyncio
import signal
import sys

_HEAD_END = b'\r\n\r\n'
_REQUEST_ID = b'x-yuccagauge-request-id'


def _write_events(writer: asyncio.StreamWriter, numbers: range) -> None:
    for number in numbers:
        writer.write(b'id: %d\ndata: t%d\n\n' % (number, number))


async def _serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    count: int,
    may_go_on: asyncio.Event,
) -> None:
    try:
        head = await reader.readuntil(_HEAD_END)
    except asyncio.IncompleteReadError:
        writer.close()
        return
    if head.startswith(b'GET /api/report '):
        writer.write(b'HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}')
        writer.close()
        return
    fields = dict(
        line.lower().split(b': ', 1) for line in head.strip().split(b'\r\n')[1:]
    )
    await reader.readexactly(int(fields.get(b'content-length', b'0')))
    writer.write(
        b'HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n'
        b'X-Yuccagauge-Server-Stamp: s\r\n'
        b'X-Yuccagauge-Request-Id: %s\r\n\r\n' % fields[_REQUEST_ID]
    )
    first = int(fields.get(b'last-event-id', b'0')) + 1
    _write_events(writer, range(first, count // 2 + 1))
    await may_go_on.wait()
    _write_events(writer, range(max(first, count // 2 + 1), count + 1))
    writer.close()


async def _run(count: int) -> None:
    may_go_on = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, may_go_on.set)
    server = await asyncio.start_server(
        lambda reader, writer: _serve(reader, writer, count, may_go_on),
        '127.0.0.1',
        0,
    )
    port = server.sockets[0].getsockname()[1]
    sys.stdout.write(f'{port}\n')
    sys.stdout.flush()
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(_run(int(sys.argv[1])))
