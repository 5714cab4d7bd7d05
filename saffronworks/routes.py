"""What the bundles in force say: models by name, cells of a model, plain routes."""

import random

import attrs
from result import Err

from saffronworks.bundles import Bundle, Model, PlainRoute, read_bundle
from saffronworks.documents import Document
from saffronworks.hashing import rank_members
from saffronworks.ownership import Cell, split_pool
from saffronworks.signoffs import read_record

__all__ = ["RouteTable", "choose_cell"]

CELLS_USED = 8


@attrs.define
class RouteTable:
    """Bundles by name, with what requests look up.

    Of a pool with many cells a node uses `CELLS_USED`, chosen by its name: it renews a lease
    with each owner that it uses, and those must not grow with the fleet.
    """

    node: str = ""
    bundles: dict[str, Bundle] = attrs.Factory(dict)
    models: dict[str, tuple[Model, tuple[Cell, ...]]] = attrs.Factory(dict)
    plain: list[PlainRoute] = attrs.Factory(list)

    def take(self, document: Document) -> bool:
        """Put a bundle document in force; False when it cannot be read."""
        record = read_record(document.content)
        if isinstance(record, Err):
            return False
        read = read_bundle(record.ok_value.text, document.key, document.version)
        if isinstance(read, Err):
            return False
        self.bundles[document.key] = read.ok_value
        self._index()
        return True

    def _index(self) -> None:
        self.models = {}
        self.plain = []
        for bundle in self.bundles.values():
            pools = {pool.name: self._use_cells(split_pool(bundle, pool)) for pool in bundle.pools}
            for model in bundle.models:
                self.models[model.name] = (model, pools[model.pool])
            self.plain += bundle.plain
        self.plain.sort(key=lambda route: (bool(route.host), len(route.path)), reverse=True)

    def _use_cells(self, cells: list[Cell]) -> tuple[Cell, ...]:
        used = rank_members([cell.name for cell in cells], self.node, CELLS_USED)
        return tuple(cell for cell in cells if cell.name in used)

    def find_plain(self, host: str, path: str) -> PlainRoute | None:
        """The most exact plain route: with a host first, then the longest path."""
        for route in self.plain:
            if route.host in ("", host) and path.startswith(route.path):
                return route
        return None


def choose_cell(cells: tuple[Cell, ...], outstanding: dict[str, int], rng: random.Random) -> Cell:
    """Of two cells drawn at random, the one where this node has less outstanding."""
    if len(cells) == 1:
        return cells[0]
    first, second = rng.sample(cells, 2)
    return min(first, second, key=lambda cell: outstanding.get(cell.name, 0))
