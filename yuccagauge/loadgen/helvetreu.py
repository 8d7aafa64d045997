"""Traffic like that of Helvetreu Franchise Services."""

from yuccagauge.loadgen.base import PROFILES, Profile


@PROFILES.register
class HelvetreuProfile(Profile):
    """Treaty wording, cedant and line, heavy and repetitive."""

    name = 'helvetreu'
    aliases = ()
    model_service = 'wording-llm'
    plain_service = 'ledger-app'
    model = 'wording-70b'
    plain_path = '/statements'
    customers = (
        'alpina',
        'rhein',
        'jura',
        'ticino',
        'vaud',
        'uri',
        'aargau',
        'thurgau',
    )
    file_tokens = 3000
    person_tokens = 400
    files = 2
    persons = 4

    def question(self, number: int) -> str:
        """Ask about one line of a bordereau."""
        premium = self._random.randrange(1_000_000)
        return f'Line {number}: premium {premium}. Does the wording cover it?'
