"""Seeds that once broke a promise, each with its cause; `make soak-failed` plays them again."""

__all__ = ["FAILED_SEEDS"]

FAILED_SEEDS: dict[int, str] = {}
