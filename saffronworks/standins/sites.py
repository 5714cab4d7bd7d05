"""A small site in one process: stand-ins, and nodes before them, on loopback."""

import json
from collections.abc import Callable

import anyio
import attrs
import httpcore
from anyio.abc import TaskGroup

from saffronworks.nodes import Node
from saffronworks.settings import Settings
from saffronworks.standins.addresses import free_address
from saffronworks.standins.standin_engine import StandinEngine
from saffronworks.standins.standin_models import EngineProfile
from saffronworks.standins.standin_plain import StandinPlain
from saffronworks.standins.standin_store import StandinStore

__all__ = ["Site", "SiteShape", "wait_until"]

ZONES = ("kgl-nyarugenge", "kgl-gasabo", "kgl-kicukiro")
REGION = "kgl"
POLL_S = 0.02


@attrs.frozen
class SiteShape:
    """What a site has, and the targets of its one model."""

    nodes: int = 3
    prefills: int = 2
    decodes: int = 3
    plains: int = 3
    profile: EngineProfile = EngineProfile(slots=6, step_ms=8.0)
    ttft_ms: int = 1500
    pace_ms: int = 60
    patience_ms: int = 8000
    max_tokens: int = 48
    heartbeat_ms: int = 200
    lease_ms: int = 2000
    change_roles: bool = False


async def wait_until(condition: Callable[[], object], limit_s: float = 20.0) -> bool:
    """Wait until `condition()` holds; False when it never did."""
    with anyio.move_on_after(limit_s):
        while not condition():
            await anyio.sleep(POLL_S)
        return True
    return bool(condition())


class Site:
    """Stand-ins and nodes, each a task of the group that is given."""

    def __init__(self, tasks: TaskGroup, shape: SiteShape):
        self.shape = shape
        self.store = StandinStore()
        self.engines: dict[str, StandinEngine] = {}
        self.plains = [StandinPlain(f"web-{i + 1}") for i in range(shape.plains)]
        self.nodes: list[Node] = []
        self.leaving: set[str] = set()
        self._tasks = tasks
        for index in range(shape.prefills):
            self._add_engine(f"prefill-{index + 1}")
        for index in range(shape.decodes):
            self._add_engine(f"decode-{index + 1}")

    def _add_engine(self, name: str) -> None:
        role = name.partition("-")[0]
        self.engines[name] = StandinEngine(name, self.shape.profile, role=role)

    async def start(self, sign_off: bool = True) -> None:
        """Start everything, publish the VM list and the bundle, and wait until it is served."""
        self._tasks.start_soon(self.store.run)
        for engine in self.engines.values():
            self._tasks.start_soon(engine.run)
        for plain in self.plains:
            self._tasks.start_soon(plain.run)
        for index in range(self.shape.nodes):
            self.nodes.append(self._make_node(index))
        self.publish_vms()
        for node in self.nodes:
            self._tasks.start_soon(node.run)
        ready = await wait_until(self._settled)
        if not ready:
            raise TimeoutError("the nodes did not come up")
        if sign_off:
            await self.sign_off(self.bundle_text(), "demo", 0)

    def _settled(self) -> bool:
        everyone = sorted(node.settings.name for node in self.nodes)
        return all(
            node.frontend.ready() and node.members.owners() == everyone for node in self.nodes
        )

    def _make_node(self, index: int) -> Node:
        settings = Settings(
            name=f"entry-{index + 1}",
            zone=ZONES[index % len(ZONES)],
            region=REGION,
            caller_address="127.0.0.1:0",
            admin_address="127.0.0.1:0",
            peer_address=free_address(),
            store_address=self.store.address,
            seeds=tuple(node.settings.peer_address for node in self.nodes),
            heartbeat_ms=self.shape.heartbeat_ms,
            suspect_after_ms=3 * self.shape.heartbeat_ms,
            dead_after_ms=6 * self.shape.heartbeat_ms,
            lease_ms=self.shape.lease_ms,
        )
        return Node(settings)

    def add_node(self) -> Node:
        """Start one more node, as a replaced VM does."""
        node = self._make_node(len(self.nodes))
        self.nodes.append(node)
        self.publish_vms()
        self._tasks.start_soon(node.run)
        return node

    def publish_vms(self) -> None:
        """Write the platform's VM list."""
        rows = [
            {
                "name": node.settings.name,
                "address": node.settings.peer_address,
                "zone": node.settings.zone,
                "region": REGION,
            }
            for node in self.nodes
        ]
        for name in (*self.engines, *(plain.name for plain in self.plains)):
            row = {"name": name, "address": "", "zone": "", "region": REGION}
            rows.append({**row, "endpoint": True, "leaving": name in self.leaving})  # type: ignore[dict-item]
        self.store.put("config/vms", json.dumps(rows))

    def bundle_text(self) -> str:
        """The sample bundle with this site's addresses."""
        shape = self.shape
        lines = ["name: letters", "models:", "  - name: opening-line", "    pool: suggestions"]
        for field in ("ttft_ms", "pace_ms", "patience_ms", "max_tokens"):
            lines.append(f"    {field}: {getattr(shape, field)}")
        lines += ["    goodput_weight: 0.3", "pools:", "  - name: suggestions"]
        lines += [f"    change_roles: {str(shape.change_roles).lower()}", "    endpoints:"]
        for index, (name, engine) in enumerate(self.engines.items()):
            role, zone = name.partition("-")[0], ZONES[index % len(ZONES)]
            lines.append(
                f'      - {{name: {name}, address: "{engine.address}", zone: {zone}, '
                f"role: {role}, slots: {engine.profile.slots}}}"
            )
        lines += ["plain:", "  - name: profiles", "    path: /profiles", "    endpoints:"]
        for index, plain in enumerate(self.plains):
            zone = ZONES[index % len(ZONES)]
            lines.append(
                f'      - {{name: {plain.name}, address: "{plain.address}", zone: {zone}}}'
            )
        return "\n".join(lines) + "\n"

    async def sign_off(self, text: str, by: str, base_version: int) -> tuple[int, bytes]:
        """Sign a bundle off at the first node and wait until it is in force on every node."""
        body = {
            "name": "letters",
            "text": text,
            "sign_off_id": f"{by}-{base_version}",
            "signed_by": by,
            "base_version": base_version,
        }
        address = self.nodes[0].admin_address
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"http://{address}/v1/bundles"
            response = await pool.request("POST", url, content=json.dumps(body).encode())
        if response.status == 200:
            version = json.loads(response.content)["version"]
            await wait_until(lambda: self.in_force(version))
        return response.status, response.content

    def in_force(self, version: int) -> bool:
        """Whether every node has at least that version of the bundle."""
        key = "config/bundles/letters"
        return all(
            key in node.relays.state.documents
            and node.relays.state.documents[key].version >= version
            for node in self.nodes
            if not node.frontend.draining
        )

    def engine_memory_held(self) -> int:
        """Attempts for which any engine holds memory."""
        return sum(engine.held() for engine in self.engines.values())
