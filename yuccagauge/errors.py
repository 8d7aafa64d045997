"""Base classes of the project's exceptions."""


class YuccagaugeError(Exception):
    """Base class of all errors that the project raises itself."""


class NotFoundError(YuccagaugeError):
    """No registry entry or record has the given name."""


class SettingsError(YuccagaugeError):
    """A settings file or a service document is invalid.

    Parameters
    ----------
    source
        Name of the file or stream.
    section, key
        Position of the invalid setting. ``key`` is empty if the whole section
        is invalid; both are empty if the whole file is.
    value
        The invalid value, as text.
    expected
        Description of a valid value.
    """

    def __init__(
        self,
        source: str,
        section: str,
        key: str,
        value: str,
        expected: str,
    ) -> None:
        """Build the one-line message."""
        location = f'{source}: [{section}] {key}'.rstrip()
        message = f'{location} = {value!r}: expected {expected}'
        if not section and not key:
            # The whole file is invalid.
            message = f'{source}: {value}: expected {expected}'
        super().__init__(message)
        self.section = section
        self.key = key
        self.expected = expected


class UnavailableError(YuccagaugeError):
    """An external system is down or did not respond in time."""
