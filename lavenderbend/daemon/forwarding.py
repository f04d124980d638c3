"""Assembles one forwarding router from the library and runs it."""

from __future__ import annotations

import random
import signal
from typing import TYPE_CHECKING

import trio

from lavenderbend import errors
from lavenderbend.coordination import clocks
from lavenderbend.coordination.forwarding import attempts
from lavenderbend.coordination.forwarding import budget
from lavenderbend.coordination.forwarding import cached_prompts
from lavenderbend.coordination.forwarding import choice
from lavenderbend.coordination.forwarding import crashes
from lavenderbend.coordination.forwarding import departures
from lavenderbend.coordination.forwarding import directory
from lavenderbend.coordination.forwarding import forwarder
from lavenderbend.coordination.forwarding import health
from lavenderbend.coordination.forwarding import loads
from lavenderbend.coordination.forwarding import outgoing
from lavenderbend.coordination.forwarding import peers
from lavenderbend.coordination.forwarding import reachability
from lavenderbend.coordination.forwarding import rejection_limits
from lavenderbend.coordination.forwarding import relays
from lavenderbend.coordination.forwarding import request_resolver
from lavenderbend.coordination.forwarding import reserving_chooser
from lavenderbend.coordination.forwarding import silence
from lavenderbend.coordination.forwarding import snapshots
from lavenderbend.coordination.forwarding import suspicion_checks
from lavenderbend.coordination.forwarding import suspicions
from lavenderbend.coordination.forwarding import upstream_paths
from lavenderbend.coordination.forwarding.admission import crowding
from lavenderbend.coordination.forwarding.crashing_parts import crashing_parts
from lavenderbend.coordination.forwarding.crashing_parts import part_records
from lavenderbend.coordination.forwarding.stream_versions import (
    settled_versions,
)
from lavenderbend.coordination.forwarding.stream_versions import stream_versions
from lavenderbend.coordination.forwarding.warm_up import cold_starts
from lavenderbend.coordination.forwarding.warm_up import coldness
from lavenderbend.coordination.forwarding.warm_up import zone_records
from lavenderbend.observe import logs
from lavenderbend.platform import store
from lavenderbend.protocol import documents_yaml
from lavenderbend.state import decisions
from lavenderbend.state import forwarding as forwarding_state
from lavenderbend.transport import caller_server
from lavenderbend.transport import early_signals
from lavenderbend.transport import peer_datagrams
from lavenderbend.transport import readiness
from lavenderbend.transport import relay_server
from lavenderbend.transport import upstream_exchanges

if TYPE_CHECKING:
    from lavenderbend.state import forwarding_settings
    from lavenderbend.state import settings as settings_module
    from lavenderbend.transport import forwarding_operators

# interval at which state of removed upstreams is deleted and idle
# connections that would not be used again are closed
CLEANUP_SECONDS = 1.0
# the last requests are ended this long before the time for a graceful stop
# ends
STOP_MARGIN_SECONDS = 0.3
# time for their callers to take the errors
LAST_ANSWERS_SECONDS = 0.1
# settings that take effect only after a restart
RESTART_SETTINGS = ('listen', 'readiness_path', 'headers', 'zones')


class ForwardingDaemon:
    """One forwarding router process.

    Attributes:
        settings: Settings read at the start of the router.
        snapshots: Configuration and upstreams in force.
        forwarder: The request path.
        callers: Server for callers.
        readiness: Server for the load balancer's readiness checks.
        operators: Server for operators, None without a credential.
        stopping: Set to begin a graceful stop.
    """

    def __init__(self, settings: settings_module.RouterSettings) -> None:
        """Creates a router that is inactive until `run`."""
        self.settings = settings
        self.forwarding = settings.forwarding
        self.rng = random.Random(settings.seed)  # noqa: S311 - jitter only
        self.stopping = trio.Event()
        self.clock = clocks.suspension_clock
        self.make_connections()
        self.make_state()
        self.make_request_path()
        self.make_servers()
        self.operators = self.make_operators()
        if settings.tracing.otlp_endpoint is not None:
            # its libraries are loaded only where spans are exported
            from lavenderbend.coordination.forwarding import request_spans

            self.forwarder.tracer = request_spans.Tracer()

    def make_connections(self) -> None:
        """Creates what connects to the store, to routers and to upstreams."""
        settings = self.settings
        self.store = store.PlatformStore(
            settings.key_value.endpoints[0], settings.key_value.timeout_seconds
        )
        host, port = address(self.forwarding.listen.peers)
        self.link = peer_datagrams.PeerDatagrams(
            host,
            port,
            lambda: self.snapshots.current,
            lambda revision: self.snapshots.removals.removed_since(revision),
        )
        self.exchanges = upstream_exchanges.UpstreamExchanges(port)

    def make_state(self) -> None:
        """Creates what tracks the configuration, upstreams and their load."""
        settings = self.settings
        self.snapshots = snapshots.Snapshots(
            self.store,
            follow_settings(self.forwarding),
            self.rng,
            self.clock,
        )
        self.directory = directory.Directory(
            self.snapshots,
            self.forwarding.zones,
            self.forwarding.zone_drain_seconds,
        )
        self.health = health.Health()
        self.loads = loads.Loads()
        self.peers = peers.Peers(
            settings.id,
            address(self.forwarding.listen.peers)[0],
            settings.availability_zone,
            [address(text)[0] for text in self.forwarding.peers],
            self.snapshots,
            self.loads,
            self.link,
            self.rng,
            self.forwarding.processor_capacity,
        )

    def make_request_path(self) -> None:
        """Creates the components of the request path."""
        settings = self.forwarding
        self.make_paths()
        self.coldness = coldness.Coldness(self.peers.facts)
        self.snapshots.on_change.append(self.coldness.apply_snapshot)
        self.cold_starts = cold_starts.ColdStarts(
            self.coldness,
            self.peers,
            self.link,
            self.snapshots.clock,
            self.rng,
            cold_rate_settings(settings),
            len(settings.zones),
        )
        self.zone_records = zone_records.ZoneRecords(
            self.snapshots, self.store, self.peers.fleet, self.coldness
        )
        self.cold_starts.presence = self.zone_records.presence
        self.rejection_limits = rejection_limits.RejectionLimits(
            self.loads,
            self.peers.facts,
            self.peers.budget_divisor,
            self.rng,
        )
        self.settled_versions = settled_versions.SettledVersions(
            self.snapshots, self.store, self.directory
        )
        self.stream_versions = stream_versions.StreamVersions(
            self.peers, self.link, self.settled_versions, self.rng
        )
        self.crashes = crashes.CrashDetector(
            self.paths.accepts, self.peers.facts
        )
        self.crashing_parts = crashing_parts.CrashingParts(
            self.peers, self.link, self.rng
        )
        self.part_records = part_records.PartRecords(
            self.snapshots, self.store, self.crashing_parts
        )
        self.crashes.parts = self.crashing_parts
        self.silence = silence.SilenceDetector(
            self.health, self.exchanges.accepts
        )
        self.suspicions = suspicions.Suspicions(
            self.peers.facts, self.peers.fleet_size
        )
        self.suspicions.on_confirmed = self.note_suspected
        self.departures = departures.Departures(
            self.snapshots, self.directory, self.peers.facts
        )
        self.suspicion_checks = suspicion_checks.SuspicionChecks(
            self.paths, self.directory, self.silence, self.suspicions.announce
        )
        self.health.on_suspect = self.note_own_suspicion
        self.peers.fact_callbacks = {
            crashes.DEATH: self.crashes.apply_fact,
            crashes.CLEARED: self.crashes.apply_fact,
            crashing_parts.BLAMED: self.crashing_parts.apply_blamed,
            crashing_parts.ANSWERED: self.crashing_parts.apply_answered,
            departures.LEFT: self.departures.apply_departure,
            departures.LEFT_BEFORE: self.departures.apply_departure,
            departures.LEAVING: self.departures.apply_announcement,
            departures.DRAINED: self.departures.apply_drained,
            suspicions.SUSPECTED: self.suspicions.apply_suspicion,
            coldness.COLD: self.coldness.apply_fact,
            rejection_limits.LIMITED: self.rejection_limits.apply_limit,
            rejection_limits.FULL: self.rejection_limits.apply_full,
        }
        self.budget = budget.RetryBudget(
            retry_budget_settings(settings), self.peers.budget_divisor
        )
        self.forwarder = forwarder.Forwarder(
            request_resolver.RequestResolver(
                self.snapshots, settings.headers, settings.apply_seconds
            ),
            reserving_chooser.ReservingChooser(
                choice.Chooser(
                    self.settings.availability_zone,
                    self.directory,
                    self.health,
                    self.loads,
                    settings.load_factor,
                ),
                self.peers.reservations,
                self.peers.loads.instances,
                self.peers.fleet_size,
            ),
            attempts.Attempts(
                self.paths,
                self.directory,
                self.health,
                self.loads,
                outgoing.OutgoingRequests(
                    cached_prompts.CachedPrompts(
                        self.directory,
                        self.health,
                        self.peers.prompts,
                        self.peers.loads.instances,
                    ),
                    settings.headers,
                ),
                self.crashes,
                self.silence,
                self.departures,
                settings.headers,
            ),
            self.budget,
        )
        self.forwarder.fleet_size = self.peers.fleet_size
        self.forwarder.reserving_chooser.cold_starts = self.cold_starts
        self.forwarder.attempts.cold_starts = self.cold_starts
        self.forwarder.chooser.rejection_limits = self.rejection_limits
        self.forwarder.attempts.rejection_limits = self.rejection_limits
        self.forwarder.attempts.stream_versions = self.stream_versions
        self.make_admission()

    def make_admission(self) -> None:
        """Creates what lets requests wait for room at upstreams."""
        chooser = self.forwarder.reserving_chooser
        chooser.rng = self.rng
        chooser.waits.queue_seconds = self.forwarding.queue_seconds
        self.crowding = crowding.Crowding(self.peers.facts, chooser.queues)
        chooser.crowding = self.crowding
        self.peers.reservations.owned.is_present = (
            self.peers.loads.instances.__contains__
        )
        self.forwarder.attempts.crowding = self.crowding
        self.forwarder.attempts.on_pace = chooser.note_pace
        self.peers.fact_callbacks[crowding.CROWDED] = self.crowding.apply_fact

    def make_paths(self) -> None:
        """Creates the components that connect to upstreams."""
        self.reachability = reachability.Reachability()
        self.reachability.fleet_size = self.peers.fleet_size
        self.reachability.store_age = lambda: self.snapshots.age
        self.peers.upstreams_lost = lambda: self.reachability.lost
        self.relays = relays.Relays(
            self.peers.members,
            self.directory,
            self.health,
            self.reachability,
            self.rng,
        )
        self.paths = upstream_paths.UpstreamPaths(
            self.exchanges, self.reachability, self.relays
        )
        self.relay_server = relay_server.RelayServer(self.relays)
        self.link.relay = self.relay_server.serve

    def make_servers(self) -> None:
        """Creates the servers for callers and the load balancer."""
        self.callers = caller_server.CallerServer(
            self.forwarder.forward,
            self.caller_limits,
            self.settings.callers.max_connections,
            min(
                self.settings.callers.max_held_bytes, self.forwarding.held_bytes
            ),
            self.forwarder.check,
        )
        self.readiness = readiness.ReadinessServer(
            self.forwarding.readiness_path, self.ready
        )

    def make_operators(
        self,
    ) -> forwarding_operators.ForwardingOperators | None:
        """Returns the operators' interface, None without a credential.

        Without a credential no operator could call it, and no decisions need
        to be recorded for it.
        """
        settings = self.settings
        if not settings.operators.credential:
            return None
        # importing its libraries adds 15 MB of resident set size, which
        # routers without operators do not need
        from lavenderbend.transport import forwarding_operators

        decision_store = decisions.DecisionStore(settings.decisions.capacity)
        self.forwarder.decisions = decision_store
        return forwarding_operators.ForwardingOperators(
            settings,
            self.forwarder.resolver,
            self.forwarder.chooser,
            self.peers,
            decision_store,
        )

    def note_suspected(self, instance: str, seconds: float) -> None:
        """Avoids an upstream that other routers suspect to be dead.

        An upstream from which this router has received bytes recently, or
        that accepted a connection, is not avoided: the other routers may be
        cut off from it.
        """
        if self.silence.received_within(instance, silence.SILENT_SECONDS):
            return
        if self.silence.accepted_lately(instance, trio.current_time()):
            return
        self.health.note_suspected(instance, seconds)
        self.coldness.note_silent(instance, seconds)

    def note_own_suspicion(self, instance: str, seconds: float) -> None:
        """Applies that this router found an upstream dead or unreachable."""
        self.coldness.note_silent(instance, seconds)
        self.suspicion_checks.suspect(instance, seconds)

    def caller_limits(self) -> forwarding_state.CallerLimits:
        """Returns the caller limits in force."""
        table = self.snapshots.table
        if table is None:
            return forwarding_state.CallerLimits()
        return table.limits

    def ready(self) -> bool:
        """Returns whether the load balancer should send callers here."""
        if self.stopping.is_set() or self.snapshots.table is None:
            return False
        return self.snapshots.may_serve_credentials()

    def reload(self, settings: settings_module.RouterSettings) -> None:
        """Applies the settings that may change while the router runs.

        These are the addresses of other routers, the processor of the
        machine, the bounds on the age of the configuration, on retries and on
        load, those of drained zones and cold upstreams, and how long requests
        wait for room. The other settings need a restart; the log line names
        those that have changed.
        """
        forwarding = settings.forwarding
        if forwarding is None:
            logs.change('settings_refused', faults=['forwarding is missing'])
            return
        self.peers.members.seeds = [
            address(text)[0] for text in forwarding.peers
        ]
        self.peers.members.same_zone.set_capacity(forwarding.processor_capacity)
        self.snapshots.settings = follow_settings(forwarding)
        self.forwarder.resolver.apply_seconds = forwarding.apply_seconds
        self.budget.settings = retry_budget_settings(forwarding)
        self.forwarder.chooser.load_factor = forwarding.load_factor
        self.directory.copy_seconds = forwarding.zone_drain_seconds
        self.cold_starts.settings = cold_rate_settings(forwarding)
        waits = self.forwarder.reserving_chooser.waits
        waits.queue_seconds = forwarding.queue_seconds
        changed = [
            name
            for name in RESTART_SETTINGS
            if getattr(forwarding, name) != getattr(self.forwarding, name)
        ]
        logs.change('settings_reloaded', needs_restart=changed)

    def stop(self) -> None:
        """Begins a graceful stop."""
        self.stopping.set()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs until a graceful stop is complete."""
        listen = self.forwarding.listen
        async with trio.open_nursery() as nursery:
            await nursery.start(self.link.run)
            self.start_tasks(nursery)
            await nursery.start(
                self.readiness.serve, *address(listen.readiness)
            )
            await nursery.start(self.callers.serve, *address(listen.callers))
            if self.operators is not None:
                operators = self.settings.operators
                await nursery.start(
                    self.operators.serve, operators.host, operators.port
                )
            logs.change(
                'router_started',
                router=self.settings.id,
                callers=listen.callers,
                peers=listen.peers,
            )
            task_status.started()
            await self.stopping.wait()
            await self.shut_down()
            nursery.cancel_scope.cancel()
        self.exchanges.close()
        logs.change('router_stopped', router=self.settings.id)

    def start_tasks(self, nursery: trio.Nursery) -> None:
        """Starts what runs besides the servers."""
        nursery.start_soon(self.snapshots.run)
        nursery.start_soon(self.peers.run)
        nursery.start_soon(self.cold_starts.run)
        nursery.start_soon(self.zone_records.run)
        nursery.start_soon(self.settled_versions.run)
        nursery.start_soon(self.part_records.run)
        nursery.start_soon(self.crashes.run)
        nursery.start_soon(self.silence.run)
        nursery.start_soon(self.paths.run)
        nursery.start_soon(self.suspicion_checks.run)
        nursery.start_soon(self.remove_stale_state)

    async def shut_down(self) -> None:
        """Stops gracefully; requests that exceed the time for a stop are ended.

        Readiness fails first, and callers that the load balancer still
        sends are served; each response tells its caller to close the
        connection. After the balancer's time only requests whose deadline is
        before the end of the stop are accepted.
        """
        stop = self.settings.stop
        logs.change('router_stopping', router=self.settings.id)
        drain_seconds = stop.stream_seconds - STOP_MARGIN_SECONDS
        self.callers.begin_stop()
        self.forwarder.stop.begin(stop.balancer_grace_seconds, drain_seconds)
        self.peers.leave()
        with trio.move_on_after(drain_seconds) as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.relay_server.shut_down)
                await trio.sleep(stop.balancer_grace_seconds)
                self.callers.close_idle()
                await self.callers.wait_all_closed()
        if not scope.cancelled_caught:
            return
        self.callers.end_reading()
        with trio.move_on_after(LAST_ANSWERS_SECONDS):
            await self.callers.wait_all_closed()
        logs.change('requests_cut', count=self.forwarder.stop.cut)

    async def remove_stale_state(self) -> None:
        """Removes state of upstreams that no longer exist, until cancelled."""
        while True:
            await trio.sleep(CLEANUP_SECONDS)
            current = self.snapshots.current
            if current is None:
                continue
            instances = {*current.upstreams, *self.snapshots.retained}
            self.exchanges.retain(instances)
            self.exchanges.close_expired()
            self.health.retain(instances)
            self.silence.retain(instances)
            self.paths.retain(instances)
            self.rejection_limits.retain(instances)
            self.crowding.retain(instances)
            self.stream_versions.remove_expired()
            self.crashing_parts.remove_expired()
            self.part_records.remove_expired()


def follow_settings(
    forwarding: forwarding_settings.ForwardingSettings,
) -> snapshots.FollowSettings:
    """Returns the settings for reading the store."""
    # one read returns both the configuration and the leaving upstreams
    seconds = min(forwarding.apply_seconds, forwarding.leave_seconds)
    return snapshots.FollowSettings(seconds, forwarding.revocation_seconds)


def retry_budget_settings(
    forwarding: forwarding_settings.ForwardingSettings,
) -> budget.RetryBudgetSettings:
    """Returns the settings of the fleet's retry budget."""
    return budget.RetryBudgetSettings(
        forwarding.repeat_share,
        forwarding.repeat_extra,
        forwarding.repeat_window_seconds,
    )


def cold_rate_settings(
    forwarding: forwarding_settings.ForwardingSettings,
) -> cold_starts.RateSettings:
    """Returns the settings of the rate of requests to cold upstreams."""
    return cold_starts.RateSettings(
        forwarding.cold_rate_factor, forwarding.cold_rate_extra
    )


def address(text: str) -> tuple[str, int]:
    """Returns host and port of `host:port`."""
    host, _, port = text.rpartition(':')
    return host, int(port)


async def handle_signals(daemon: ForwardingDaemon, path: str) -> None:
    """Begins a graceful stop or reloads the settings at a signal."""
    handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*handled_signals) as received:
        for number in early_signals.take_pending(handled_signals):
            handle_signal(daemon, path, number)
        async for number in received:
            handle_signal(daemon, path, number)


def handle_signal(daemon: ForwardingDaemon, path: str, number: int) -> None:
    """Reloads the settings at SIGHUP, else begins a graceful stop."""
    if number == signal.SIGHUP:
        reload_settings(daemon, path)
    else:
        daemon.stop()


def reload_settings(daemon: ForwardingDaemon, path: str) -> None:
    """Reads the settings file again and applies it if it is valid."""
    try:
        settings = documents_yaml.load_settings(path)
    except errors.DocumentErrors as exc:
        faults = [str(fault) for fault in exc.exceptions]
        logs.change('settings_refused', file=path, faults=faults)
        return
    daemon.reload(settings)


async def run_router(
    settings: settings_module.RouterSettings, path: str
) -> None:
    """Runs one router process until its graceful stop is complete.

    Args:
        settings: Settings of the router.
        path: File from which the settings are reloaded.
    """
    daemon = ForwardingDaemon(settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(handle_signals, daemon, path)
        await daemon.run()
        nursery.cancel_scope.cancel()
