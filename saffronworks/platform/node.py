"""The main class of a node on the platform: connects the forwarding code to the adapter."""

import logging
import math
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup

from saffronworks.body_memory import BodyMemory, body_bound, spare_memory_bytes
from saffronworks.clocks import LOOP_METER, held_up_ms, monotonic_ms, wall_ms
from saffronworks.connection_policy import HEADER_TIMEOUT_MS, MAX_HEADER_BYTES
from saffronworks.connection_table import UnreadConnections, limit_listeners, limit_unread
from saffronworks.forwarding import store_news
from saffronworks.forwarding.answer_buffers import buffer_bound
from saffronworks.forwarding.buffered_answers import AnswerBuffers
from saffronworks.forwarding.census import Census, NodeInfo
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.eligibility.service import EndpointEligibility
from saffronworks.forwarding.endpoint_limits import messages as limit_messages
from saffronworks.forwarding.endpoint_limits.service import EndpointLimits
from saffronworks.forwarding.figures import Level, MetricsRecorder
from saffronworks.forwarding.followers import Follower
from saffronworks.forwarding.forwarder import Forwarder
from saffronworks.forwarding.identity import Authenticator
from saffronworks.forwarding.loads import LoadTable
from saffronworks.forwarding.node_count import NodeCount
from saffronworks.forwarding.node_order import NodeOrder
from saffronworks.forwarding.origins import messages as origin_messages
from saffronworks.forwarding.origins.service import StreamOrigins
from saffronworks.forwarding.paths.peers import RelayPeer
from saffronworks.forwarding.paths.relay_server import RelayServer
from saffronworks.forwarding.paths.service import make_paths
from saffronworks.forwarding.planned_ends import (
    DEREGISTRATION_MS,
    FLUSH_MS,
    latest_exit_ms,
    plan_end,
)
from saffronworks.forwarding.planning import messages as planning_messages
from saffronworks.forwarding.planning.client import MemoryClient
from saffronworks.forwarding.planning.service import MemoryPlanner
from saffronworks.forwarding.quarantine import messages as quarantine_messages
from saffronworks.forwarding.quarantine.messages import PartNews, SuspicionNews
from saffronworks.forwarding.quarantine.service import Quarantine
from saffronworks.forwarding.quotas import messages as quota_messages
from saffronworks.forwarding.quotas.service import Quotas
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.forwarding.role_core import RoleState
from saffronworks.forwarding.role_keeper import RoleKeeper
from saffronworks.forwarding.routing import CallerLimits, RoutingTable
from saffronworks.forwarding.runners import NodeState
from saffronworks.forwarding.starts import endpoint_name
from saffronworks.forwarding.store_circuit import GuardedSource
from saffronworks.forwarding.store_news import NewsFeed, NewsPace, StoreNews
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.forwarding.tuning import CALLER_SEND_BUFFER_BYTES
from saffronworks.head_memory import HeadMemory, head_memory_bound
from saffronworks.kernel import Kernel
from saffronworks.logs import flush_logs
from saffronworks.overload.gate import ConnectionGate
from saffronworks.overload.link_budget import LinkBudget, bytes_per_ms
from saffronworks.overload.request_cost import RequestCost
from saffronworks.overload.start_queue import StartQueue
from saffronworks.peers import PeerReached, PeerService
from saffronworks.platform.answer_fields import ID_FIELD
from saffronworks.platform.calls import PlatformCalls
from saffronworks.platform.configuration import CONFIG_KIND, ConfigurationSink
from saffronworks.platform.gauges import (
    levels_by,
    register_caller_gauges,
    register_service_gauges,
)
from saffronworks.platform.ingress import Ingress
from saffronworks.platform.scrapes import MetricsPage
from saffronworks.platform.servers import SERVER_KIND, ServerSink
from saffronworks.platform.settings import PlatformSettings
from saffronworks.platform.settings_watch import SettingsWatch
from saffronworks.platform.store import PlatformStore
from saffronworks.stop_signal import STOP_SIGNALS, StopSignal
from saffronworks.web import Call, HttpServer, bind, parse_address
from saffronworks.wire import Codec

__all__ = ["PlatformNode"]

logger = logging.getLogger(__name__)

READINESS_PATH = "/saffronworks/readiness"
METRICS_PATH = "/metrics"
# A node that drains stops listening when no new connection has come for this long: the platform
# goes on sending callers to a zone in which few nodes are ready.
QUIET_MS = 1000
# Longest wait for the log lines of the ended requests to be written.
LOG_FLUSH_MS = 100
# Delay before a failed service is restarted.
SERVICE_PAUSE_MS = 1000
# Processor time that a request is assumed to take on one core, until it is measured.
REQUEST_COST_MS = 4.0
# Number of nodes assumed until the first census. Each node uses its share of a budget, and too
# high a number keeps the sum of the shares within that budget.
INITIAL_NODE_COUNT = 100


class PlatformNode:
    """One router process on the platform."""

    def __init__(self, settings: PlatformSettings, settings_file: str, metrics_port: int):
        self.settings = settings
        self._settings_watch = SettingsWatch(settings_file, self._apply_settings)
        self._tasks: TaskGroup | None = None
        self._stopping = anyio.Event()
        self._stop_signal = StopSignal(
            held_up_ms, monotonic_ms, self._begin_drain, self._latest_exit_ms
        )
        # When the open requests are ended; set at a planned end.
        self._ends_ms: int | None = None
        self._listed_nodes = INITIAL_NODE_COUNT
        self._store_epoch = StoreEpoch()
        self._store = PlatformStore(settings.store_address, self._store_epoch)
        rng = random.Random(f"{settings.node}/{wall_ms()}")
        self._directory = Directory()
        self._limits = EndpointLimits(
            settings.peer_address,
            INITIAL_NODE_COUNT,
            random.Random(settings.peer_address),
            monotonic_ms,
        )
        self._eligibility = EndpointEligibility(
            self._directory, self._limits, settings.drain_ms, monotonic_ms
        )
        self._paths = make_paths(self._directory, ID_FIELD, settings.zone, rng, monotonic_ms)
        self._calls = PlatformCalls(self._eligibility, self._paths, self._health_path)
        self._turns = NodeOrder(settings.peer_address)
        self._memory = MemoryClient(
            settings.peer_address, monotonic_ms(), self._paths.is_path_proven
        )
        self._news = NewsFeed(
            NodeOrder(settings.peer_address),
            NewsPace.within(settings.follow_within_ms),
            self._store_epoch,
            monotonic_ms,
        )
        self._guarded_store = GuardedSource(self._store, rng, monotonic_ms, self._receives_updates)
        self._store.on_answer = self._guarded_store.record_answer_begun
        self._kernel = Kernel(settings.node, monotonic_ms)
        self._peers = PeerService(
            settings.peer_address,
            Codec(
                planning_messages,
                store_news,
                quarantine_messages,
                quota_messages,
                limit_messages,
                origin_messages,
            ),
        )
        self._quarantine = Quarantine(
            settings.peer_address,
            self._directory,
            self._calls,
            self._guarded_store,
            random.Random(settings.peer_address),
            self._store_epoch,
            monotonic_ms,
        )
        self._quotas = Quotas(
            settings.peer_address,
            settings.quota_bounds,
            INITIAL_NODE_COUNT,
            lambda: self._forwarder.table,
            monotonic_ms,
        )
        link = LinkBudget(bytes_per_ms(settings.link_mbps))
        queue = StartQueue(RequestCost(REQUEST_COST_MS / settings.cores))
        self._gate = ConnectionGate(
            queue, link, self._paths.connect_delay, LOOP_METER, monotonic_ms
        )
        self._state = self._make_state(settings, link)
        self._forwarder = Forwarder(self._state, monotonic_ms())
        self._bodies = _make_body_memory(settings)
        self._ingress = Ingress(
            self._forwarder, self._bodies, self._closes_connection, monotonic_ms
        )
        self._register()
        self._followers = self._make_followers(settings, rng)
        self._census = Census(
            settings.node,
            settings.peer_address,
            settings.cores,
            settings.zone,
            self._guarded_store,
            rng,
            self._store_epoch,
            monotonic_ms,
            self._apply_census,
            relay_port=parse_address(settings.relay_address)[1] if settings.relay_address else 0,
        )
        self._roles = self._make_roles(settings)
        self._relay_server = RelayServer(
            self._directory,
            self._paths,
            self._calls.relayed,
            self._max_body_bytes,
            monotonic_ms,
            self._bodies,
        )
        self._relays: HttpServer | None = None
        self._listen(metrics_port)
        self._register_gauges(self._state.figures)
        self._metrics_page = MetricsPage(self._state.figures)

    def _listen(self, metrics_port: int) -> None:
        """Make the servers of all listeners, whose connections share the descriptors."""
        settings = self.settings
        # The server's own limit comes after the requests were ended.
        grace_s = math.ceil(settings.stop_grace_ms / 1000)
        send_buffer = CALLER_SEND_BUFFER_BYTES if self._state.buffers.bounded else None
        callers = bind(settings.caller_address, send_buffer)
        spare_bytes = spare_memory_bytes(settings.memory_limit_bytes)
        most = limit_listeners(settings.max_descriptors, spare_bytes)
        heads = HeadMemory(head_memory_bound(spare_bytes))
        unread = UnreadConnections(limit_unread(spare_bytes))
        self._callers = HttpServer(
            callers,
            self._ingress.handle,
            grace_s,
            gate=self._gate,
            echoed_field=ID_FIELD.lower(),
            max_connections=most.callers,
            heads=heads,
            unread=unread,
        )
        limits = CallerLimits()
        self._callers.set_header_limits(limits.header_bytes, limits.header_timeout_ms)
        self._probes = HttpServer(
            bind(settings.probe_address),
            self._answer_probe,
            max_connections=most.probes,
            heads=heads,
            unread=unread,
        )
        if settings.relay_address is not None:
            relays = bind(settings.relay_address)
            self._relays = HttpServer(
                relays,
                self._relay_server.handle,
                grace_s,
                date_header=False,
                max_connections=most.relays,
                heads=heads,
                unread=unread,
            )
        self._metrics = HttpServer(
            bind(f"{settings.ip}:{metrics_port}"),
            self._answer_metrics,
            max_connections=most.probes,
            heads=heads,
            unread=unread,
        )

    def _register_gauges(self, figures: MetricsRecorder) -> None:
        register_caller_gauges(figures, self._gate, self._callers, self._bodies)
        register_service_gauges(figures, self._kernel, self._peers)
        unmatched, relays = self._calls.pool.unmatched, self._relay_server
        gauges: dict[str, Callable[[], list[Level]]] = {
            "saffronworks_unmatched_answers": lambda: levels_by("reason", unmatched.counts),
            "saffronworks_relayed_requests": lambda: [Level(relays.open_requests, {})],
            "saffronworks_endpoints": self._paths.levels,
            "saffronworks_service_versions": self._count_versions,
            "saffronworks_quarantined_parts": lambda: [
                Level(self._quarantine.quarantined_parts(), {})
            ],
        }
        for name, levels in gauges.items():
            figures.register_gauge(name, levels)

    def _make_state(self, settings: PlatformSettings, link: LinkBudget) -> NodeState:
        nodes = NodeCount(INITIAL_NODE_COUNT)
        if not settings.first_start:
            # The first lists may be short where this node had a full one before its restart.
            nodes.update(INITIAL_NODE_COUNT, monotonic_ms())
        budget = RetryBudget(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_ms,
            nodes,
            None if settings.first_start else monotonic_ms(),
        )
        figures = MetricsRecorder(settings.node)
        self._origins = StreamOrigins(
            settings.peer_address,
            self._directory,
            figures,
            monotonic_ms,
            self._is_store_current,
            self._endpoints_updated_ms,
            self._calls.pool.connected_since_ms,
            settings.first_start,
            self._read_latest,
        )
        self._store_epoch.subscribe(lambda: self._origins.certainty.record_restore(monotonic_ms()))
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
            identities=Authenticator(self._is_configuration_current),
            quotas=self._quotas,
            limits=self._limits,
            eligibility=self._eligibility,
            origins=self._origins,
            buffers=AnswerBuffers(buffer_bound(settings.memory_bytes), figures, monotonic_ms),
            link=link,
        )

    def _count_versions(self) -> list[Level]:
        """Return the number of software versions that each service has."""
        versions = self._directory.versions()
        return [Level(len(found), {"service": name}) for name, found in versions.items()]

    def _receives_updates(self) -> bool:
        """Return whether this node may rely on other nodes for updates of the store."""
        return self._forwarder.table is not None and self._news.follows_peers()

    def _is_configuration_current(self) -> bool:
        """Return whether this node has every configuration that must be in force by now."""
        return self._follower(CONFIG_KIND).age_ms() <= self.settings.known_within_ms

    def _is_store_current(self) -> bool:
        """Return whether this node has all updates of the store that it must have by now."""
        within_ms = self.settings.known_within_ms
        listed = all(follower.listed for follower in self._followers)
        return listed and all(follower.age_ms() <= within_ms for follower in self._followers)

    async def _read_latest(self) -> bool:
        """Apply all updates of the store made before this call; return whether it returned them."""
        # One after the other: after a cut connection the first read probes the store for the next.
        for follower in self._followers:
            if not await follower.read_latest():
                return False
        return True

    def _endpoints_updated_ms(self) -> int:
        """Return when the endpoints were last up to date."""
        return monotonic_ms() - self._follower(SERVER_KIND).age_ms()

    def _follower(self, kind: str) -> Follower:
        return next(follower for follower in self._followers if follower.kind == kind)

    def _make_followers(self, settings: PlatformSettings, rng: random.Random) -> list[Follower]:
        servers = ServerSink(
            self._directory,
            monotonic_ms,
            wall_ms,
            self._apply_endpoints,
            self._state.figures.count_bad_entry,
        )
        configuration = ConfigurationSink(self._apply_table)
        return [
            Follower(
                kind,
                self._guarded_store,
                sink,
                rng,
                monotonic_ms,
                settings.watch_wait_ms,
                settings.known_within_ms,
                self._store_epoch,
                self._news,
                self._origins.has_versions,
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
            self._paths.is_partitioned,
        )

    def _max_body_bytes(self) -> int:
        table = self._forwarder.table
        return table.limits.body_bytes if table is not None else 0

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
        self._kernel.register(self._quarantine, SuspicionNews, PartNews)
        self._kernel.register(self._quotas, PeerReached, *quota_messages.PEER_MESSAGES)
        self._kernel.register(self._limits, PeerReached, *limit_messages.PEER_MESSAGES)
        self._kernel.register(self._origins, *origin_messages.PEER_MESSAGES)
        self._kernel.register(planner, *planning_messages.PLANNER_MESSAGES)
        self._kernel.register(self._memory, PeerReached, *planning_messages.ENTRY_MESSAGES)

    @property
    def metrics_address(self) -> str:
        """The address of the metrics page, as `IP:port`."""
        return self._metrics.address

    async def run(self) -> None:
        """Serve until SIGTERM, then drain and return."""
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
                self._gate.run,
                self._paths.run,
                *(follower.run for follower in self._followers),
            ]
            for service in services:
                tasks.start_soon(self._keep_running, service)
            async with anyio.create_task_group() as serving:
                serving.start_soon(self._callers.run)
                if self._relays is not None:
                    serving.start_soon(self._relays.run)
                await self._stopping.wait()
                tasks.start_soon(self._drain, serving.cancel_scope)
            tasks.cancel_scope.cancel()
        self._calls.pool.close()
        self._paths.peers.pool.close()
        open_requests = self._forwarder.open_requests + self._relay_server.open_requests
        logger.info("event=stop node=%s open_requests=%d", self.settings.node, open_requests)

    def stop(self) -> None:
        """Begin a graceful shutdown; a second call changes nothing."""
        self._stop_signal.record()
        self._stopping.set()

    def _begin_drain(self, sent_ms: int) -> None:
        """Decide as a draining node from now on; called by the signal handler."""
        assert self._stop_signal.recorded_ms is not None
        grace_ms = self.settings.stop_grace_ms
        end = plan_end(sent_ms, self._stop_signal.recorded_ms, grace_ms)
        self._ends_ms = end.ends_ms
        self._forwarder.drain(end)
        self._relay_server.closing = True

    def _closes_connection(self, number: int) -> bool:
        """Return whether a caller's connection is closed after an answer that begins now."""
        return self._ends_ms is not None or self._gate.closes(number)

    def ready(self) -> bool:
        """Return whether this node can serve callers."""
        listed = all(follower.listed for follower in self._followers)
        accepts = self._forwarder.table is not None and self._ends_ms is None
        return listed and accepts and not self._kernel.failing()

    async def _drain(self, serving: anyio.CancelScope) -> None:
        """Accept callers until the platform sends no more, then stop listening for new ones.

        Requests that are still open at the end of the grace period are answered or cut.
        """
        signalled = self._stop_signal
        assert self._ends_ms is not None
        assert signalled.sent_ms is not None and signalled.recorded_ms is not None
        now_ms = monotonic_ms()
        logger.warning(
            "event=drain node=%s open_requests=%d recorded_late_ms=%d handled_late_ms=%d "
            "left_ms=%d",
            self.settings.node,
            self._forwarder.open_requests,
            signalled.recorded_ms - signalled.sent_ms,
            now_ms - signalled.sent_ms,
            self._ends_ms - now_ms,
        )
        with anyio.move_on_after(_seconds_until(self._ends_ms)) as grace:
            await anyio.sleep(_seconds_until(signalled.sent_ms + DEREGISTRATION_MS))
            await self._census.leave()
            # The probes of a node that handled its signal late have failed only since then.
            await anyio.sleep(_seconds_until(now_ms + DEREGISTRATION_MS))
            while (quiet_ms := monotonic_ms() - self._gate.last_accepted_ms) < QUIET_MS:
                await anyio.sleep((QUIET_MS - quiet_ms) / 1000)
        self._callers.stop()
        if self._relays is not None:
            self._relays.stop()
        if not grace.cancelled_caught:
            await anyio.sleep(_seconds_until(self._ends_ms))
        self._forwarder.end_open_requests()
        self._relay_server.end_open_requests()
        await anyio.sleep(FLUSH_MS / 1000)
        # The process may be killed from here on.
        flush_logs(LOG_FLUSH_MS)
        serving.cancel()

    def _spawn(
        self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: object
    ) -> None:
        """Run a coroutine function in the background; it is cancelled when the node stops."""
        if self._tasks is not None:
            self._tasks.start_soon(self._run_once, function, *arguments)

    async def _run_once(
        self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: object
    ) -> None:
        """Run a coroutine function and log its failure, which ends no other task."""
        try:
            await function(*arguments)
        except Exception:
            logger.exception("event=background_failed function=%s", function.__qualname__)

    async def _keep_running(self, service: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a service and restart it whenever it fails or returns."""
        while True:
            await self._run_once(service)
            await anyio.sleep(SERVICE_PAUSE_MS / 1000)

    def _apply_census(self, nodes: dict[str, NodeInfo]) -> None:
        cores = {address: node.cores for address, node in nodes.items()}
        zone = self.settings.zone
        self._news.update_zone(
            {address: node.cores for address, node in nodes.items() if node.zone == zone}
        )
        self._listed_nodes = max(1, len(cores))
        self._state.budget.nodes.update(self._listed_nodes, monotonic_ms())
        others = cores.keys() - {self.settings.peer_address}
        self._forwarder.serving_nodes.update(len(others), monotonic_ms())
        self._memory.choice.cores = cores
        self._turns.update(cores)
        self._quarantine.update_nodes(cores)
        self._quotas.update_nodes(cores)
        self._limits.update_nodes(cores)
        self._origins.update_nodes(cores)
        self._paths.peers.update_peers(self._find_relay_peers(nodes))
        self._share_connections()

    def _find_relay_peers(self, nodes: dict[str, NodeInfo]) -> dict[str, RelayPeer]:
        """Return the other nodes of this region that relay requests, by relay address."""
        regions, peers = self.settings.regions, {}
        for address, node in nodes.items():
            same_region = regions.get(node.zone) == regions.get(self.settings.zone)
            if node.relay_port and address != self.settings.peer_address and same_region:
                relay_address = f"{parse_address(address)[0]}:{node.relay_port}"
                peers[relay_address] = RelayPeer(relay_address, node.cores, node.zone)
        return peers

    def _share_connections(self) -> None:
        table = self._forwarder.table
        if table is not None and table.services:
            min_connections = min(service.max_connections for service in table.services.values())
            self._calls.pool.limit_idle(self._listed_nodes, min_connections)

    def _health_path(self, service: str) -> str | None:
        table = self._forwarder.table
        known = table.services.get(service) if table is not None else None
        return known.health_path if known is not None else None

    def _apply_table(self, table: RoutingTable) -> bool:
        accepted = self._forwarder.apply_table(table)
        if accepted:
            self._quotas.take_table(table)
            self._gate.link.keep_routes({route.name for route in table.routes})
            self._origins.observe_table(table)
            self._limit_callers(table.limits)
        self._share_connections()
        return accepted

    def _limit_callers(self, limits: CallerLimits) -> None:
        logger.info(
            "event=caller_limits_applied idle_timeout_ms=%d header_timeout_ms=%d header_bytes=%d",
            limits.idle_timeout_ms,
            limits.header_timeout_ms,
            limits.header_bytes,
        )
        self._callers.set_keep_alive(limits.idle_timeout_ms / 1000)
        self._callers.set_header_limits(limits.header_bytes, limits.header_timeout_ms)
        self._callers.set_body_limit(limits.body_bytes)
        if self._relays is not None:
            # A relayed request has the caller's head and fields of its own.
            self._relays.set_header_limits(
                MAX_HEADER_BYTES + limits.header_bytes, HEADER_TIMEOUT_MS
            )

    def _apply_endpoints(self) -> None:
        """Update what depends on the directory, after a change of it."""
        self._origins.observe_endpoints(self._directory.pop_added())
        self._forget_removed_endpoints()

    def _forget_removed_endpoints(self) -> None:
        for instance in self._directory.take_ended():
            later = self._directory.named(endpoint_name(instance))
            if later is not None:
                self._origins.handle_restart(later)
                connected_since_ms = self._calls.pool.connected_since_ms(instance)
                self._eligibility.handle_restart(instance, later.instance, connected_since_ms)
            self._calls.pool.close_instance(instance)
        known = set(self._directory.endpoints)
        self._state.loads.forget_all_but(known)
        self._eligibility.forget_all_but(known)
        self._origins.certainty.forget_all_but(known)
        self._calls.pool.close_except(known)
        self._paths.forget_all_but(known)

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
        await call.reply_bytes(200, await self._metrics_page.render(), "text/plain; version=0.0.4")

    async def _watch_signals(self) -> None:
        kinds = (*STOP_SIGNALS, signal.SIGHUP)
        try:
            with anyio.open_signal_receiver(*kinds) as signals:
                self._stop_signal.install()
                async for number in signals:
                    logger.info("event=signal number=%d", number)
                    if number == signal.SIGHUP:
                        self._settings_watch.reload()
                    else:
                        self.stop()
        finally:
            # The default action would end the process before its last bytes are sent.
            signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def _latest_exit_ms(self) -> int:
        assert self._stop_signal.sent_ms is not None
        grace_ms = self.settings.stop_grace_ms
        return latest_exit_ms(self._stop_signal.sent_ms, grace_ms, monotonic_ms())

    def _apply_settings(self, settings: PlatformSettings) -> None:
        """Apply the retry budget, the only setting that takes effect without a restart."""
        self.settings = settings
        budget = self._state.budget
        budget.ratio, budget.slack = settings.retry_ratio, settings.retry_slack
        logger.info(
            "event=reload node=%s retry_ratio=%s retry_slack=%s",
            settings.node,
            budget.ratio,
            budget.slack,
        )


def _make_body_memory(settings: PlatformSettings) -> BodyMemory:
    answer_bytes = buffer_bound(settings.memory_bytes) or 0
    return BodyMemory(body_bound(settings.memory_limit_bytes, answer_bytes))


def _seconds_until(at_ms: int) -> float:
    return max(0, at_ms - monotonic_ms()) / 1000
