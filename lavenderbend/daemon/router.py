"""Assembles one router from the library and runs it."""

from __future__ import annotations

import random
import signal
from typing import TYPE_CHECKING

import trio

from lavenderbend.coordination import admission as admission_module
from lavenderbend.coordination import call_budget
from lavenderbend.coordination import clocks
from lavenderbend.coordination import dispatch
from lavenderbend.coordination import limits as limits_module
from lavenderbend.coordination import membership as membership_module
from lavenderbend.coordination.claims import claims as claims_module
from lavenderbend.coordination.configuration import (
    follower as configuration_follower,
)
from lavenderbend.coordination.orders import orders as orders_module
from lavenderbend.coordination.quarantine import quarantine as quarantine_module
from lavenderbend.coordination.rules import rules as rules_module
from lavenderbend.daemon import adapters
from lavenderbend.observe import logs
from lavenderbend.protocol import http_limits
from lavenderbend.state import decisions as decisions_module
from lavenderbend.state import upstreams
from lavenderbend.transport import callers
from lavenderbend.transport import early_signals
from lavenderbend.transport import operators
from lavenderbend.transport import orders_http
from lavenderbend.transport import serving
from lavenderbend.transport import upstream_http

if TYPE_CHECKING:
    from lavenderbend.state import settings as settings_module

# limits of one router: seven routers together stay below the several hundred
# writes and two thousand reads a second that the key-value service handles
WRITES_PER_SECOND = 40.0
READS_PER_SECOND = 200.0
CLAIM_DRAIN_SECONDS = 5.0

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class RouterDaemon:
    """One router process, or one of several in a demo.

    Attributes:
        settings: Settings read at the start of the router.
        rng: Random numbers for jitter.
        store: Client of the key-value service.
        link: Message link to other routers.
        membership: Routers and upstreams of the fleet.
        configurations: Follows the revision in force.
        admission: Grants permits for upstreams.
        claims: Ensures that non-idempotent requests run at most once.
        quarantine: Blocks requests that crash upstreams.
        orders: Sends engines their desired state.
        limits: Enforces the limits of customers.
        dispatcher: The request path.
        decisions: The latest decisions.
        caller_app: Interface for callers.
        operator_app: Interface for operators.
        caller_port: Bound port for callers.
        operator_port: Bound port for operators.
        stopping: Set to begin a graceful stop.
        stopped: Set when the last request has ended.
    """

    def __init__(
        self,
        settings: settings_module.RouterSettings,
        peer_port: int | None = None,
    ) -> None:
        """Creates a router that is inactive until `run`.

        Args:
            settings: Settings of the router.
            peer_port: Port at which other routers reach this one, if it
                differs from the settings.

        Raises:
            PeerTlsRequired: The peer address is not a loopback address and
                TLS is not configured.
        """
        self.settings = settings
        self.rng = random.Random(settings.seed)  # noqa: S311 - jitter only
        self.stopping = trio.Event()
        self.stopped = trio.Event()
        self.caller_port = 0
        self.operator_port = 0
        peers = settings.peers
        self.make_platform(peer_port or peers.advertised_port or peers.port)
        self.make_admission()
        self.make_shared_state()
        self.make_servers()

    def make_platform(self, peer_port: int) -> None:
        """Creates the clients of the platform, of peers and of upstreams."""
        settings = self.settings
        self.vm = upstreams.Vm(
            id=settings.id,
            host=settings.peers.host,
            port=peer_port,
            availability_zone=settings.availability_zone,
            service=adapters.ROUTER_SERVICE,
            kind=upstreams.UpstreamKind.ROUTER,
            region=settings.region,
        )
        self.store = adapters.make_store(settings.key_value, self.rng)
        self.budget = call_budget.CallBudget(
            WRITES_PER_SECOND, READS_PER_SECOND
        )
        self.link = adapters.make_link(settings)
        self.upstream_client = upstream_http.HttpUpstreamClient(
            adapters.answer_limits(settings.answers)
        )
        self.membership = membership_module.FleetMembership(
            self.vm,
            adapters.make_vm_list(settings.vm_list),
            self.link,
            self.upstream_client,
            self.rng,
            adapters.membership_settings(settings.vm_list),
        )

    def budgeted(
        self, priority: call_budget.CallPriority
    ) -> call_budget.BudgetedStore:
        """Returns the key-value store limited by the call budget."""
        return call_budget.BudgetedStore(self.store, self.budget, priority)

    def make_admission(self) -> None:
        """Creates the configuration follower, admission and customer limits."""
        settings = self.settings
        prefix = settings.key_value.prefix
        configuration_store = self.budgeted(
            call_budget.CallPriority.CONFIGURATION
        )
        self.configurations = configuration_follower.ConfigurationFollower(
            settings.id,
            configuration_store,
            self.link,
            self.membership,
            self.rng,
            f'{prefix}configuration/',
            settings.configuration.when_cut_off,
            settings.configuration.cut_off_seconds,
            clocks.suspension_clock,
        )
        # operators share the follower's log, so that a change accepted here
        # just before the key-value service fails is in force on this router
        # and peers receive it from this router
        self.configuration_log = self.configurations.log
        self.admission = admission_module.OwnerAdmission(
            settings.id,
            self.link,
            self.membership,
            self.configurations,
            self.rng,
            adapters.admission_settings(settings.admission),
        )
        # an owner without load reports of an engine would never choose it
        self.membership.poll_filter = self.admission.needs_report
        self.limits = limits_module.CustomerLimits(
            settings.id, self.link, self.membership, self.configurations
        )

    def make_shared_state(self) -> None:
        """Creates the components that share state in the key-value service."""
        settings = self.settings
        prefix = settings.key_value.prefix
        self.claims = claims_module.Claims(
            settings.id,
            self.budgeted(call_budget.CallPriority.CLAIMS),
            self.link,
            self.membership,
            self.rng,
            f'{prefix}claims/',
            adapters.claim_policy(settings.claims),
        )
        self.quarantine = quarantine_module.Quarantine(
            settings.id,
            self.budgeted(call_budget.CallPriority.BACKGROUND),
            self.link,
            self.membership,
            self.rng,
            f'{prefix}quarantine/',
        )
        self.orderer = orders_http.HttpOrderer()
        self.orders = orders_module.OrderController(
            settings.id,
            self.budgeted(call_budget.CallPriority.LEASES),
            self.membership,
            self.configurations,
            self.orderer,
            self.rng,
            f'{prefix}orders/{settings.region}/',
            adapters.order_policy(settings.orders),
            clocks.suspension_clock,
        )

    def make_servers(self) -> None:
        """Creates the request path and its interfaces."""
        settings = self.settings
        self.decisions = decisions_module.DecisionStore(
            settings.decisions.capacity
        )
        self.rules = rules_module.RuleSet()
        self.dispatcher = dispatch.Dispatcher(
            settings.id,
            self.configurations,
            self.rules,
            self.admission,
            self.upstream_client,
            self.membership,
            self.claims,
            self.quarantine,
            self.limits,
            self.decisions,
            {},
            self.rng,
            adapters.dispatch_settings(settings),
        )
        self.caller_app = callers.CallerApp(
            self.dispatcher,
            self.configurations,
            adapters.caller_limits(settings.callers),
            settings.availability_zone,
            self.membership.ready,
        )
        self.operator_app = operators.OperatorApp(
            settings.id,
            self.configurations,
            self.configuration_log,
            self.membership,
            self.decisions,
            self.admission,
            self.link,
            self.rules,
            settings,
        )

    def stop(self) -> None:
        """Begins a graceful stop."""
        self.stopping.set()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs until a graceful stop is complete.

        Args:
            task_status: Started when callers can be served.
        """
        async with trio.open_nursery() as nursery:
            self.start_components(nursery)
            operators_shutdown = trio.Event()
            self.operator_port = await nursery.start(
                self.serve_operators, operators_shutdown
            )
            callers_shutdown = trio.Event()
            self.caller_port = await nursery.start(
                self.serve_callers, callers_shutdown
            )
            logs.change(
                'router_started',
                router=self.settings.id,
                caller_port=self.caller_port,
                operator_port=self.operator_port,
            )
            task_status.started()
            await self.stopping.wait()
            await self.shut_down(callers_shutdown)
            operators_shutdown.set()
            nursery.cancel_scope.cancel()
        await self.orderer.close()
        await self.upstream_client.aclose()
        logs.change('router_stopped', router=self.settings.id)

    def start_components(self, nursery: trio.Nursery) -> None:
        """Starts the tasks of all components."""
        for component in (
            self.link,
            self.membership,
            self.configurations,
            self.admission,
            self.claims,
            self.quarantine,
            self.limits,
            self.orders,
        ):
            nursery.start_soon(component.run)
        nursery.start_soon(self.follow_revisions)

    async def follow_revisions(self) -> None:
        """Notifies membership of each new revision.

        A new pool may contain engines whose load reports this router needs.
        """
        number = 0
        while True:
            revision = await self.configurations.wait_beyond(number)
            number = revision.number
            self.membership.notify_changed()

    async def shut_down(self, callers_shutdown: trio.Event) -> None:
        """Stops without cutting off a request.

        Readiness fails first, and new connections are still served while
        the load balancer removes the router: a router that closed its
        listener at once would refuse callers that the balancer still sends.
        Peers are notified before the last requests end, so that ownership
        moves to them while this router can still answer.
        """
        logs.change('router_stopping', router=self.settings.id)
        self.caller_app.begin_stop()
        await trio.sleep(self.settings.stop.balancer_grace_seconds)
        callers_shutdown.set()
        await self.membership.leave()
        await self.stopped.wait()
        # copies of a request would get 'unknown' for outcomes that are not
        # recorded yet
        with trio.move_on_after(CLAIM_DRAIN_SECONDS):
            await self.claims.drain()

    async def serve_callers(
        self,
        shutdown: trio.Event,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves callers and sets `stopped` when the last request has ended."""
        settings = self.settings
        await serving.serve(
            self.caller_app,
            settings.callers.host,
            settings.callers.port,
            shutdown=shutdown,
            limits=self.caller_app.limits,
            grace_seconds=settings.stop.stream_seconds,
            task_status=task_status,
        )
        self.stopped.set()

    async def serve_operators(
        self,
        shutdown: trio.Event,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves operators until the last request of a caller has ended."""
        settings = self.settings
        await serving.serve(
            self.operator_app.app,
            settings.operators.host,
            settings.operators.port,
            shutdown=shutdown,
            limits=http_limits.OPERATOR_LIMITS,
            task_status=task_status,
        )


async def stop_on_signal(daemon: RouterDaemon) -> None:
    """Begins a graceful stop at the first signal."""
    with trio.open_signal_receiver(*STOP_SIGNALS) as received:
        if early_signals.take_pending(STOP_SIGNALS):
            daemon.stop()
        async for _ in received:
            daemon.stop()


async def run_router(settings: settings_module.RouterSettings) -> None:
    """Runs one router process until its graceful stop is complete."""
    daemon = RouterDaemon(settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, daemon)
        await daemon.run()
        nursery.cancel_scope.cancel()
