"""Routing bundles: which endpoints serve which requests, in which roles, at what priority."""

import attrs
from result import Err, Ok, Result

from saffronworks.endpoint_roles import Role
from saffronworks.readers import Finding, Section, read_yaml, sort_findings

__all__ = [
    "Bundle",
    "Endpoint",
    "Model",
    "PlainRoute",
    "Pool",
    "Role",
    "compare_bundles",
    "read_bundle",
]


@attrs.frozen
class Endpoint:
    """One back end. Rates are priors: the owner corrects them by what it sees."""

    name: str
    address: str
    zone: str
    role: Role = Role.DECODE
    slots: int = 4
    prefill_tokens_per_s: float = 20_000.0
    link_bytes_per_s: float = 1e9
    checks_fence: bool = True


@attrs.frozen
class Pool:
    """The prefill and decode endpoints that exchange KV cache with each other.

    With `change_roles`, endpoints move between both roles as demand shifts; their `role` in the
    bundle then only tells where they begin.
    """

    name: str
    endpoints: tuple[Endpoint, ...]
    kv_bytes_per_token: int = 1000
    kv_kept_ms: int = 800
    change_roles: bool = False


@attrs.frozen
class Model:
    """A model as callers name it, with its targets and its policy.

    `goodput_weight` runs from 0 (avoid wasted prefill) to 1 (finish in time at any cost);
    `patience_ms` is how long a caller waits for a first token before it is told *not run*.
    """

    name: str
    pool: str
    ttft_ms: int = 2000
    pace_ms: int = 100
    patience_ms: int = 4000
    goodput_weight: float = 0.5
    priority: int = 1
    max_tokens: int = 128
    unrepeatable: bool = False


@attrs.frozen
class PlainRoute:
    """A plain service, chosen by host and path prefix; an empty host matches every host."""

    name: str
    path: str
    endpoints: tuple[Endpoint, ...]
    host: str = ""
    unrepeatable_methods: tuple[str, ...] = ("POST", "PATCH")


@attrs.frozen
class Bundle:
    """One checked bundle; `version` is given by the store at sign-off, 0 before."""

    name: str
    models: tuple[Model, ...] = ()
    pools: tuple[Pool, ...] = ()
    plain: tuple[PlainRoute, ...] = ()
    version: int = 0


def read_bundle(text: str, file: str, version: int = 0) -> Result[Bundle, list[Finding]]:
    """Read and check a bundle; either the whole bundle or every finding."""
    findings: list[Finding] = []
    root = read_yaml(text, file, findings)
    if root is None:
        return Err(findings)
    name = root.text("name")
    pools = tuple(_read_pool(section) for section in root.sections("pools"))
    pool_names = {pool.name for pool in pools}
    models = tuple(_read_model(section, pool_names) for section in root.sections("models"))
    plain = tuple(_read_plain(section) for section in root.sections("plain"))
    root.finish()
    _check_unique(root, "pools", [pool.name for pool in pools])
    _check_unique(root, "models", [model.name for model in models])
    _check_unique(root, "plain", [route.name for route in plain])
    endpoints = [endpoint.name for pool in pools for endpoint in pool.endpoints]
    _check_unique(root, "pools", endpoints)
    if not models and not plain:
        root.complain("models", "a bundle needs a model or a plain route")
    return (
        Err(sort_findings(findings))
        if findings
        else Ok(Bundle(name, models, pools, plain, version))
    )


def _read_pool(section: Section) -> Pool:
    pool = Pool(
        name=section.text("name"),
        kv_bytes_per_token=section.integer("kv_bytes_per_token", 1000, least=1),
        kv_kept_ms=section.integer("kv_kept_ms", 800, least=1),
        change_roles=section.flag("change_roles", False),
        endpoints=tuple(
            _read_endpoint(item, plain=False) for item in section.sections("endpoints")
        ),
    )
    roles = {endpoint.role for endpoint in pool.endpoints}
    for role in Role:
        if role not in roles:
            section.complain("endpoints", f"no endpoint has the role {role.value}")
    section.finish()
    return pool


def _read_endpoint(section: Section, plain: bool) -> Endpoint:
    name = section.text("name")
    address = section.address("address")
    zone = section.text("zone")
    if plain:
        section.finish()
        return Endpoint(name, address, zone)
    endpoint = Endpoint(
        name=name,
        address=address,
        zone=zone,
        role=Role(section.text("role", choices=tuple(role.value for role in Role)) or "decode"),
        slots=section.integer("slots", 4, least=1),
        prefill_tokens_per_s=section.number("prefill_tokens_per_s", 20_000.0, least=1.0),
        link_bytes_per_s=section.number("link_bytes_per_s", 1e9, least=1.0),
        checks_fence=section.flag("checks_fence", True),
    )
    section.finish()
    return endpoint


def _read_model(section: Section, pool_names: set[str]) -> Model:
    model = Model(
        name=section.text("name"),
        pool=section.text("pool"),
        ttft_ms=section.integer("ttft_ms", 2000, least=1),
        pace_ms=section.integer("pace_ms", 100, least=1),
        patience_ms=section.integer("patience_ms", 4000, least=1),
        goodput_weight=section.number("goodput_weight", 0.5),
        priority=section.integer("priority", 1),
        max_tokens=section.integer("max_tokens", 128, least=1),
        unrepeatable=section.flag("unrepeatable", False),
    )
    if model.pool and model.pool not in pool_names:
        section.complain("pool", f"no pool is named {model.pool!r}")
    if model.goodput_weight > 1:
        section.complain("goodput_weight", f"{model.goodput_weight} is more than 1")
    if model.patience_ms < model.ttft_ms:
        section.complain("patience_ms", "is less than ttft_ms")
    section.finish()
    return model


def _read_plain(section: Section) -> PlainRoute:
    methods = section.texts("unrepeatable_methods") or ("POST", "PATCH")
    route = PlainRoute(
        name=section.text("name"),
        path=section.text("path"),
        host=section.text("host", ""),
        unrepeatable_methods=methods,
        endpoints=tuple(_read_endpoint(item, plain=True) for item in section.sections("endpoints")),
    )
    if not route.path.startswith("/"):
        section.complain("path", "must start with /")
    if not route.endpoints:
        section.complain("endpoints", "needs at least one endpoint")
    section.finish()
    return route


def _check_unique(root: Section, field: str, names: list[str]) -> None:
    for name in sorted({name for name in names if names.count(name) > 1}):
        root.complain(field, f"the name {name!r} is given more than once")


def compare_bundles(old: Bundle, new: Bundle) -> list[str]:
    """One line per model, pool, endpoint or route that was added, removed or changed."""
    before, after = _named_parts(old), _named_parts(new)
    lines = [f"- {key}" for key in sorted(before.keys() - after.keys())]
    lines += [f"+ {key}" for key in sorted(after.keys() - before.keys())]
    for key in sorted(before.keys() & after.keys()):
        for field in attrs.fields(type(before[key])):
            was, now = getattr(before[key], field.name), getattr(after[key], field.name)
            if field.name != "endpoints" and was != now:
                lines.append(f"~ {key}.{field.name}: {was} -> {now}")
    return lines


def _named_parts(bundle: Bundle) -> dict[str, attrs.AttrsInstance]:
    parts: dict[str, attrs.AttrsInstance] = {f"model {m.name}": m for m in bundle.models}
    groups: tuple[Pool | PlainRoute, ...] = (*bundle.pools, *bundle.plain)
    for group in groups:
        kind = "pool" if isinstance(group, Pool) else "plain"
        parts[f"{kind} {group.name}"] = group
        for endpoint in group.endpoints:
            parts[f"{kind} {group.name} endpoint {endpoint.name}"] = endpoint
    return parts
