"""Header fields that concern only the connection that they arrive on (RFC 9110, section 7.6.1)."""

__all__ = ["HOP_BY_HOP_FIELDS"]

HOP_BY_HOP_FIELDS = frozenset(
    [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)
