"""Steps that test the platform adapter."""

import json
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

from behave import then
from behave.runner import Context

from yuccagauge.clock import Millis
from yuccagauge.directory.base import (
    BackendServer,
    Configuration,
    RouteKind,
    WeightsTarget,
)
from yuccagauge.dispatch.base import ResponseHead
from yuccagauge.errors import SettingsError
from yuccagauge.platform.records import PlatformRecordDecoder
from yuccagauge.platform.requests import (
    PlatformBackendProtocol,
    PlatformCallDecoder,
)
from yuccagauge.relay.base import CallFieldError, IncomingRequest
from yuccagauge.settings.reader import (
    build_section,
    check_sections,
    read_text,
)
from yuccagauge.settings.relay import (
    RELAY_SECTIONS,
    build_relay_settings,
    load_relay_settings,
)

_PLATFORM_NAMES = re.compile(
    r'X-Yuccagauge-|/api/|keyed\.(op|servers)|Kv-From|apiKeys|trafficSplit'
    r'|YUCCAGAUGE_BOOT',
)
_ENTRY = {
    'service': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'khomas-a',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'coldRemainingMs': 0,
    'stage': 'colocated',
    'models': [{'name': 'daka', 'version': 1, 'adapters': []}],
    'seq': 4,
}
_CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'jepu9.example',
            'pathPrefix': '/lepu270/',
            'kind': 'streaming',
            'timeoutMs': 5000,
            'sloMs': 500,
            'priority': 1,
            'trafficSplit': [
                {'service': 'huvo11a', 'weight': 90},
                {'service': 'kafi81c', 'weight': 10},
            ],
            'attempts': 1,
            'public': False,
            'sticky': True,
            'canResume': False,
            'gapAimMs': 300,
        },
        {
            'name': 'r-2',
            'host': 'jepu9.example',
            'pathPrefix': '/lepu270/ny95/',
            'kind': 'idempotent',
            'timeoutMs': 600,
            'sloMs': 100,
            'priority': 2,
            'service': 'kafi81c',
            'attempts': 2,
            'public': True,
        },
    ],
    'services': [
        {
            'name': 'huvo11a',
            'healthPath': '/healthz',
            'maxConns': 360,
            'engine': {'slots': 64, 'kvCapacity': 128361, 'maxInflight': 12},
        },
        {'name': 'kafi81c', 'healthPath': '/healthz', 'maxConns': 100},
        {
            'name': 'wuno96b',
            'kvStoreAddr': '172.20.0.2:8781',
            'zone': 'khomas-b',
            'kvCapacity': 1839470,
            'maxInflight': 12,
        },
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'tenants': [
        {
            'name': 'sese880',
            'apiKeys': ['k1', 'k2'],
            'priority': 1,
            'isolated': True,
        },
    ],
}


def _decode(header: str) -> Any:
    lines = ['Host: a.example:80', 'X-Yuccagauge-Request-Id: r1']
    headers = [
        tuple(part.strip().encode() for part in line.split(':', 1))
        for line in (*lines, *header.split(', '))
        if ':' in line
    ]
    request = IncomingRequest(
        method='POST',
        target='/x/',
        headers=tuple(headers),
        body=b'',
        received_at=Millis(0),
    )
    return PlatformCallDecoder().decode_request(request)


@then('the header "{header}" decodes to {field:w} "{value}"')
@then('the header "{header}" decodes to {field:w} ""')
def check_decoded_field(
    context: Context,
    header: str,
    field: str,
    value: str = '',
) -> None:
    """Compare one decoded field of the call."""
    fields = _decode(header)
    found = getattr(fields, field)
    if field == 'parts':
        found = ' '.join(part.part_id for part in found)
    assert str(found) == value, found
    assert fields.host == 'a.example'


@then('the header "{header}" is rejected')
def check_rejected_header(context: Context, header: str) -> None:
    """Guard against headers that two readers could interpret differently."""
    try:
        _decode(header)
    except CallFieldError:
        return
    raise AssertionError('the headers were accepted')


@then('a response {status:d} with "{headers}" is parsed as {expected}')
@then('a response {status:d} with "" is parsed as {expected}')
def check_response_info(
    context: Context,
    status: int,
    expected: str,
    headers: str = '',
) -> None:
    """Check the properties that the head has, and that it has no others."""
    name, _, value = headers.partition(':')
    pairs = ((name.encode(), value.strip().encode('latin-1')),) if name else ()
    found = PlatformBackendProtocol().parse_head(
        ResponseHead(status=status, headers=pairs)
    )
    properties = [
        name_of_property
        for name_of_property, is_set in (
            ('stamped', found.has_server_stamp),
            ('not run', found.is_not_run),
            ('misdirected', found.is_misdirected),
            (f'weights {found.weights_version}', found.weights_version),
        )
        if is_set
    ]
    assert ' '.join(properties) == expected.replace('nothing', ''), properties


def _encode_changed(document: dict[str, Any], change: str) -> bytes:
    if change == 'bytes that are not JSON':
        return b'\xff\x00{'
    if change == 'a list in place of an object':
        return b'[1]'
    if change == 'deep nesting':
        return b'[' * 100_000
    changed = json.loads(json.dumps(document))
    match = re.fullmatch(r'"(\w+)" (removed|set to (.*))', change)
    if match and match[2] == 'removed':
        changed.pop(match[1])
    elif match:
        changed[match[1]] = json.loads(match[3])
    return json.dumps(changed).encode()


@then('an entry with {change} is decoded to {outcome}')
def check_server_entry(context: Context, change: str, outcome: str) -> None:
    """Guard against entries that stop the decoder or receive calls."""
    found = PlatformRecordDecoder().decode_server(
        'i-1', _encode_changed(_ENTRY, change)
    )
    assert isinstance(found, BackendServer) is (outcome == 'a server'), found


@then(
    'the decoded example configuration has its routes, services, customers '
    'and limits'
)
def check_configuration(context: Context) -> None:
    """Compare the decoded values with the document."""
    value = json.dumps(_CONFIGURATION).encode()
    found = PlatformRecordDecoder().decode_operator_record('config', value)
    assert isinstance(found, Configuration)
    longer_route = found.find_route('jepu9.example', '/lepu270/ny95/a')
    assert longer_route.name == 'r-2'
    assert longer_route.kind is RouteKind.IDEMPOTENT
    assert longer_route.is_public
    shorter_route = found.find_route('jepu9.example', '/lepu270/a')
    assert [share.weight for share in shorter_route.traffic_shares] == [90, 10]
    assert found.find_route('jepu9.example', '/other/') is None
    assert found.find_route('hulo.example', '/lepu270/') is None
    assert found.services['huvo11a'].is_model
    assert not found.services['kafi81c'].is_model
    assert found.kv_cache_stores[0].data_centre == 'khomas-b'
    assert found.customer_by_api_key['k2'].is_isolated
    assert found.limits.idle_timeout == 15_000
    target = PlatformRecordDecoder().decode_operator_record(
        'version/daka',
        b'{"model": "daka", "version": 2}',
    )
    assert target == WeightsTarget(model='daka', version=2)


@then('a configuration with {change} is rejected')
def check_bad_configuration(context: Context, change: str) -> None:
    """Guard against a configuration that the router cannot apply."""
    value = _encode_changed(_CONFIGURATION, change)
    assert (
        PlatformRecordDecoder().decode_operator_record('config', value) is None
    )


@then(
    'no module outside the adapter contains a header, path or topic of the '
    'platform'
)
def check_platform_names(context: Context) -> None:
    """Search the other packages for names that belong to the platform."""
    found = [
        f'{path}: {match[0]}'
        for path in Path('yuccagauge').rglob('*.py')
        if 'platform' not in path.parts
        for match in _PLATFORM_NAMES.finditer(path.read_text(encoding='utf-8'))
    ]
    assert not found, found


@then('importing the relay process loads none of "{modules}"')
def check_imports(context: Context, modules: str) -> None:
    """Guard against libraries that cost memory and start-up time."""
    script = (
        'import sys, yuccagauge.platform.adapter, yuccagauge.relay.process;'
        f'print([m for m in {modules.split()!r} if m in sys.modules])'
    )
    found = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        text=True,
        check=True,
    )
    assert found.stdout.strip() == '[]', found.stdout


@then('the settings template, filled in, is accepted')
def check_template(context: Context) -> None:
    """Fill in the template as the platform does and parse the result."""
    template_values = {
        'nodeName': 'edge-a-1',
        'zone': 'a',
        'ip': '10.1.0.30',
        'listen.frontend': '10.1.0.30:8782',
        'listen.readiness': '10.1.0.30:8789',
        'listen.control': '10.1.0.30:8783',
        'seeds': '10.1.0.30:8783,10.2.0.22:8783',
        'platform.address': '10.200.1.7:8784',
        'bounds.graceS': '8',
        'bounds.retryBudgetRatio': '0.2',
        'bounds.budgetSlack': '54',
        'bounds.budgetWindowS': '10',
        'bounds.drainMs': '4000',
        'bounds.configApplyMs': '3000',
        'bounds.versionMs': '12000',
        'bounds.leaseMs': '3000',
        'heartbeatMs': '1200',
        'bounds.requireFence': 'true',
    }
    template = Path('deploy/router.ini').read_text(encoding='utf-8')
    text = re.sub(
        r'\{\{([\w.]+)\}\}',
        lambda match: template_values[match[1]],
        template,
    )
    settings = build_relay_settings(read_text(text, 'router.ini'), 'router.ini')
    assert len(settings.relay.seeds) == 2
    assert settings.weights.engines_check_fences
    assert settings.store.drain_bound_ms == 4000
    assert settings.store.change_bound_ms == 3000


@then('the relay settings "{text}" are rejected with "{message}"')
def check_invalid_settings(context: Context, text: str, message: str) -> None:
    """Compare the error message with the one that the user needs."""
    try:
        if text == 'missing file':
            load_relay_settings('nowhere/router.ini')
        else:
            section, _, line = text.partition('] ')
            raw = read_text(f'{section}]\n{line}\n', 'router.ini')
            _check_one_section(raw)
    except SettingsError as error:
        assert message in str(error), error
        return
    raise AssertionError('the settings were accepted')


def _check_one_section(raw: Any) -> None:
    """Check one section alone, because the first error ends the check."""
    check_sections(raw, frozenset(RELAY_SECTIONS), frozenset(), 'router.ini')
    for name in raw:
        build_section(RELAY_SECTIONS[name], raw, name, 'router.ini')
