"""Judge the answers of one request."""

import json
from dataclasses import dataclass

from features.restartsoak.plan import STREAMS

_OK = 200

#: What every run reports, found or not.
VIOLATIONS = (
    'piece missing',
    'piece twice or out of order',
    'pieces of two software versions',
    'pieces of two processes',
    'end before the last piece',
    'event cut inside',
    'plain body cut',
    'piece of another request',
    'bytes that are no piece',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Piece:
    """One piece, as its server wrote it."""

    label: str
    number: int
    total: int
    born: int
    software: str


class Judge:
    """Collects the violations of one request.

    Parameters
    ----------
    request
        What was asked for.
    id_step
        The difference between the ids of two events.
    """

    def __init__(self, request, id_step):
        """Start without answers."""
        self._request = request
        self._id_step = id_step
        self._pieces = []
        self.violations = []

    @property
    def processes(self):
        """How many processes wrote the pieces."""
        return len({piece.born for piece in self._pieces})

    @property
    def is_whole(self):
        """Whether the answers have all pieces, and nothing else."""
        total = self._request.pieces
        return len(self._pieces) == total and not self.violations

    def judge(self, answers):
        """Judge all answers of the request, in their order."""
        for answer in answers:
            if answer.status != _OK:
                continue
            if self._request.route in STREAMS:
                self._judge_stream(answer)
            else:
                self._judge_body(answer)
        self._compare(self._pieces, 'software')
        return self.violations

    def _judge_stream(self, answer):
        *events, rest = answer.body.decode().split('\n\n')
        begun = len(self._pieces)
        for event in events:
            self._add_event(event)
        if self._request.route == 'once':
            self._compare(self._pieces[begun:], 'born')
        if not answer.is_complete:
            return
        if rest:
            self._violate('event cut inside', rest)
        last = self._pieces[-1].number if self._pieces else 0
        if last < self._request.pieces:
            detail = f'{last} of {self._request.pieces}'
            self._violate('end before the last piece', detail)

    def _add_event(self, event):
        lines = event.split('\n')
        names = [line[:4] for line in lines]
        piece = _parse(lines[1][6:]) if names == ['id: ', 'data'] else None
        if piece is None:
            self._violate('bytes that are no piece', event)
            return
        expected = self._pieces[-1].number + 1 if self._pieces else 1
        if int(lines[0][4:]) != piece.number * self._id_step:
            self._violate('bytes that are no piece', event)
        self._add(piece, expected)

    def _add(self, piece, expected):
        detail = f'{piece} in place of {expected}'
        if piece.label != self._request.label:
            self._violate('piece of another request', detail)
        elif piece.number > expected:
            self._violate('piece missing', detail)
        elif piece.number < expected:
            self._violate('piece twice or out of order', detail)
        self._pieces.append(piece)

    def _judge_body(self, answer):
        # A body is repeated from its beginning.
        self._pieces = []
        *lines, rest = answer.body.decode().split('\n')
        for line in lines:
            piece = _parse(line)
            if piece is None:
                self._violate('bytes that are no piece', line)
                return
            self._add(piece, len(self._pieces) + 1)
        self._compare(self._pieces, 'born')
        if not answer.is_complete:
            return
        if rest or len(self._pieces) < self._request.pieces:
            detail = f'{len(self._pieces)} of {self._request.pieces}'
            self._violate('plain body cut', detail)

    def _compare(self, pieces, name):
        kinds = {
            'born': 'pieces of two processes',
            'software': 'pieces of two software versions',
        }
        found = {getattr(piece, name) for piece in pieces}
        if len(found) > 1:
            self._violate(kinds[name], str(sorted(found)))

    def _violate(self, kind, detail):
        self.violations.append((kind, f'{self._request.label}: {detail}'))


def _parse(text):
    """Return a piece, or nothing if the text is none."""
    try:
        label, number, total, born, software = json.loads(text)
    except ValueError:
        return None
    return Piece(
        label=label,
        number=number,
        total=total,
        born=born,
        software=software,
    )
