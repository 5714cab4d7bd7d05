"""Splits pools into cells, and chooses the owner of each cell by rendezvous hashing."""

from collections.abc import Iterable

import attrs

from saffronworks.bundles import Bundle, Endpoint, Model, Pool, Role
from saffronworks.hashing import weigh_member

__all__ = ["Cell", "choose_owner", "split_bundle", "split_pool"]

CELL_ENDPOINTS = 16


@attrs.frozen
class Cell:
    """Part of a pool, scheduled by one owner node; `name` is unique in the fleet."""

    name: str
    pool: Pool
    endpoints: tuple[Endpoint, ...]
    models: tuple[Model, ...]


def choose_owner(members: Iterable[str], key: str) -> str | None:
    """The member that owns `key`, or None when there are no members."""
    return max(members, key=lambda member: weigh_member(member, key), default=None)


def split_pool(bundle: Bundle, pool: Pool) -> list[Cell]:
    """Split a pool into cells of about `CELL_ENDPOINTS`, with roles in the pool's proportion.

    Cells are larger if some role has too few endpoints for each cell to get one.
    """
    models = tuple(model for model in bundle.models if model.pool == pool.name)
    by_role = {
        role: sorted((e for e in pool.endpoints if e.role is role), key=lambda e: (e.zone, e.name))
        for role in Role
    }
    wanted = -(-len(pool.endpoints) // CELL_ENDPOINTS)
    count = max(1, min(wanted, *(len(group) for group in by_role.values())))
    cells = []
    for index in range(count):
        endpoints = tuple(e for group in by_role.values() for e in group[index::count])
        cells.append(Cell(f"{bundle.name}/{pool.name}/{index}", pool, endpoints, models))
    return cells


def split_bundle(bundle: Bundle) -> list[Cell]:
    """The cells of all pools of a bundle."""
    return [cell for pool in bundle.pools for cell in split_pool(bundle, pool)]
