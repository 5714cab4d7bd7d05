"""Digest of a request's content, which identifies repeated attempts of the same request."""

import hashlib
from typing import NewType

__all__ = ["ContentId", "content_id"]

# A hexadecimal digest. It reveals nothing of the body, so logs, messages and the store may hold it.
ContentId = NewType("ContentId", str)

# 128 bits prevent a caller from constructing a request with the digest of another one.
DIGEST_BYTES = 16


def content_id(method: str, host: str, target: str, caller: str, body: bytes) -> ContentId:
    """Return the digest of a request's parts; 5 KB take about 10 us."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host, target, caller):
        data = part.encode()
        digest.update(b"%d:" % len(data))
        digest.update(data)
    digest.update(body)
    return ContentId(digest.hexdigest())
