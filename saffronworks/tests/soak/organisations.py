"""Organisations of a soak: their keys and quotas, how they change, and what must hold of them."""

import random

import attrs

from saffronworks.tests.soak.records import Asked, Ran, Records

__all__ = [
    "HOT",
    "KEYS",
    "QUOTA_BOUNDS",
    "WIDE_CALLER",
    "KeyHolder",
    "Organisations",
    "check_endpoint_fields",
    "holder_of",
    "quotas_hold",
]

QUOTA_BOUNDS = {"quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 60_000}
GENERATION_TOKENS, PLAIN_TOKENS = 14_000, 100
# One caller in so many belongs to the organisation that asks for more than its quota.
HOT_EVERY = 3
WIDE_PER_S, HOT_PER_S = 400_000, 20_000
# The quota of the hot organisation by turns, as shares of the usual one.
HOT_TURNS = (1.0, 0.5, 2.0)
HOT = "hot"
# A caller whose organisation has a wide quota, and whose key stays.
WIDE_CALLER = 4
KEYS = {"wide": ("key-wide-1", "key-wide-2"), HOT: ("key-hot-1", "key-hot-2")}


@attrs.frozen
class KeyHolder:
    """Who a caller is."""

    organisation: str
    key: str


def holder_of(number: int) -> KeyHolder:
    """The organisation and the key of a caller."""
    name = HOT if number % HOT_EVERY == 0 else "wide"
    return KeyHolder(name, KEYS[name][number % len(KEYS[name])])


@attrs.define
class Organisations:
    """What the configuration says of them now; each change is one step."""

    seed: int
    turns: int = 0
    taken_away: set[str] = attrs.Factory(set)

    def change(self) -> None:
        """Take the second key of one away or give it back, and change the hot one's quota."""
        rng = random.Random(f"{self.seed}/organisations/{self.turns}")
        self.turns += 1
        self.taken_away ^= {rng.choice([keys[1] for keys in KEYS.values()])}

    def spec(self) -> list[dict]:
        """As the platform writes them."""
        hot_per_s = HOT_PER_S * HOT_TURNS[self.turns % len(HOT_TURNS)]
        return [
            {
                "name": name,
                "api_keys": [key for key in keys if key not in self.taken_away],
                "unit": "tokens",
                "plain_tokens": PLAIN_TOKENS,
                "rate_per_s": per_s,
                "burst": per_s,
            }
            for (name, keys), per_s in zip(KEYS.items(), (WIDE_PER_S, hot_per_s), strict=True)
        ]


def check_endpoint_fields(asked: Asked, headers: dict[str, str]) -> list[str]:
    """What an endpoint must not see of a request."""
    wrong = []
    if headers.get("tenant", "") != asked.organisation:
        wrong.append(f"{asked.request_id} came as {headers.get('tenant')!r}")
    if any(key in value for keys in KEYS.values() for key in keys for value in headers.values()):
        wrong.append(f"{asked.request_id} came with a key")
    return wrong


def _cost(asked: Asked) -> int:
    return PLAIN_TOKENS if asked.kind in ("once", "again", "moved", "surge") else GENERATION_TOKENS


def quotas_hold(records: Records) -> list[str]:
    """In no window an organisation runs more than its highest quota, and what is tolerated."""
    highest = {"wide": WIDE_PER_S, HOT: HOT_PER_S * max(HOT_TURNS)}
    window_ms = QUOTA_BOUNDS["quota_window_s"] * 1000
    found = []
    for name, per_s in highest.items():
        allowed = (per_s * QUOTA_BOUNDS["quota_window_s"] + per_s) * (
            1 + QUOTA_BOUNDS["quota_overage"]
        ) + QUOTA_BOUNDS["quota_slack"]
        runs = [run for run in records.ran if records.asked[run.request_id].organisation == name]
        most = max((_ran_in(run.at_ms, window_ms, runs, records) for run in runs), default=0)
        if most > allowed:
            found.append(f"{name} ran {most} tokens of {allowed:.0f}")
    return found


def _ran_in(from_ms: float, window_ms: float, runs: list[Ran], records: Records) -> int:
    inside = [run for run in runs if from_ms <= run.at_ms < from_ms + window_ms]
    return sum(_cost(records.asked[run.request_id]) for run in inside)
