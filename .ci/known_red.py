"""Decide whether every failed scenario of a test run shows a fault listed in KNOWN-RED.txt.

Usage: known_red.py REPORT SIGNS
  REPORT  the report of behave's JSON formatter
  SIGNS   the file that features/lib/known_faults.py writes

Prints each scenario that is passed over. Exits with status 1 if a scenario failed without a sign
of a listed fault, if none failed, or if the report is incomplete.
"""

import json
import re
import sys
from pathlib import Path
from typing import Any

ACCEPTED = {"passed", "skipped"}


def list_failed(features: list[dict[str, Any]]) -> tuple[list[dict[str, Any]], list[str]]:
    """Return the failed scenarios, and the features that failed without a failed scenario."""
    scenarios, others = [], []
    for feature in features:
        elements = [x for x in feature.get("elements", []) if x["type"] != "background"]
        failed = [x for x in elements if x.get("status") not in ACCEPTED]
        scenarios += failed
        if not failed and feature["status"] not in ACCEPTED:
            others.append(feature["location"])
    return scenarios, others


def print_errors(scenario: dict[str, Any]) -> None:
    """Print the errors of a scenario's steps, which the progress formatter leaves out."""
    for step in scenario["steps"]:
        message = step.get("result", {}).get("error_message")
        if message:
            print("\n".join([step["name"], *message]) if isinstance(message, list) else message)


def main() -> int:
    """Print the verdict on a failed test run; return the exit status."""
    report, signs_file = (Path(argument) for argument in sys.argv[1:])
    listed = set(re.findall(r"^\s*sign: (\S+)$", Path("KNOWN-RED.txt").read_text(), re.MULTILINE))
    lines = [json.loads(line) for line in signs_file.read_text().splitlines()]
    signs = {line["location"]: line["sign"] for line in lines}
    try:
        scenarios, others = list_failed(json.loads(report.read_text()))
    except (OSError, ValueError) as error:
        print(f"the test report is incomplete: {error}")
        return 1
    unknown = [x for x in scenarios if signs.get(x["location"]) not in listed]
    for scenario in unknown:
        print(f"failed: {scenario['location']} {scenario['name']}")
        print_errors(scenario)
    for location in others:
        print(f"failed: {location}")
    if unknown or others or not scenarios:
        return 1
    for scenario in scenarios:
        sign = signs[scenario["location"]]
        print(f"known red ({sign}, see KNOWN-RED.txt): {scenario['location']} {scenario['name']}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
