"""The main class of a node on the platform: wires the product to the adapter."""

import logging
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup

from saffronworks.clocks import monotonic_ms, wall_ms
from saffronworks.forwarding import store_news
from saffronworks.forwarding.answer_buffers import buffer_bound
from saffronworks.forwarding.buffered_answers import AnswerBuffers
from saffronworks.forwarding.census import Census, NodeInfo
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.eligibility.service import EndpointEligibility
from saffronworks.forwarding.endpoint_limits import messages as limit_messages
from saffronworks.forwarding.endpoint_limits.service import EndpointLimits
from saffronworks.forwarding.figures import MetricsRecorder
from saffronworks.forwarding.followers import Follower
from saffronworks.forwarding.forwarder import Forwarder
from saffronworks.forwarding.identity import Authenticator
from saffronworks.forwarding.loads import LoadTable
from saffronworks.forwarding.planning import messages as planning_messages
from saffronworks.forwarding.planning.client import MemoryClient
from saffronworks.forwarding.planning.service import MemoryPlanner
from saffronworks.forwarding.quarantine import messages as quarantine_messages
from saffronworks.forwarding.quarantine.messages import SuspicionNews
from saffronworks.forwarding.quarantine.service import Quarantine
from saffronworks.forwarding.quotas import messages as quota_messages
from saffronworks.forwarding.quotas.service import Quotas
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.forwarding.role_core import RoleState
from saffronworks.forwarding.role_keeper import RoleKeeper
from saffronworks.forwarding.routing import RoutingTable
from saffronworks.forwarding.runners import NodeState
from saffronworks.forwarding.store_circuit import GuardedSource
from saffronworks.forwarding.store_news import NewsFeed, NewsPace, StoreNews
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.forwarding.tuning import CALLER_SEND_BUFFER_BYTES
from saffronworks.forwarding.turns import Turns
from saffronworks.kernel import Kernel
from saffronworks.peers import PeerService
from saffronworks.platform.calls import PlatformCalls
from saffronworks.platform.configuration import CONFIG_KIND, ConfigurationSink
from saffronworks.platform.ingress import Ingress
from saffronworks.platform.scrapes import MetricsPage
from saffronworks.platform.servers import SERVER_KIND, ServerSink
from saffronworks.platform.settings import PlatformSettings
from saffronworks.platform.settings_watch import SettingsWatch
from saffronworks.platform.store import PlatformStore
from saffronworks.web import Call, HttpServer, bind
from saffronworks.wire import Codec

__all__ = ["PlatformNode"]

logger = logging.getLogger(__name__)

READINESS_PATH = "/saffronworks/readiness"
METRICS_PATH = "/metrics"
# The platform asks once a second and sends no new callers after two misses.
TAKEN_OUT_MS = 2300
# Left of the time before SIGKILL when the last requests are cut.
EXIT_MARGIN_MS = 700
# Pause before a service that failed is started again.
SERVICE_PAUSE_MS = 1000
# Nodes assumed until they are counted: rather too many, as parts of a budget add up.
UNCOUNTED_NODES = 100


class PlatformNode:
    """One router process on the platform."""

    def __init__(self, settings: PlatformSettings, settings_file: str, metrics_port: int):
        self.settings = settings
        self._settings_watch = SettingsWatch(settings_file, self._take_settings)
        self._tasks: TaskGroup | None = None
        self._stopping = anyio.Event()
        self._store_epoch = StoreEpoch()
        self._store = PlatformStore(settings.store_address, self._store_epoch)
        rng = random.Random(f"{settings.node}/{wall_ms()}")
        self._directory = Directory()
        self._limits = EndpointLimits(
            settings.peer_address,
            UNCOUNTED_NODES,
            random.Random(settings.peer_address),
            monotonic_ms,
        )
        self._eligibility = EndpointEligibility(
            self._directory, self._limits, settings.drain_ms, monotonic_ms
        )
        self._calls = PlatformCalls(self._eligibility)
        self._turns = Turns(settings.peer_address)
        self._memory = MemoryClient(settings.peer_address, monotonic_ms())
        self._news = NewsFeed(
            Turns(settings.peer_address),
            NewsPace.within(settings.follow_within_ms),
            self._store_epoch,
            monotonic_ms,
        )
        self._guarded = GuardedSource(self._store, rng, monotonic_ms, self._told)
        self._kernel = Kernel(settings.node, monotonic_ms)
        self._peers = PeerService(
            settings.peer_address,
            Codec(
                planning_messages,
                store_news,
                quarantine_messages,
                quota_messages,
                limit_messages,
            ),
        )
        self._quarantine = Quarantine(
            settings.peer_address,
            self._directory,
            self._calls,
            self._guarded,
            random.Random(settings.peer_address),
            self._store_epoch,
            monotonic_ms,
        )
        self._quotas = Quotas(
            settings.peer_address,
            settings.quota_bounds,
            UNCOUNTED_NODES,
            lambda: self._forwarder.table,
            monotonic_ms,
        )
        self._state = self._make_state(settings)
        self._forwarder = Forwarder(self._state, monotonic_ms())
        self._ingress = Ingress(self._forwarder, monotonic_ms)
        self._register()
        self._followers = self._make_followers(settings, rng)
        self._census = Census(
            settings.node,
            settings.peer_address,
            settings.cores,
            settings.zone,
            self._guarded,
            rng,
            self._store_epoch,
            monotonic_ms,
            self._take_census,
        )
        self._roles = self._make_roles(settings)
        grace_s = max(1, (settings.stop_grace_ms - TAKEN_OUT_MS - EXIT_MARGIN_MS) // 1000)
        send_buffer = CALLER_SEND_BUFFER_BYTES if self._state.buffers.bounded else None
        callers = bind(settings.caller_address, send_buffer)
        self._callers = HttpServer(callers, self._ingress.handle, grace_s)
        self._probes = HttpServer(bind(settings.probe_address), self._answer_probe)
        self._page = MetricsPage(self._state.figures)
        self._metrics = HttpServer(bind(f"{settings.ip}:{metrics_port}"), self._answer_metrics)

    def _make_state(self, settings: PlatformSettings) -> NodeState:
        budget = RetryBudget(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_ms, UNCOUNTED_NODES
        )
        figures = MetricsRecorder(settings.node)
        return NodeState(
            zone=settings.zone,
            directory=self._directory,
            loads=LoadTable(settings.zone),
            budget=budget,
            calls=self._calls,
            figures=figures,
            now_ms=monotonic_ms,
            spawn=self._spawn,
            memory=self._memory,
            quarantine=self._quarantine,
            identities=Authenticator(self._in_touch),
            quotas=self._quotas,
            limits=self._limits,
            eligibility=self._eligibility,
            buffers=AnswerBuffers(buffer_bound(settings.memory_bytes), figures, monotonic_ms),
        )

    def _told(self) -> bool:
        """Whether this node may wait for what others tell it of the store."""
        return self._forwarder.table is not None and self._news.follows_peers()

    def _in_touch(self) -> bool:
        """Whether a version of the configuration that has to be in force here is known."""
        follower = next(found for found in self._followers if found.kind == CONFIG_KIND)
        return follower.age_ms() <= self.settings.known_within_ms

    def _make_followers(self, settings: PlatformSettings, rng: random.Random) -> list[Follower]:
        servers = ServerSink(
            self._directory,
            monotonic_ms,
            wall_ms,
            self._forget_gone,
            self._state.figures.count_bad_entry,
        )
        configuration = ConfigurationSink(self._take_table)
        return [
            Follower(
                kind,
                self._guarded,
                sink,
                rng,
                monotonic_ms,
                settings.watch_wait_ms,
                settings.known_within_ms,
                self._store_epoch,
                self._news,
            )
            for kind, sink in ((CONFIG_KIND, configuration), (SERVER_KIND, servers))
        ]

    def _make_roles(self, settings: PlatformSettings) -> RoleKeeper:
        return RoleKeeper(
            lambda: RoleState(settings.node, settings.lease_ms, settings.thaw_slack_ms),
            self._directory,
            self._store,
            self._calls,
            lambda: self._forwarder.table,
            self._turns,
            self._store_epoch,
            monotonic_ms,
        )

    def _register(self) -> None:
        planner = MemoryPlanner(
            self._directory,
            lambda: self._forwarder.table,
            lambda: self._memory.choice.cores,
            self.settings.peer_address,
            self._state.figures,
        )
        self._kernel.register(self._peers)
        self._kernel.register(self._news, StoreNews)
        self._kernel.register(self._quarantine, SuspicionNews)
        self._kernel.register(self._quotas, *quota_messages.NODES_HEAR)
        self._kernel.register(self._limits, *limit_messages.NODES_HEAR)
        self._kernel.register(planner, *planning_messages.PLANNER_HEARS)
        self._kernel.register(self._memory, *planning_messages.ENTRY_HEARS)

    @property
    def metrics_address(self) -> str:
        """Where the figures are asked for, as `IP:port`."""
        return self._metrics.address

    async def run(self) -> None:
        """Serve until SIGTERM has drained the node."""
        logger.info(
            "event=start node=%s zone=%s callers=%s probes=%s store=%s",
            self.settings.node,
            self.settings.zone,
            self.settings.caller_address,
            self.settings.probe_address,
            self.settings.store_address,
        )
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._peers.listen()
            self._kernel.start(tasks)
            services: list[Callable[[], Coroutine[Any, Any, None]]] = [
                self._probes.run,
                self._metrics.run,
                self._watch_signals,
                self._settings_watch.run,
                self._census.run,
                self._roles.run,
                self._state.buffers.run,
                *(follower.run for follower in self._followers),
            ]
            for service in services:
                tasks.start_soon(self._keep_running, service)
            async with anyio.create_task_group() as serving:
                serving.start_soon(self._callers.run)
                await self._stopping.wait()
                await self._drain()
            tasks.cancel_scope.cancel()
        self._calls.pool.close()
        logger.info("event=stop node=%s", self.settings.node)

    def stop(self) -> None:
        """Begin the planned stop."""
        self._stopping.set()

    def ready(self) -> bool:
        """Whether callers may be sent here."""
        listed = all(follower.listed for follower in self._followers)
        return listed and self._forwarder.table is not None and not self._stopping.is_set()

    async def _drain(self) -> None:
        """Serve on until no new callers come, then let the open requests end."""
        logger.info(
            "event=drain node=%s open_requests=%d",
            self.settings.node,
            self._forwarder.open_requests,
        )
        self._ingress.closing = True
        await anyio.sleep(TAKEN_OUT_MS / 1000)
        await self._census.leave()
        self._callers.stop()

    def _spawn(
        self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: object
    ) -> None:
        """Run something in the background for as long as the node runs."""
        if self._tasks is not None:
            self._tasks.start_soon(self._run_once, function, *arguments)

    async def _run_once(
        self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: object
    ) -> None:
        """A failure in the background is logged, and ends nothing else."""
        try:
            await function(*arguments)
        except Exception:
            logger.exception("event=background_failed function=%s", function.__qualname__)

    async def _keep_running(self, service: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start a service again that failed by a fault of ours, while the node serves on."""
        while True:
            await self._run_once(service)
            await anyio.sleep(SERVICE_PAUSE_MS / 1000)

    def _take_census(self, nodes: dict[str, NodeInfo]) -> None:
        cores = {address: node.cores for address, node in nodes.items()}
        zone = self.settings.zone
        self._news.update_zone({a: node.cores for a, node in nodes.items() if node.zone == zone})
        self._state.budget.nodes = max(1, len(cores))
        self._memory.choice.cores = cores
        self._turns.take(cores)
        self._quarantine.take_nodes(cores)
        self._quotas.take_nodes(cores)
        self._limits.take_nodes(cores)
        self._share_connections()

    def _share_connections(self) -> None:
        table = self._forwarder.table
        if table is not None and table.services:
            least = min(service.max_connections for service in table.services.values())
            self._calls.pool.limit_idle(self._state.budget.nodes, least)

    def _take_table(self, table: RoutingTable) -> bool:
        self._callers.keep_idle(table.limits.idle_timeout_ms / 1000)
        taken = self._forwarder.take_table(table)
        if taken:
            self._quotas.take_table(table)
        self._share_connections()
        return taken

    def _forget_gone(self) -> None:
        for instance in self._directory.take_ended():
            self._calls.pool.close_instance(instance)
        known = set(self._directory.endpoints)
        self._state.loads.forget_all_but(known)
        self._eligibility.forget_all_but(known)
        self._calls.pool.close_except(known)

    async def _answer_probe(self, call: Call) -> None:
        if call.path != READINESS_PATH:
            await call.reply(404, {"error": f"only {READINESS_PATH} is served here"})
            return
        ready = self.ready()
        await call.reply(200 if ready else 503, {"ready": ready})

    async def _answer_metrics(self, call: Call) -> None:
        if call.path != METRICS_PATH:
            await call.reply(404, {"error": f"only {METRICS_PATH} is served here"})
            return
        await call.reply_bytes(200, await self._page.render(), "text/plain; version=0.0.4")

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                logger.info("event=signal number=%d", number)
                if number == signal.SIGHUP:
                    self._settings_watch.reload()
                else:
                    self.stop()

    def _take_settings(self, settings: PlatformSettings) -> None:
        """Take what may change while running: the retry budget. Addresses need a restart."""
        self.settings = settings
        budget = self._state.budget
        budget.ratio, budget.slack = settings.retry_ratio, settings.retry_slack
        logger.info(
            "event=reload node=%s retry_ratio=%s retry_slack=%s",
            settings.node,
            budget.ratio,
            budget.slack,
        )
