"""Periods and bounds of membership."""

from __future__ import annotations

import attrs

from lavenderbend.coordination.upstream_health import ejection


@attrs.frozen
class MembershipSettings:
    """Periods and bounds of membership; times are seconds.

    Attributes:
        probe_period: Between probes of routers.
        probe_timeout: For the answer to a direct probe.
        indirect_timeout: For the answer through other routers.
        indirect_probes: Routers that are asked to probe in our place.
        suspicion: Time that a suspected router has to refute.
        fanout: Routers that an urgent update is sent to by each.
        spread_delay: Time that urgent updates gather.
        piggyback_bytes: Updates on one probe or answer.
        list_period: Between reads of the VM list by its readers.
        list_byte_rate: Bytes a second that a reader spends on the list; a
            large list is read less often than each period.
        list_readers: Routers of a region that read it that often.
        list_backstop: Between reads of the VM list by the others.
        unlisted_hold: Time that a router which answers is kept while the
            VM list does not show it.
        list_drop_share: Share of the VMs that may vanish from one read of
            the list to the next before the read is distrusted.
        report_period: Between load reports of an engine.
        report_rate: Load reports a second that this router polls at most.
        report_timeout: For one load report.
        report_failures: Reports in a row that fail before others check.
        report_pollers: Routers that poll each engine by default.
        draining_hold: Time that an engine is held as draining after the
            last sign of it.
        unreachable_hold: The same for an engine that nobody reaches.
        observers: Routers that must fail on an upstream, each by itself,
            before those that did not try hold it back.
        ejection: When upstreams are ejected and damped.
    """

    probe_period: float = 0.5
    probe_timeout: float = 0.4
    indirect_timeout: float = 0.8
    indirect_probes: int = 3
    suspicion: float = 2.0
    fanout: int = 5
    spread_delay: float = 0.02
    piggyback_bytes: int = 512
    list_period: float = 2.0
    list_byte_rate: float = 8192.0
    list_readers: int = 3
    list_backstop: float = 60.0
    unlisted_hold: float = 60.0
    list_drop_share: float = 0.5
    report_period: float = 1.0
    report_rate: float = 10.0
    report_timeout: float = 1.0
    report_failures: int = 2
    report_pollers: int = 2
    draining_hold: float = 20.0
    unreachable_hold: float = 6.0
    observers: int = 2
    ejection: ejection.EjectionSettings = attrs.field(
        factory=ejection.EjectionSettings
    )
