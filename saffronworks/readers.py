"""Read YAML with positions, so that every finding names its file, line and field."""

import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, TypeVar

import attrs
import yaml
from result import Err, Result

__all__ = ["Finding", "Section", "load_or_exit", "read_yaml", "sort_findings"]

EXIT_BAD_INPUT = 2

T = TypeVar("T")


@attrs.frozen
class Finding:
    """One problem in an input file; `line` counts from 1, `field` is a dotted path."""

    file: str
    line: int
    field: str
    problem: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.field}: {self.problem}"


def load_or_exit(path: str, read: Callable[[str, str], Result[T, list[Finding]]]) -> T:
    """Read a file with `read(text, path)`; prints all findings and exits with 2 where it fails."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    checked = read(text, path)
    if isinstance(checked, Err):
        for finding in checked.err_value:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    return checked.ok_value


def sort_findings(findings: list[Finding]) -> list[Finding]:
    """In the order of the file."""
    return sorted(findings, key=lambda finding: (finding.file, finding.line, finding.field))


def read_yaml(text: str, file: str, findings: list[Finding]) -> "Section | None":
    """Parse `text` to its root section; None, with a finding, when it is not a mapping."""
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        findings.append(Finding(file, line, "(file)", f"not YAML: {error.problem}"))
        return None
    except (yaml.YAMLError, RecursionError) as error:
        findings.append(Finding(file, 1, "(file)", f"not YAML: {error}"))
        return None
    if not isinstance(node, yaml.MappingNode):
        findings.append(Finding(file, 1, "(file)", "expected a mapping of fields"))
        return None
    return Section(node, file, "", findings)


class Section:
    """One YAML mapping. Each getter checks a field and reports to the shared findings."""

    def __init__(self, node: yaml.MappingNode, file: str, path: str, findings: list[Finding]):
        self._file = file
        self._path = path
        self._findings = findings
        self._asked: set[str] = set()
        self._line = node.start_mark.line + 1
        self._nodes: dict[str, yaml.Node] = {}
        for key, value in node.value:
            if key.value in self._nodes:
                self._complain(key.value, "given twice", key)
            self._nodes[key.value] = value

    @property
    def line(self) -> int:
        """Line at which the section starts."""
        return self._line

    def complain(self, field: str, problem: str) -> None:
        """Report a problem with `field` at the line where it stands."""
        self._complain(field, problem, self._nodes.get(field))

    def text(self, field: str, default: str | None = None, choices: tuple[str, ...] = ()) -> str:
        """A string; required when there is no default."""
        value = self._scalar(field, str, default, "a text")
        if choices and value and value not in choices:
            self.complain(field, f"{value!r} is not one of {', '.join(choices)}")
            return choices[0]
        return value

    def integer(self, field: str, default: int | None = None, least: int = 0) -> int:
        """A whole number, `least` or more."""
        value = self._scalar(field, int, default, "a whole number")
        return self._bounded(field, value, least)

    def number(self, field: str, default: float | None = None, least: float = 0.0) -> float:
        """A number, `least` or more."""
        value = self._scalar(field, (int, float), default, "a number")
        return float(self._bounded(field, value, least))

    def flag(self, field: str, default: bool) -> bool:
        """True or false."""
        return self._scalar(field, bool, default, "true or false")

    def address(self, field: str, default: str | None = None) -> str:
        """An `IP:port` address by number."""
        value = self.text(field, default)
        host, _, port = value.rpartition(":")
        numeric = host.replace(".", "").isdigit() or ":" in host
        if value and not (numeric and port.isdigit()):
            self.complain(field, f"{value!r} is not an address of the form IP:port")
        return value

    def texts(self, field: str) -> tuple[str, ...]:
        """A list of strings, empty when left out."""
        node = self._take(field)
        if node is None:
            return ()
        if not isinstance(node, yaml.SequenceNode):
            self._complain(field, "expected a list", node)
            return ()
        return tuple(str(item.value) for item in node.value)

    def sections(self, field: str) -> Iterator["Section"]:
        """The mappings of a list, empty when left out."""
        node = self._take(field)
        if node is None:
            return
        if not isinstance(node, yaml.SequenceNode):
            self._complain(field, "expected a list", node)
            return
        for index, item in enumerate(node.value):
            path = f"{self._path}{field}[{index}]."
            if isinstance(item, yaml.MappingNode):
                yield Section(item, self._file, path, self._findings)
            else:
                self._complain(f"{field}[{index}]", "expected a mapping of fields", item)

    def section(self, field: str) -> "Section":
        """A nested mapping, empty when left out."""
        node = self._take(field)
        if isinstance(node, yaml.MappingNode):
            return Section(node, self._file, f"{self._path}{field}.", self._findings)
        if node is not None:
            self._complain(field, "expected a mapping of fields", node)
        empty = yaml.compose("{}", Loader=yaml.SafeLoader)
        assert isinstance(empty, yaml.MappingNode)
        return Section(empty, self._file, f"{self._path}{field}.", self._findings)

    def text_map(self, field: str) -> dict[str, str]:
        """A mapping of names to strings, empty when left out."""
        section = self.section(field)
        return {name: section.text(name) for name in section._nodes}

    def finish(self) -> None:
        """Report the fields that no getter asked for."""
        for field in self._nodes:
            if field not in self._asked:
                self.complain(field, "unknown field")

    def _take(self, field: str) -> yaml.Node | None:
        self._asked.add(field)
        return self._nodes.get(field)

    def _scalar(self, field: str, kind: Any, default: Any, expected: str) -> Any:
        node = self._take(field)
        if node is None:
            if default is None:
                self.complain(field, "missing")
                return kind() if isinstance(kind, type) else kind[0]()
            return default
        value = yaml.safe_load(yaml.serialize(node))
        wrong_flag = isinstance(value, bool) and kind is not bool
        if not isinstance(value, kind) or wrong_flag:
            self._complain(field, f"expected {expected}, found {value!r}", node)
            return default if default is not None else (kind if isinstance(kind, type) else int)()
        return value

    def _bounded(self, field: str, value: Any, least: Any) -> Any:
        if field in self._nodes and value < least:
            self.complain(field, f"{value} is less than {least}")
            return least
        return value

    def _complain(self, field: str, problem: str, node: yaml.Node | None) -> None:
        line = node.start_mark.line + 1 if node is not None else self._line
        self._findings.append(Finding(self._file, line, f"{self._path}{field}", problem))
