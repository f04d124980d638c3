"""Makes adapters, policies and limits from a router's settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.coordination import admission as admission_module
from lavenderbend.coordination import dispatch
from lavenderbend.coordination import membership as membership_module
from lavenderbend.coordination import retries
from lavenderbend.coordination.claims import claims as claims_module
from lavenderbend.coordination.claims import commit_queue
from lavenderbend.coordination.orders import orders as orders_module
from lavenderbend.protocol import http_limits
from lavenderbend.state import settings as settings_module
from lavenderbend.transport import key_value_etcd  # noqa: F401 - registers itself
from lavenderbend.transport import key_values
from lavenderbend.transport import links
from lavenderbend.transport import peer_frames  # noqa: F401 - registers itself
from lavenderbend.transport import tls
from lavenderbend.transport import vm_list_http  # noqa: F401 - registers itself
from lavenderbend.transport import vm_lists

if TYPE_CHECKING:
    import random

    from lavenderbend.coordination import interfaces

ROUTER_SERVICE = 'router'
PERCENT = 100


def make_store(
    settings: settings_module.KeyValueSettings, rng: random.Random
) -> interfaces.KeyValueStore:
    """Returns the client of the key-value service."""
    adapter = key_values.KEY_VALUE_STORES.get(settings.adapter)
    return adapter(settings.endpoints, settings.timeout_seconds, rng)


def make_link(settings: settings_module.RouterSettings) -> links.BatchLink:
    """Returns the message link to other routers.

    Raises:
        PeerTlsRequired: The address is not a loopback address and TLS is
            not configured.
        TlsFilesInvalid: A TLS certificate or key file is unusable.
    """
    peers = settings.peers
    context = None
    if peers.tls is not None:
        context = tls.PeerTls(
            peers.tls.certificate, peers.tls.key, peers.tls.ca
        )
    cls = links.LINKS.get(peers.link.value)
    return cls(
        settings.id,
        peers.host,
        peers.port,
        context,
        allow_plain=peers.allow_plain_beyond_loopback,
    )


def make_vm_list(settings: settings_module.VmListSettings) -> interfaces.VmList:
    """Returns the client that reads the VM list."""
    cls = vm_lists.VM_LISTS.get(settings.adapter.value)
    if settings.adapter is settings_module.VmListKind.STATIC:
        return cls(settings.vms)
    return cls(settings.url, settings.timeout_seconds)


def membership_settings(
    settings: settings_module.VmListSettings,
) -> membership_module.MembershipSettings:
    """Returns the settings of membership."""
    return membership_module.MembershipSettings(
        list_period=settings.interval_seconds
    )


def caller_limits(
    settings: settings_module.CallerSettings,
) -> http_limits.HttpLimits:
    """Returns the limits that bound the memory used by caller connections."""
    return http_limits.HttpLimits(
        header_bytes=settings.max_header_bytes,
        body_bytes=settings.max_body_bytes,
        idle_seconds=settings.idle_seconds,
        connections=settings.max_connections,
        held_bytes=settings.max_held_bytes,
    )


def admission_settings(
    settings: settings_module.AdmissionSettings,
) -> admission_module.AdmissionSettings:
    """Returns the settings of admission."""
    return admission_module.AdmissionSettings(chats=settings.chats)


def claim_policy(
    settings: settings_module.ClaimSettings,
) -> claims_module.ClaimPolicy:
    """Returns the policy for storing claims."""
    return claims_module.ClaimPolicy(
        shards=settings.shards,
        retention=settings.retention_seconds,
        shard=commit_queue.ShardPolicy(
            batch_interval=settings.write_gap_seconds
        ),
    )


def order_policy(
    settings: settings_module.OrderSettings,
) -> orders_module.OrderPolicy:
    """Returns the policy for sending orders to engines."""
    return orders_module.OrderPolicy(
        interval=settings.interval_seconds,
        loads_at_once=settings.loads_at_once,
        load_interval=settings.load_gap_seconds,
        unavailable=settings.unavailable / PERCENT,
        settle_seconds=settings.settle_seconds,
        bake_seconds=settings.bake_seconds,
        engine_read_seconds=settings.engine_read_seconds,
    )


def answer_limits(
    settings: settings_module.AnswerSettings,
) -> http_limits.AnswerLimits:
    """Returns the limits on responses from upstreams."""
    return http_limits.AnswerLimits(
        event_bytes=settings.max_event_bytes,
        answer_bytes=settings.max_whole_bytes,
        stall_seconds=settings.stall_seconds,
    )


def dispatch_settings(
    settings: settings_module.RouterSettings,
) -> dispatch.DispatchSettings:
    """Returns the timeouts and size limits of the request path."""
    answers = settings.answers
    attempts = settings.attempts
    return dispatch.DispatchSettings(
        answers=answer_limits(answers),
        held_bytes=answers.held_bytes,
        retries=retries.RetrySettings(share=attempts.retry_share / PERCENT),
        retry_after_seconds=attempts.retry_after_seconds,
        answer_ids_contain_request_id=answers.named_by_request,
        require_idempotency_key=attempts.require_idempotency_key,
    )
