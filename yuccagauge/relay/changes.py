"""Log lines of changes of settings, configuration, servers and weights."""

from yuccagauge.clock import Millis
from yuccagauge.directory.base import Configuration
from yuccagauge.errors import SettingsError
from yuccagauge.selection.base import FleetView
from yuccagauge.settings.relay import (
    RelaySettings,
    changed_sections,
    load_relay_settings,
)
from yuccagauge.telemetry.journal import log_state_change


def log_changed_settings(settings: RelaySettings, path: str) -> None:
    """Check a settings file, and log how it differs from those in use."""
    try:
        new_settings = load_relay_settings(path)
    except SettingsError as error:
        log_state_change('settings_refused', reason=str(error))
        return
    changed = changed_sections(settings, new_settings)
    log_state_change('settings_read', changed_sections=changed)


def log_configuration(configuration: Configuration) -> None:
    """Log the size of a configuration that is in force from now on."""
    log_state_change(
        'configuration_in_force',
        version=configuration.version,
        routes=len(configuration.routes),
        customers=len(configuration.customers),
        keys=len(configuration.customer_by_api_key),
    )


def log_fleet_changes(before: FleetView, after: FleetView, now: Millis) -> None:
    """Log servers that appear, change or disappear, and new weights.

    Each range of versions has the time in ms for which it is named at most.
    """
    for server_id, server in after.servers.items():
        previous = before.servers.get(server_id)
        if previous is not None and (
            previous.state is server.state
            and previous.weights == server.weights
            and previous.started_at == server.started_at
        ):
            continue
        log_state_change(
            'server_known',
            server=server_id,
            service=server.service,
            state=server.state.value,
            started_at=server.started_at,
            weights=[f'{name}={at}' for name, at in server.weights.items()],
        )
    for server_id in before.servers:
        if server_id not in after.servers:
            log_state_change('server_gone', server=server_id)
    for model, named in after.named_weights.items():
        if before.named_weights.get(model) != named:
            log_state_change(
                'weights_named',
                model=model,
                version=named.version,
                evidence=[
                    f'{each.previous}-{each.version}:{now - each.named_after}'
                    for each in named.evidence
                ],
            )
