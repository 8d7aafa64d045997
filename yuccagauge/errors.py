"""The root of the exception tree."""


class YuccagaugeError(Exception):
    """Any error that the project raises on purpose."""


class NotFoundError(YuccagaugeError):
    """A name that no registry entry or record answers to."""


class SettingsError(YuccagaugeError):
    """A mistake in a settings file or a service document.

    Parameters
    ----------
    source
        The file or stream that the mistake stands in.
    section, key
        Where the mistake stands; ``key`` is empty for a whole section.
    value
        The value that was found, as text.
    expected
        What was expected instead.
    """

    def __init__(
        self,
        source: str,
        section: str,
        key: str,
        value: str,
        expected: str,
    ) -> None:
        """Keep the parts and build the one-line message."""
        place = f'{source}: [{section}] {key}'.rstrip()
        message = f'{place} = {value!r}: expected {expected}'
        if not section and not key:
            # The mistake is in the file as a whole.
            message = f'{source}: {value}: expected {expected}'
        super().__init__(message)
        self.section = section
        self.key = key
        self.expected = expected


class UnavailableError(YuccagaugeError):
    """An outside system that did not answer in time, or is down."""
