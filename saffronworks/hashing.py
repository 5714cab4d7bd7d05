"""Hashes of texts that every node computes alike."""

import xxhash

__all__ = ["hash32", "hash64"]


def hash32(text: str) -> int:
    """A 32-bit hash."""
    return xxhash.xxh32_intdigest(text.encode())


def hash64(text: str) -> int:
    """A 64-bit hash."""
    return xxhash.xxh3_64_intdigest(text.encode())
