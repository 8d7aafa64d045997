"""Records the log lines of a module, besides writing them."""

from types import ModuleType
from typing import Any
from unittest import mock

from behave.runner import Context


def record_decisions(
    context: Context, module: ModuleType
) -> list[tuple[str, dict[str, Any]]]:
    """Return a list that gets the name and fields of each line to come."""
    lines: list[tuple[str, dict[str, Any]]] = []
    write = module.log_decision

    def record(name: str, request_id: str, **fields: Any) -> None:
        lines.append((name, fields))
        write(name, request_id, **fields)

    patch = mock.patch.object(module, 'log_decision', record)
    patch.start()
    context.add_cleanup(patch.stop)
    return lines
