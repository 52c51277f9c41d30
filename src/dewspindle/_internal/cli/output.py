"""Output of command results as tables or JSON."""

import json
from collections.abc import Sequence
from enum import StrEnum
from typing import Any

from rich.console import Console
from rich.table import Table

CONSOLE_WIDTH_COLUMNS = 140


class OutputFormat(StrEnum):
    """Output formats."""

    TABLE = "table"
    JSON = "json"


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2))


def print_table(rows: Sequence[dict[str, Any]], columns: Sequence[str]) -> None:
    """Print rows as a table with the given columns."""
    table = Table(box=None, header_style="bold", pad_edge=False)
    for column in columns:
        table.add_column(column.replace("_", " "), overflow="fold")
    for row in rows:
        table.add_row(*(_format_cell(row.get(column)) for column in columns))
    Console(width=CONSOLE_WIDTH_COLUMNS, highlight=False, markup=False).print(table)


def _format_cell(value: Any) -> str:
    if isinstance(value, dict) and not all(isinstance(item, int) for item in value.values()):
        return json.dumps(value)
    if isinstance(value, dict):
        return ", ".join(f"{number} {name}" for name, number in value.items() if number)
    if isinstance(value, list):
        return ", ".join(str(item) for item in value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "" if value is None else str(value)


def print_records(value: Any, title: str = "") -> None:
    """Print a value of unknown layout: lists of objects as tables, all else as named lines."""
    if isinstance(value, dict):
        for name, item in value.items():
            print_records(item, name)
    elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        print(f"{title.replace('_', ' ')}:")
        print_table(value, list(dict.fromkeys(name for item in value for name in item)))
    else:
        print(f"{title.replace('_', ' ')}: {_format_cell(value) or 'none'}")


def print_rows(value: Any, output: OutputFormat, *, rows: str, columns: Sequence[str]) -> None:
    """Print a list of rows, held by a response under the key `rows`, as a table or JSON."""
    if output is OutputFormat.JSON:
        print_json(value)
    else:
        print_table(value[rows], columns)
