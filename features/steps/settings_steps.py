"""Steps for settings and service documents."""

from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from yuccagauge.errors import SettingsError
from yuccagauge.settings.document import (
    apply_change,
    build_document,
    compare_sections,
    digest_sections,
)
from yuccagauge.settings.reader import read_file
from yuccagauge.settings.reference import render_reference

_SAMPLES = Path(__file__).parent.parent / 'settings'


@given('the sample document "{name}"')
def given_sample(context: Context, name: str) -> None:
    """Read a sample into mutable sections."""
    context.sections = dict(read_file(str(_SAMPLES / name)))


@given('"{key}" in section "{section}" is set to "{text}"')
def given_value(context: Context, key: str, section: str, text: str) -> None:
    """Replace one value."""
    keys = dict(context.sections[section])
    keys[key] = text
    context.sections[section] = keys


@given('"{key}" in section "{section}" is set to ""')
def given_empty_value(context: Context, key: str, section: str) -> None:
    """Replace one value by nothing."""
    given_value(context, key, section, '')


@given('customer "{name}" has the credential of "{other}"')
def given_shared_credential(context: Context, name: str, other: str) -> None:
    """Copy the credential of one customer to another."""
    credential = context.sections[f'customer {other}']['credential_sha256']
    given_value(context, 'credential_sha256', f'customer {name}', credential)


@when('the document is parsed')
def when_parsed(context: Context) -> None:
    """Build the document, keeping the error if there is one."""
    context.document = None
    context.error = None
    try:
        context.document = build_document(context.sections, 'sample')
    except SettingsError as error:
        context.error = error


@when('the priority of customer "{name}" changes to {priority:d}')
def when_changed(context: Context, name: str, priority: int) -> None:
    """Compare the sample with a copy in which one value differs."""
    context.base = dict(context.sections)
    given_value(context, 'priority', f'customer {name}', str(priority))
    context.change = compare_sections(context.base, context.sections)


@then('it has the model "{name}" at weights version "{version}"')
def then_model(context: Context, name: str, version: str) -> None:
    """Check one model of the parsed document."""
    assert context.document.models[name].weights_version == version


@then('it has {count:d} customers')
def then_customers(context: Context, count: int) -> None:
    """Check the number of customers."""
    assert len(context.document.customers) == count


@then(
    'it is rejected for section "{section}" and key "{key}" '
    'expecting "{expected}"',
)
def then_rejected(
    context: Context,
    section: str,
    key: str,
    expected: str,
) -> None:
    """Check the place and the expectation in the error."""
    assert context.error is not None, 'the document was accepted'
    assert context.error.section == section
    assert context.error.key == key
    assert context.error.expected.startswith(expected), context.error.expected


@then('it is rejected for key "{key}"')
def then_rejected_key(context: Context, key: str) -> None:
    """Check the key in the error."""
    assert context.error is not None, 'the document was accepted'
    assert context.error.key == key


@then('the change names only section "{section}"')
def then_change(context: Context, section: str) -> None:
    """Check what would travel."""
    assert list(context.change.changed) == [section]
    assert not context.change.removed


@then('applying the change to the old document gives the new digest')
def then_applied(context: Context) -> None:
    """Check that the change carries everything that differs."""
    result = apply_change(context.base, context.change)
    assert digest_sections(result) == digest_sections(context.sections)


@when('the settings reference is rendered')
def when_reference(context: Context) -> None:
    """Render the page from the data classes."""
    context.reference = render_reference()


@then('it equals the file "{name}"')
def then_equals_file(context: Context, name: str) -> None:
    """Compare with the committed page."""
    page = Path(__file__).parents[2] / name
    assert page.read_text(encoding='utf-8') == context.reference
