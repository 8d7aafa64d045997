"""The store that engines load weights from."""

from dataclasses import dataclass

from twisted.internet import defer
from twisted.web.http import Request

from yuccagauge.settings.options import float_option
from yuccagauge.standins.base import STANDINS, Standin, json_answer, pause
from yuccagauge.standins.log import RateLimit


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightStoreSection:
    """``[weight-store]``: the rate limit."""

    loads_per_second: float = float_option(
        'Loads above this rate are answered 429.',
        default=2,
        minimum=0,
        maximum=1_000_000,
        unit='loads/s',
    )


@STANDINS.register
class WeightStoreStandin(Standin):
    """The weight store."""

    name = 'weight-store'
    aliases = ('weights',)
    section_kind = WeightStoreSection

    def add_routes(self) -> None:
        """Add reading."""
        self._limit = RateLimit(self._clock)
        self._route('/weights/<model>/<version>', self._get, 'GET')

    @defer.inlineCallbacks
    def _get(
        self,
        request: Request,
        model: str,
        version: str,
    ) -> defer.Deferred[bytes]:
        yield pause(self._faults.delay_ms)
        if self._faults.outage:
            return json_answer(request, {'error': 'outage'}, 503)
        if not self._limit.try_take(self._section.loads_per_second):
            request.setHeader('Retry-After', '1')
            return json_answer(request, {'error': 'load rate'}, 429)
        self.record('loaded', model=model, version=version)
        return json_answer(request, {'model': model, 'version': version})
