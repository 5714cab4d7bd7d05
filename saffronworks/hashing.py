"""Hashes of texts that every node computes alike, and choices by them."""

from collections.abc import Iterable

import xxhash

__all__ = ["hash32", "hash64", "rank_members", "weigh_member"]


def hash32(text: str) -> int:
    """A 32-bit hash."""
    return xxhash.xxh32_intdigest(text.encode())


def hash64(text: str) -> int:
    """A 64-bit hash."""
    return xxhash.xxh3_64_intdigest(text.encode())


def weigh_member(member: str, key: str) -> int:
    """How much a member of a group is preferred for `key`."""
    return hash64(f"{member}|{key}")


def rank_members(members: Iterable[str], key: str, count: int) -> list[str]:
    """The first `count` members for `key`, best first; each node computes the same."""
    return sorted(members, key=lambda member: weigh_member(member, key), reverse=True)[:count]
