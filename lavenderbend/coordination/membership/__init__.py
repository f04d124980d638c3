"""Membership: responsive routers and upstreams usable for new requests."""

from lavenderbend.coordination.membership.fleet import FleetMembership
from lavenderbend.coordination.membership.settings import MembershipSettings

__all__ = ['FleetMembership', 'MembershipSettings']
