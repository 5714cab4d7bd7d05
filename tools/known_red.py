"""Failures that are known and open: `KNOWN-RED.txt` lists the scenarios that may fail for now."""

from pathlib import Path

import attrs
from result import Err, Ok, Result

__all__ = [
    "MOST_INTERMITTENT",
    "MOST_KNOWN",
    "KnownFailure",
    "read_known_failures",
    "read_known_failures_file",
]

# More open failures than this are not carried along; they are mended first.
MOST_KNOWN = 3
MOST_INTERMITTENT = 6
# Sixth field of a scenario that fails at times.
INTERMITTENT = "intermittent"
FIELDS = ("scenario", "command", "seed", "seen", "issue")


@attrs.frozen
class KnownFailure:
    """One line: `scenario` is `feature name: scenario name`, `command` with `seed` shows it.

    An `intermittent` one passes at times.
    """

    scenario: str
    command: str
    seed: str
    seen: str
    issue: str
    intermittent: bool = False


def read_known_failures(text: str) -> Result[dict[str, KnownFailure], list[str]]:
    """The list by scenario: a line each, its fields divided by ` | `; every finding at once."""
    known: dict[str, KnownFailure] = {}
    findings: list[str] = []
    lines = [line.strip() for line in text.splitlines()]
    for number, line in enumerate(lines, 1):
        if not line or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(" | ")]
        fields, mark = parts[: len(FIELDS)], parts[len(FIELDS) :]
        if len(fields) != len(FIELDS) or not all(fields) or mark not in ([], [INTERMITTENT]):
            expected = " | ".join(FIELDS)
            findings.append(f"line {number}: expected {expected}, and {INTERMITTENT!r} or nothing")
        elif parts[0] in known:
            findings.append(f"line {number}: {parts[0]!r} stands twice")
        else:
            known[parts[0]] = KnownFailure(
                **dict(zip(FIELDS, fields, strict=True)), intermittent=bool(mark)
            )
    always = sum(not failure.intermittent for failure in known.values())
    for count, most in ((always, MOST_KNOWN), (len(known) - always, MOST_INTERMITTENT)):
        if count > most:
            findings.append(f"{count} lines, {most} at most")
    return Err(findings) if findings else Ok(known)


def read_known_failures_file(path: Path) -> Result[dict[str, KnownFailure], list[str]]:
    """The same from a file; without one nothing is known to fail."""
    return read_known_failures(path.read_text(encoding="utf-8") if path.exists() else "")
