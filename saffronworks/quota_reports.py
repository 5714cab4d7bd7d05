"""What log lines tell of quotas: who was refused how often, and whose shares ran out."""

from collections.abc import Iterable

import attrs

from saffronworks.explain import LogLine, read_lines
from saffronworks.forwarding.shares.tuning import HOLDERS

__all__ = ["QuotaRow", "count_quotas"]


@attrs.define
class QuotaRow:
    """One organisation over all nodes.

    `refused` counts requests that were beyond the quota, `unknown` those that met no holder and
    were refused, `alone` those that a node admitted by itself; `used_up` how often a holder's share
    ran out, and `per_s` what the three shares allowed together when the last one did.
    """

    organisation: str
    refused: int = 0
    unknown: int = 0
    alone: int = 0
    used_up: int = 0
    per_s: int = 0

    def take(self, line: LogLine) -> None:
        """One line of this organisation."""
        done = line.pairs.get("do", "")
        self.refused += done.startswith("Refused")
        self.unknown += done.startswith("Unknown")
        self.alone += done.startswith("Admitted")
        if line.pairs.get("used_up") == "True":
            self.used_up += 1
            self.per_s = HOLDERS * line.number("share_per_s")


def count_quotas(lines: Iterable[str]) -> list[QuotaRow]:
    """A row for each organisation that lines of quotas name, the most refused first."""
    rows: dict[str, QuotaRow] = {}
    for line in read_lines(lines):
        name = line.pairs.get("organisation")
        if line.event in ("quota", "quota_share") and name is not None:
            rows.setdefault(name, QuotaRow(name)).take(line)
    return sorted(rows.values(), key=lambda row: (-row.refused, row.organisation))
