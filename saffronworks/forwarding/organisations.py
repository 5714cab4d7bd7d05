"""Organisations, their API keys and their quotas."""

import enum
import hashlib
import secrets
from typing import NewType

import attrs

__all__ = [
    "BadKey",
    "KeyDigest",
    "MAX_KEY_BYTES",
    "Organisation",
    "Organisations",
    "Quota",
    "QuotaUnit",
    "digest_key",
    "parse_key",
]

# Replaces an API key as soon as its request is parsed. The key itself is not kept, so that no log
# line, message, metric or traceback can reveal it.
KeyDigest = NewType("KeyDigest", bytes)

# Keys have about twenty bytes; a longer one is rejected before it is hashed.
MAX_KEY_BYTES = 256
DIGEST_BYTES = 16
# Random per process, so that the duration of a look-up reveals nothing about a key.
_SECRET = secrets.token_bytes(DIGEST_BYTES)


class QuotaUnit(enum.Enum):
    """Unit in which a quota is counted."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen
class Quota:
    """Rate limit of an organisation over all nodes together.

    `per_s` and the additional `burst` are in `unit`; a request without a prompt costs
    `plain_tokens`.
    """

    per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 1

    def cost(self, tokens: int | None) -> int:
        """Return the cost of a request of `tokens`: its prompt's plus its answer's maximum."""
        match self.unit:
            case QuotaUnit.REQUESTS:
                return 1
            case QuotaUnit.TOKENS:
                return self.plain_tokens if tokens is None else tokens


@attrs.frozen
class Organisation:
    """A customer; its `priority` (lower is more urgent) takes precedence over the route's."""

    name: str
    priority: int | None = None
    quota: Quota | None = None


Organisations = dict[KeyDigest, Organisation]


@attrs.frozen
class BadKey:
    """The key field of a request does not contain a valid key."""

    reason: str


def digest_key(key: str) -> KeyDigest:
    """Return the digest of a key, which is valid only within this process."""
    return KeyDigest(hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES, key=_SECRET).digest())


def parse_key(values: list[str]) -> KeyDigest | BadKey | None:
    """Return the digest of the key in a header field's values; None if there is no such field."""
    if not values:
        return None
    if len(values) > 1:
        return BadKey("several-keys")
    key = values[0]
    if len(key) > MAX_KEY_BYTES:
        return BadKey("key-too-long")
    # Visible ASCII only: no spaces, no control bytes, and the same bytes in every encoding.
    if not key or not all("!" <= character <= "~" for character in key):
        return BadKey("malformed-key")
    return digest_key(key)
