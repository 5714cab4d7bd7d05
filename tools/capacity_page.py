"""Write the figures of docs/capacity.json into docs/CAPACITY.md, so that both agree."""

import json
from pathlib import Path

__all__ = ["main"]

FIGURES = Path("docs/capacity.json")
PAGE = Path("docs/CAPACITY.md")
BEGIN = "<!-- figures: begin -->"
END = "<!-- figures: end -->"


def main() -> None:
    """Replace the part between the marks by the committed figures."""
    figures = json.loads(FIGURES.read_text(encoding="utf-8"))
    rows = ["| Figure | Value |", "| --- | ---: |"]
    rows += [f"| `{name}` | {value:,.3f} |" for name, value in sorted(figures.items())]
    text = PAGE.read_text(encoding="utf-8")
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    PAGE.write_text(before + "\n".join([BEGIN, *rows, END]) + after, encoding="utf-8")


if __name__ == "__main__":
    main()
