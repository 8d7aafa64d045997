"""Traffic like that of Kalahari Shiftline."""

from yuccagauge.clock import Millis
from yuccagauge.loadgen.base import PROFILES, Profile, Volume

#: A burst at the beginning of each of this many periods.
_PERIODS = 3
#: Share of the requests that come in bursts, and of the time they take.
_BURST_REQUESTS = 0.6
_BURST_TIME = 0.2


@PROFILES.register
class ShiftlineProfile(Profile):
    """Client file, worker and question, in bursts at dawn."""

    name = 'shiftline'
    aliases = ('kalahari-shiftline',)
    model_service = 'matcher-llm'
    plain_service = 'roster-api'
    model = 'matcher-70b'
    plain_path = '/bookings'
    customers = (
        'namport',
        'walvis',
        'swakop',
        'oshakati',
        'rundu',
        'tsumeb',
        'gobabis',
        'luderitz',
    )
    file_tokens = 1500
    person_tokens = 200
    files = 2
    persons = 10

    def times(self, volume: Volume) -> list[Millis]:
        """Return times of which most fall into bursts."""
        period = volume.duration / _PERIODS
        found: list[Millis] = []
        for _ in range(volume.requests):
            start = self._random.randrange(_PERIODS) * period
            is_burst = self._random.random() < _BURST_REQUESTS
            width = period * _BURST_TIME if is_burst else period
            found.append(Millis(int(start + self._random.random() * width)))
        return sorted(found)

    def question(self, number: int) -> str:
        """Ask for a match or a brief."""
        if self._random.getrandbits(1):
            return f'Question {number}: does the worker fit the shift?'
        return f'Question {number}: draft the brief for the shift.'
