"""Identity of the parts that prompts share."""

import hashlib
from collections.abc import Iterable
from typing import NewType

__all__ = ["MAX_SHARED_PARTS", "PartId", "part_ids"]

# A hexadecimal digest. Callers choose the names of parts, so only digests are kept or sent.
PartId = NewType("PartId", str)

# Shared parts that are read of one prompt; those after them are not tracked.
MAX_SHARED_PARTS = 32
# 128 bits prevent a caller from naming a part that has the digest of another one.
_DIGEST_BYTES = 16


def part_ids(model: str, names: Iterable[str]) -> tuple[PartId, ...]:
    """Return the digests of a prompt's parts, in order.

    Endpoints share a part between all requests of a model that name it, whoever sends them.
    """
    return tuple(_part_id(model, name) for name in names)


def _part_id(model: str, name: str) -> PartId:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digest.update(b"%d:" % len(model))
    digest.update(model.encode())
    digest.update(name.encode())
    return PartId(digest.hexdigest())
