"""Checks the platform's tenants and decodes them into organisations."""

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
from saffronworks.wire import Real, Whole

__all__ = ["Tenant", "check_tenants", "decode_tenants"]

_UNITS = {unit.value for unit in QuotaUnit}


@attrs.frozen
class Tenant:
    """One organisation in the platform's format; a missing rate or 0 means no limit."""

    name: str
    api_keys: list[str]
    priority: Whole | None = None
    unit: str = QuotaUnit.REQUESTS.value
    # Cost of a request without a prompt, where the unit is tokens.
    plain_tokens: Whole = 1
    # Quota in `unit` per second, over all nodes together.
    rate_per_s: Real = 0.0
    burst: Real = 0.0


def check_tenants(tenants: list[Tenant]) -> list[str]:
    """Return all findings; none contains a key."""
    findings = []
    names: set[str] = set()
    owners: dict[str, str] = {}
    for index, tenant in enumerate(tenants):
        location = f"tenants[{index}] {tenant.name!r}"
        findings += [f"{location}: {problem}" for problem in _check_tenant(tenant)]
        if tenant.name in names:
            findings.append(f"{location}: another organisation has this name")
        names.add(tenant.name)
        for position, key in enumerate(tenant.api_keys):
            owner = owners.setdefault(key, tenant.name)
            if owner != tenant.name:
                findings.append(f"{location}: api_keys[{position}] also belongs to {owner!r}")
    return findings


def _check_tenant(tenant: Tenant) -> list[str]:
    problems = []
    if not tenant.name or not all("!" <= char <= "~" for char in tenant.name):
        problems.append("the name is empty or has characters that a header can't hold")
    for position, key in enumerate(tenant.api_keys):
        if isinstance(parse_key([key]), BadKey):
            problems.append(
                f"api_keys[{position}] must have 1 to {MAX_KEY_BYTES} visible ASCII characters"
            )
    if tenant.unit not in _UNITS:
        problems.append(
            f"unknown unit {tenant.unit!r}, expected one of {', '.join(sorted(_UNITS))}"
        )
    for field in ("rate_per_s", "burst", "plain_tokens"):
        value = getattr(tenant, field)
        if not math.isfinite(value) or value < 0:
            problems.append(f"{field}: {value} must be a finite number, 0 or more")
    if tenant.priority is not None and tenant.priority < 0:
        problems.append(f"priority: {tenant.priority} must not be negative")
    return problems


def decode_tenants(tenants: list[Tenant]) -> Organisations:
    """Return the organisations by the digests of their keys."""
    by_key: Organisations = {}
    for tenant in tenants:
        organisation = Organisation(tenant.name, tenant.priority, _decode_quota(tenant))
        for key in tenant.api_keys:
            by_key[digest_key(key)] = organisation
    return by_key


def _decode_quota(tenant: Tenant) -> Quota | None:
    if not tenant.rate_per_s:
        return None
    unit = QuotaUnit(tenant.unit)
    return Quota(tenant.rate_per_s, tenant.burst, unit, tenant.plain_tokens)
