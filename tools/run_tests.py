"""Run the behave features and end with one line: `N passed, N failed`.

A scenario that `KNOWN-RED.txt` lists may fail: it is printed and counts as neither. One that is
listed and passes counts as failed, unless it is listed as intermittent, and so does one that is not
there: the list stays true.
"""

import sys
import traceback
from pathlib import Path

import attrs
from behave.configuration import Configuration
from behave.model import Scenario, ScenarioOutline
from behave.runner import Runner
from result import Err

from tools.known_red import KnownFailure, read_known_failures_file

ROOT = Path(__file__).parent.parent
FEATURES = ROOT / "saffronworks" / "tests" / "features"
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def main() -> int:
    """Run every scenario; 0 when all passed or are known to fail, and at least one ran."""
    known = read_known_failures_file(KNOWN_RED)
    if isinstance(known, Err):
        print(*(f"{KNOWN_RED.name}: {finding}" for finding in known.err_value), sep="\n")
        return 1
    options = sys.argv[1:]
    if not any(option.startswith("--format") for option in options):
        options.append("--format=progress")
    arguments = ["--no-capture", "--no-color", *options, str(FEATURES)]
    runner = Runner(Configuration(arguments))
    runner.run()
    scenarios = _scenarios(runner)
    for scenario in scenarios:
        if _result(scenario) == "failed":
            _print_causes(scenario)
    count = count_results(
        {_name(s): _result(s) for s in scenarios}, known.ok_value, not sys.argv[1:]
    )
    print(*count.remarks, sep="\n")
    print(f"{count.passed} passed, {count.failed} failed")
    return 0 if count.passed and not count.failed and not runner.aborted else 1


@attrs.define
class Count:
    """How many passed and failed, and what is to be said of single ones."""

    passed: int = 0
    failed: int = 0
    remarks: list[str] = attrs.Factory(list)


def count_results(
    results: dict[str, str], known: dict[str, KnownFailure], whole: bool = True
) -> Count:
    """Count results by scenario name: `passed`, `failed`, `not run`. `whole`: all were loaded."""
    count = Count()
    for name, result in results.items():
        if name in known and result == "failed":
            count.remarks.append(f"known red: {name}: {known[name].seen} ({known[name].issue})")
        elif name in known and result == "passed" and known[name].intermittent:
            count.passed += 1
            count.remarks.append(f"known to fail at times, passed: {name}")
        elif name in known and result == "passed":
            count.failed += 1
            count.remarks.append(f"passes, take it off the known failures: {name}")
        elif result == "passed":
            count.passed += 1
        elif result == "failed":
            count.failed += 1
            count.remarks.append(f"failed: {name}")
    for name in known.keys() - results.keys() if whole else ():
        count.failed += 1
        count.remarks.append(f"known to fail, but there is no such scenario: {name}")
    return count


def _scenarios(runner: Runner) -> list[Scenario]:
    return [
        item
        for feature in runner.features
        for item in feature.walk_scenarios()
        if not isinstance(item, ScenarioOutline)
    ]


def _name(scenario: Scenario) -> str:
    return f"{scenario.feature.name}: {scenario.name}"


def _result(scenario: Scenario) -> str:
    match scenario.status.name:
        case "passed":
            return "passed"
        case "untested" | "skipped":
            return "not run"
    return "failed"


def _print_causes(scenario: Scenario) -> None:
    """Print what made each step of the scenario fail, a group's exceptions one by one."""
    print(f"causes: {_name(scenario)}")
    for step in scenario.all_steps:
        if step.exception is not None:
            traceback.print_exception(step.exception, file=sys.stdout)


if __name__ == "__main__":
    sys.exit(main())
