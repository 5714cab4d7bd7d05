"""Organisations, the keys that name them, and what their quotas count."""

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

# What stands for an API key once its request was read: the key itself is kept nowhere, so that no
# log line, message, metric or traceback can show it.
KeyDigest = NewType("KeyDigest", bytes)

# Keys have some twenty bytes; a longer one is refused before it is hashed.
MAX_KEY_BYTES = 256
DIGEST_BYTES = 16
# Drawn at each start, so that how long a look-up takes tells nothing of a key.
_SECRET = secrets.token_bytes(DIGEST_BYTES)


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen
class Quota:
    """What an organisation may have run by all nodes together.

    `per_s` and, on top, `burst` are in `unit`; a request without a prompt counts `plain_tokens`.
    """

    per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 1

    def cost(self, tokens: int | None) -> int:
        """What a request counts; `tokens` are its prompt's and the most of its answer's."""
        match self.unit:
            case QuotaUnit.REQUESTS:
                return 1
            case QuotaUnit.TOKENS:
                return self.plain_tokens if tokens is None else tokens


@attrs.frozen
class Organisation:
    """Who asks: a lower `priority` is more urgent, and comes before that of the route."""

    name: str
    priority: int | None = None
    quota: Quota | None = None


Organisations = dict[KeyDigest, Organisation]


@attrs.frozen
class BadKey:
    """What a request carries as its key can't be one."""

    reason: str


def digest_key(key: str) -> KeyDigest:
    """What stands for a key in this process alone."""
    return KeyDigest(hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES, key=_SECRET).digest())


def parse_key(values: list[str]) -> KeyDigest | BadKey | None:
    """The key among the values of its field; None where there is no such field."""
    if not values:
        return None
    if len(values) > 1:
        return BadKey("several-keys")
    key = values[0]
    if len(key) > MAX_KEY_BYTES:
        return BadKey("key-too-long")
    # Visible ASCII: no blank, no control byte, nothing that two encodings write differently.
    if not key or not all("!" <= sign <= "~" for sign in key):
        return BadKey("malformed-key")
    return digest_key(key)
