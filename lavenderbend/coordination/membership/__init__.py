"""Which routers answer and which upstreams may get new work."""

from lavenderbend.coordination.membership.fleet import FleetMembership
from lavenderbend.coordination.membership.settings import MembershipSettings

__all__ = ['FleetMembership', 'MembershipSettings']
