"""Write the reference pages from the program's own schema and registries, or check them."""

import sys
from pathlib import Path

from dewspindle._internal.cell.config_documents import get_config_names
from dewspindle._internal.config_lint.checker import DOCUMENT_HINT
from dewspindle._internal.config_lint.formats import get_formats
from dewspindle._internal.config_lint.registry import ANY_CONFIG, get_checks
from dewspindle._internal.exceptions import (
    DewspindleError,
    InvalidDocumentError,
    MalformedBodyError,
)
from dewspindle._internal.schema import options_pb2
from dewspindle._internal.settings.loading import (
    get_environment_variable,
    get_flag,
    get_setting_fields,
    get_setting_rule,
)
from dewspindle._internal.utils.refusals import Refusal, RetryReason

FOLDER = Path(__file__).parent / "operators"
CHECKS_START = "<!-- Made from the checks by docs/make_reference.py. -->\n"
CHECKS_END = "<!-- End of the checks. -->\n"


def make_settings_page() -> str:
    """Return the settings reference."""
    lines = [
        "# Settings",
        "",
        "Every setting of `dewspindle serve` is a flag and an environment variable; the flag goes",
        "first. This page is made from the schema by `docs/make_reference.py`.",
        "",
        "| flag | variable | unit | default | range | meaning |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for field in get_setting_fields():
        setting = get_setting_rule(field)
        rule = field.GetOptions().Extensions[options_pb2.rule]
        bounds = rule.one_of.replace(",", ", ")
        if rule.HasField("min") or rule.HasField("max"):
            bounds = f"{rule.min} to {rule.max}"
        required_note = " Required." if rule.required and not setting.default else ""
        lines.append(
            f"| `{get_flag(field)}` | `{get_environment_variable(field)}` | {setting.unit} | "
            f"{setting.default} | {bounds} | {setting.help}{required_note} |"
        )
    return "\n".join(lines) + "\n"


def list_errors(cls: type[DewspindleError]) -> list[type[DewspindleError]]:
    """Return all errors with a code of their own."""
    found = []
    for child in cls.__subclasses__():
        if "code" in child.__dict__:
            found.append(child)
        found += list_errors(child)
    return found


def make_codes_page() -> str:
    """Return the reference of problem codes, refusals and retry reasons."""
    import dewspindle._internal.instance  # noqa: F401

    lines = [
        "# Codes",
        "",
        "Problem answers carry one of these in `code`. This page is made from the code by",
        "`docs/make_reference.py`.",
        "",
        "## Errors",
        "",
        "| code | status | meaning | what to do |",
        "| --- | --- | --- | --- |",
    ]
    for error in sorted(list_errors(DewspindleError), key=lambda cls: cls.code):
        meaning = (error.__doc__ or "").strip().splitlines()[0]
        lines.append(f"| `{error.code}` | {error.status} | {meaning} | {error.hint} |")
    lines += ["", "## Refusals", "", "Counted in `dewspindle_refusals` under `reason`.", ""]
    lines += [f"- `{refusal.value}`" for refusal in Refusal]
    lines += ["", "## Retries", "", "Counted in `dewspindle_retries` under `reason`.", ""]
    lines += [f"- `{reason.value}`" for reason in RetryReason]
    lines += ["", "## Configurations", ""]
    lines += [f"- `{name}`" for name in get_config_names()]
    return "\n".join(lines) + "\n"


def make_checks_table() -> str:
    """Return the table of the codes of the configuration check."""
    lines = [
        "",
        "| code | file | severity | needs | meaning | what to do |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for error in (MalformedBodyError, InvalidDocumentError):
        meaning = (error.__doc__ or "").strip().splitlines()[0]
        lines.append(
            f"| `{error.code}` | any | error | | {meaning} | {error.hint or DOCUMENT_HINT} |"
        )
    for check in get_checks():
        file = "any" if check.config == ANY_CONFIG else f"`{check.config}`"
        needs = ", ".join(need.value for need in check.needs)
        lines.append(
            f"| `{check.code}` | {file} | {check.severity.value} | {needs} | {check.meaning} | "
            f"{check.hint} |"
        )
    lines += ["", f"Names of files: {', '.join(f'`{name}`' for name in sorted(get_formats()))}."]
    return "\n".join(lines) + "\n\n"


def make_configuration_page() -> str:
    """Return the page of configurations with a new table of checks; the rest stays as it is."""
    text = (FOLDER / "configuration.md").read_text(encoding="utf-8")
    before, _, rest = text.partition(CHECKS_START)
    _, _, after = rest.partition(CHECKS_END)
    return before + CHECKS_START + make_checks_table() + CHECKS_END + after


def main() -> int:
    """Write the pages; with `--check`, compare them instead."""
    pages = {
        "settings.md": make_settings_page(),
        "codes.md": make_codes_page(),
        "configuration.md": make_configuration_page(),
    }
    is_check = "--check" in sys.argv
    status = 0
    for name, text in pages.items():
        path = FOLDER / name
        if not is_check:
            path.write_text(text, encoding="utf-8")
        elif not path.exists() or path.read_text(encoding="utf-8") != text:
            print(f"{path} is not up to date; run docs/make_reference.py")
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
