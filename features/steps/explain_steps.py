"""Steps for explanations by logs."""

from pathlib import Path

from behave import then, when
from behave.runner import Context

from yuccagauge.errors import NotFoundError
from yuccagauge.explain.logfile import (
    follow_request,
    read_lines,
    render_lines,
)

_SAMPLE = Path('features/explain/sample.log')


def _explain(request_id: str) -> str:
    lines = read_lines(_SAMPLE.read_text(encoding='utf-8').splitlines())
    return render_lines(follow_request(lines, request_id), request_id)


@when('the request "{request_id}" is explained by the sample log')
def explain(context: Context, request_id: str) -> None:
    """Keep the text."""
    context.explanation = _explain(request_id)


@then('the explanation has the lines in order')
def check_lines(context: Context) -> None:
    """Compare each expected word with the line at its place."""
    lines = context.explanation.splitlines()
    rows = [row['line'] for row in context.table]
    assert len(lines) == len(rows), context.explanation
    for line, row in zip(lines, rows, strict=True):
        assert line.startswith('*') is row.startswith('*'), line
        for word in row.strip('* ').split():
            assert word in line, (word, line)


@then('the explanation has no line of "{server}"')
def check_absent(context: Context, server: str) -> None:
    """Guard against lines that have nothing to do with the request."""
    assert server not in context.explanation


@then(
    'explaining the request "{request_id}" by the sample log fails with '
    '"{message}"'
)
def check_unknown(context: Context, request_id: str, message: str) -> None:
    """Compare the message of the error."""
    try:
        _explain(request_id)
    except NotFoundError as error:
        assert str(error) == message
        return
    raise AssertionError('an unknown request was explained')
