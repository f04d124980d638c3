"""Settings of membership."""

from __future__ import annotations

import attrs

from lavenderbend.coordination.upstream_health import ejection


@attrs.frozen
class MembershipSettings:
    """Periods and limits of membership; times are in seconds.

    Attributes:
        probe_period: Interval between probes of routers.
        probe_timeout: Timeout of a direct probe.
        indirect_timeout: Timeout of a probe through another router.
        indirect_probes: Number of routers asked to probe in place of this
            one.
        suspicion_timeout: Time that a suspected router has to refute the
            suspicion before it is declared dead.
        fanout: Number of routers to which each router gossips an update.
        gossip_delay: Time for which gossiped updates are batched.
        piggyback_bytes: Maximum size of the updates on one probe or answer.
        list_period: Interval between reads of the VM list by its readers.
        list_byte_rate: Bytes a second that a reader spends on the list; a
            large list is read less often than each period.
        list_readers: Number of routers of a region that read at this
            interval.
        fallback_list_period: Interval between reads of the VM list by the
            other routers.
        unlisted_grace: Time for which a responsive router that the VM list
            does not contain is kept.
        max_list_drop_fraction: Fraction of the VMs that may be missing from
            a read before it is rejected as implausible.
        report_period: Interval between load reports of an engine.
        report_rate: Maximum load reports a second that this router polls.
        report_timeout: Timeout of one load report.
        report_failures: Consecutive failed polls before other routers are
            asked to check the engine.
        report_pollers: Number of routers that poll each engine by default.
        draining_ttl: Lifetime of a fact that an upstream is draining, from
            its last renewal.
        unreachable_ttl: Lifetime of a fact that an upstream is unreachable
            or refuses connections.
        observers: Number of routers that must each report an upstream as
            refusing before routers that have not tried it exclude it.
        ejection: Limits of ejection and flap damping of upstreams.
    """

    probe_period: float = 0.5
    probe_timeout: float = 0.4
    indirect_timeout: float = 0.8
    indirect_probes: int = 3
    suspicion_timeout: float = 2.0
    fanout: int = 5
    gossip_delay: float = 0.02
    piggyback_bytes: int = 512
    list_period: float = 2.0
    list_byte_rate: float = 8192.0
    list_readers: int = 3
    fallback_list_period: float = 60.0
    unlisted_grace: float = 60.0
    max_list_drop_fraction: float = 0.5
    report_period: float = 1.0
    report_rate: float = 10.0
    report_timeout: float = 1.0
    report_failures: int = 2
    report_pollers: int = 2
    draining_ttl: float = 20.0
    unreachable_ttl: float = 6.0
    observers: int = 2
    ejection: ejection.EjectionSettings = attrs.field(
        factory=ejection.EjectionSettings
    )
