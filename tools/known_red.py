"""Failures that are known and open: `KNOWN-RED.txt` lists the scenarios that may fail for now."""

from pathlib import Path

import attrs
from result import Err, Ok, Result

__all__ = ["MOST_KNOWN", "KnownFailure", "read_known_failures", "read_known_failures_file"]

# More open failures than this are not carried along; they are mended first.
MOST_KNOWN = 3
FIELDS = ("scenario", "command", "seed", "seen", "issue")


@attrs.frozen
class KnownFailure:
    """One line: `scenario` is `feature name: scenario name`, `command` with `seed` shows it."""

    scenario: str
    command: str
    seed: str
    seen: str
    issue: str


def read_known_failures(text: str) -> Result[dict[str, KnownFailure], list[str]]:
    """The list by scenario: a line each, its fields divided by ` | `; every finding at once."""
    known: dict[str, KnownFailure] = {}
    findings: list[str] = []
    lines = [line.strip() for line in text.splitlines()]
    for number, line in enumerate(lines, 1):
        if not line or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != len(FIELDS) or not all(parts):
            findings.append(f"line {number}: expected {' | '.join(FIELDS)}")
        elif parts[0] in known:
            findings.append(f"line {number}: {parts[0]!r} stands twice")
        else:
            known[parts[0]] = KnownFailure(*parts)
    if len(known) > MOST_KNOWN:
        findings.append(f"{len(known)} lines, {MOST_KNOWN} at most")
    return Err(findings) if findings else Ok(known)


def read_known_failures_file(path: Path) -> Result[dict[str, KnownFailure], list[str]]:
    """The same from a file; without one nothing is known to fail."""
    return read_known_failures(path.read_text(encoding="utf-8") if path.exists() else "")
