"""`saffronctl`: the operators' command line."""

import json
import os
import sys
import uuid
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NoReturn

import attrs
import fire
import httpcore
from result import Err

from saffronworks.bundles import Bundle, compare_bundles, read_bundle
from saffronworks.explain import RequestStory, count_causes, find_attempts, read_stories
from saffronworks.quota_reports import count_quotas
from saffronworks.reports import plot_report

__all__ = ["main"]

ADMIN = "127.0.0.1:8081"
ADMIN_VARIABLE = "SAFFRONCTL_ADMIN"
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
TIMEOUT_S = 15.0


def main() -> None:
    """Entry point of `saffronctl`."""
    fire.Fire(Control, name="saffronctl")


class Control:
    """Look at a site of saffronworks and change it.

    Each command takes --admin=IP:PORT (or the variable SAFFRONCTL_ADMIN), the operators'
    address of any node, and --json for output that programs read.
    """

    def __init__(self) -> None:
        self.bundle = BundleCommands()
        self.report = ReportCommands()

    def nodes(self, admin: str = "", json: bool = False) -> None:
        """List the nodes, as the node that is asked sees them."""
        _print_rows(_get(admin, "/v1/nodes"), json)

    def endpoints(self, admin: str = "", json: bool = False) -> None:
        """List the endpoints of the cells that the node owns."""
        _print_rows(_get(admin, "/v1/endpoints"), json)

    def quotas(self, *logs: str, json: bool = False) -> None:
        """Count from log files what was refused by organisation, and whose quota ran out."""
        if not logs:
            _fail("name the files with the nodes' log lines", EXIT_BAD_INPUT)
        _print_rows([attrs.asdict(row) for row in count_quotas(_read_logs(logs))], json)

    def explain(self, *logs: str, request: str = "", json: bool = False) -> None:
        """Say from log files why requests were late, refused, cut or lost; or tell of one."""
        if not logs:
            _fail("name the files with the nodes' log lines", EXIT_BAD_INPUT)
        stories = read_stories(_read_logs(logs))
        if not request:
            _print_rows([attrs.asdict(row) for row in count_causes(stories.values())], json)
            return
        if request not in stories:
            _fail(f"no line names request {request}", EXIT_BAD_INPUT)
        _print_story(stories[request], find_attempts(stories, request), json)

    def requests(self, admin: str = "", json: bool = False) -> None:
        """List the live requests of the node, and how many ended with each outcome."""
        found = _get(admin, "/v1/requests")
        if json:
            _print_rows(found, True)
            return
        _print_rows(found["live"], False)
        for outcome, count in found["ended"].items():
            print(f"ended {outcome}: {count}")


class BundleCommands:
    """Check, compare, sign off and roll back routing bundles."""

    def check(self, file: str, json: bool = False) -> None:
        """Check a bundle file; every finding with its line, exit code 2 if there is any."""
        bundle = _read_file(file, json)
        if json:
            _print_rows({"name": bundle.name, "findings": []}, True)
        else:
            print(f"{file}: ok, {len(bundle.models)} models, {len(bundle.plain)} plain routes")

    def diff(self, file: str, admin: str = "", json: bool = False) -> None:
        """Show what signing off a file would change."""
        bundle = _read_file(file, json)
        current = _find_current(admin, bundle.name)
        before = Bundle(bundle.name)
        if current:
            before = read_bundle(current["text"], bundle.name).unwrap()
        lines = compare_bundles(before, bundle)
        _print_rows(lines, True) if json else print("\n".join(lines) or "no change")

    def sign_off(
        self,
        file: str,
        by: str,
        base: int = -1,
        id: str = "",
        admin: str = "",
        note: str = "",
        json: bool = False,
    ) -> None:
        """Sign a bundle off as the next version.

        Args:
            file: the bundle file.
            by: who signs off.
            base: the version that the change was compared with; the one in force by default.
            id: the sign-off id; give the same one to settle a call whose answer was lost.
            admin: a node's operators' address.
            note: a remark kept with the version.
            json: print JSON.
        """
        bundle = _read_file(file, json)
        text = Path(file).read_text(encoding="utf-8")
        _sign_off(admin, bundle.name, text, by, base, id, note, json)

    def roll_back(
        self, file: str, by: str, base: int = -1, id: str = "", admin: str = "", json: bool = False
    ) -> None:
        """Sign older content off as a new version; versions never go back."""
        bundle = _read_file(file, json)
        text = Path(file).read_text(encoding="utf-8")
        _sign_off(admin, bundle.name, text, by, base, id, "roll back", json)

    def status(self, admin: str = "", json: bool = False) -> None:
        """Show who signed each bundle off, and which versions are in force in each zone."""
        bundles = _get(admin, "/v1/bundles")
        for row in bundles:
            row.pop("text")
        found = _get(admin, "/v1/in-force")
        if json:
            _print_rows({"bundles": bundles, **found}, True)
            return
        _print_rows(bundles, False)
        print()
        _print_rows(found["in_force"], False)
        if found["silent"]:
            print(f"no answer from: {', '.join(found['silent'])}")


class ReportCommands:
    """Reports."""

    def burn(self, admin: str = "", plot: str = "", json: bool = False) -> None:
        """Show the service-level burn of all nodes, by organisation, model and objective.

        Args:
            admin: any node's operators' address; it asks the others.
            plot: also write a chart to this file, SVG or PNG by its ending.
            json: print JSON.
        """
        report = _get(admin, "/v1/burn")
        if plot:
            plot_report(report, plot)
        if json:
            _print_rows(report, True)
            return
        _print_rows(report["burn"], False)
        print()
        _print_rows(report["latency"], False)
        print(f"nodes: {', '.join(report['nodes'])}")
        if report["silent"]:
            print(f"no answer from: {', '.join(report['silent'])}")
        for alert in report["alerts"]:
            print(alert)


def _read_logs(files: tuple[str, ...]) -> Iterator[str]:
    """The lines of all files, or an end with every file that can't be read."""
    bad = [file for file in files if not Path(file).is_file()]
    if bad:
        _fail("\n".join(f"{file}: no such file" for file in bad), EXIT_BAD_INPUT)
    for file in files:
        with open(file, encoding="utf-8", errors="replace") as lines:
            yield from lines


def _read_file(file: str, as_json: bool) -> Bundle:
    try:
        text = Path(file).read_text(encoding="utf-8")
    except OSError as error:
        _fail(f"{file}: {error.strerror}", EXIT_BAD_INPUT)
    read = read_bundle(text, file)
    if isinstance(read, Err):
        if as_json:
            findings = [
                {"file": f.file, "line": f.line, "field": f.field, "problem": f.problem}
                for f in read.err_value
            ]
            _print_rows({"findings": findings}, True)
        else:
            print("\n".join(str(finding) for finding in read.err_value))
        sys.exit(EXIT_BAD_INPUT)
    return read.ok_value


def _find_current(admin: str, name: str) -> dict[str, Any] | None:
    rows = [row for row in _get(admin, "/v1/bundles") if row["name"] == name]
    return rows[0] if rows else None


def _sign_off(
    admin: str, name: str, text: str, by: str, base: int, id: str, note: str, as_json: bool
) -> None:
    if base < 0:
        current = _find_current(admin, name)
        base = current["version"] if current else 0
    body = {
        "name": name,
        "text": text,
        "sign_off_id": id or uuid.uuid4().hex,
        "signed_by": by,
        "base_version": base,
        "note": note,
    }
    status, reply = _call(admin, "POST", "/v1/bundles", body)
    if as_json:
        _print_rows(reply, True)
    elif status == 200:
        print(f"{name}: version {reply['version']} accepted")
    elif status == 409:
        other = f"version {reply['version']}, signed off by {reply['signed_by']}"
        print(f"{name}: conflict with {other} ({reply['sign_off_id']})", file=sys.stderr)
    else:
        print(f"{name}: {json.dumps(reply)}", file=sys.stderr)
    if status != 200:
        sys.exit(EXIT_FAILED)


def _get(admin: str, path: str) -> Any:
    status, reply = _call(admin, "GET", path)
    if status != 200:
        _fail(f"{path}: status {status}: {reply}")
    return reply


def _call(admin: str, method: str, path: str, body: object = None) -> tuple[int, Any]:
    address = admin or os.environ.get(ADMIN_VARIABLE, ADMIN)
    content = json.dumps(body).encode() if body is not None else b""
    try:
        response = httpcore.request(
            method,
            f"http://{address}{path}",
            content=content,
            extensions={"timeout": {"connect": 2.0, "read": TIMEOUT_S}},
        )
        return response.status, json.loads(response.content)
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        _fail(f"{address}: {type(error).__name__}: {error}")
    except json.JSONDecodeError:
        _fail(f"{address}: the answer is not JSON")


def _fail(text: str, code: int = EXIT_FAILED) -> NoReturn:
    print(text, file=sys.stderr)
    sys.exit(code)


def _print_story(story: RequestStory, attempts: list[str], as_json: bool) -> None:
    """One request's lines in order, then how it ended and why.

    `attempts`: the ids of all attempts at its stream.
    """
    end: dict[str, Any] = {
        "outcome": story.outcome,
        "cause": story.cause,
        "priority": story.priority,
        "waits_ms": story.waits_ms,
    }
    if len(attempts) > 1:
        end["attempts"] = attempts
    if story.excess is not None:
        end |= {"organisation": story.organisation, "excess": story.excess}
    if as_json:
        _print_rows({**end, "lines": [line.pairs for line in story.lines]}, True)
        return
    for line in story.lines:
        print(line.time, *(f"{key}={value}" for key, value in line.pairs.items()))
    for name, value in end.items():
        print(f"{name}: {value}")


def _print_rows(rows: Any, as_json: bool) -> None:
    if as_json:
        print(json.dumps(rows, indent=2))
        return
    if not rows:
        print("none")
        return
    rows = [rows] if isinstance(rows, dict) else rows
    columns = list(rows[0])
    widths = [max(len(c), *(len(str(row[c])) for row in rows)) for c in columns]
    print("  ".join(c.ljust(w) for c, w in zip(columns, widths, strict=True)).rstrip())
    for row in rows:
        cells = (str(row[c]).ljust(w) for c, w in zip(columns, widths, strict=True))
        print("  ".join(cells).rstrip())


if __name__ == "__main__":
    main()
