"""The platform's tenants, checked and decoded into organisations."""

import math

import attrs

from saffronworks.forwarding.organisations import (
    MAX_KEY_BYTES,
    BadKey,
    Organisation,
    Organisations,
    Quota,
    QuotaUnit,
    digest_key,
    parse_key,
)

__all__ = ["Tenant", "check_tenants", "decode_tenants"]

_UNITS = {unit.value for unit in QuotaUnit}


@attrs.frozen
class Tenant:
    """One organisation as the platform writes it; no rate, or 0, is no limit."""

    name: str
    api_keys: list[str]
    priority: int | None = None
    unit: str = QuotaUnit.REQUESTS.value
    # What a request without a prompt counts where tokens are counted.
    plain_tokens: int = 1
    # In `unit` a second, over all nodes.
    rate_per_s: float = 0.0
    burst: float = 0.0


def check_tenants(tenants: list[Tenant]) -> list[str]:
    """All findings; none shows a key."""
    findings = []
    names: set[str] = set()
    holders: dict[str, str] = {}
    for index, tenant in enumerate(tenants):
        place = f"tenants[{index}] {tenant.name!r}"
        findings += [f"{place}: {problem}" for problem in _check_one(tenant)]
        if tenant.name in names:
            findings.append(f"{place}: another one has this name")
        names.add(tenant.name)
        for number, key in enumerate(tenant.api_keys):
            holder = holders.setdefault(key, tenant.name)
            if holder != tenant.name:
                findings.append(f"{place}: api_keys[{number}] is a key of {holder!r} too")
    return findings


def _check_one(tenant: Tenant) -> list[str]:
    problems = []
    if not tenant.name or not all("!" <= sign <= "~" for sign in tenant.name):
        problems.append("the name is empty, or has signs that a header field can't hold")
    for number, key in enumerate(tenant.api_keys):
        if isinstance(parse_key([key]), BadKey):
            problems.append(
                f"api_keys[{number}] is not of 1 to {MAX_KEY_BYTES} visible ASCII signs"
            )
    if tenant.unit not in _UNITS:
        problems.append(f"unit {tenant.unit!r} is not one of {', '.join(sorted(_UNITS))}")
    for field in ("rate_per_s", "burst", "plain_tokens"):
        value = getattr(tenant, field)
        if not math.isfinite(value) or value < 0:
            problems.append(f"{field}: {value} is negative or no number")
    if tenant.priority is not None and tenant.priority < 0:
        problems.append(f"priority: {tenant.priority} is negative")
    return problems


def decode_tenants(tenants: list[Tenant]) -> Organisations:
    """The organisations by their keys."""
    found: Organisations = {}
    for tenant in tenants:
        organisation = Organisation(tenant.name, tenant.priority, _decode_quota(tenant))
        for key in tenant.api_keys:
            found[digest_key(key)] = organisation
    return found


def _decode_quota(tenant: Tenant) -> Quota | None:
    if not tenant.rate_per_s:
        return None
    unit = QuotaUnit(tenant.unit)
    return Quota(tenant.rate_per_s, tenant.burst, unit, tenant.plain_tokens)
