"""The operators' interface, with a separate address and credential."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend.transport import operator_decisions
from lavenderbend.transport import operator_interface
from lavenderbend.transport import operator_routes
from lavenderbend.transport import operator_rules
from lavenderbend.transport import operator_status
from lavenderbend.transport import status_page

if TYPE_CHECKING:
    from lavenderbend.coordination import interfaces
    from lavenderbend.coordination import membership as membership_module
    from lavenderbend.coordination.configuration import (
        follower as configuration_follower,
    )
    from lavenderbend.coordination.configuration import (
        log as configuration_log_module,
    )
    from lavenderbend.coordination.rules import rules as rules_module
    from lavenderbend.state import decisions as decisions_module
    from lavenderbend.state import settings as settings_module

# modules that register their views on import
VIEWS = (operator_decisions, operator_rules, operator_status, status_page)


class OperatorApp(operator_interface.OperatorInterface):
    """The operators' interface of one router.

    Attributes:
        configurations: The revisions in force on this and other routers.
        configuration_log: Accepts new revisions.
        membership: Live routers and upstreams.
        decisions: The latest decisions.
        admission: Grants permits for upstreams.
        link: The link to the other routers.
        rules: Matches requests and counts hits.
    """

    def __init__(
        self,
        name: str,
        configurations: configuration_follower.ConfigurationFollower,
        configuration_log: configuration_log_module.ConfigurationLog,
        membership: membership_module.FleetMembership,
        decisions: decisions_module.DecisionStore,
        admission: interfaces.Admission,
        link: interfaces.PeerLink,
        rules: rules_module.RuleSet,
        settings: settings_module.RouterSettings,
    ) -> None:
        self.configurations = configurations
        self.configuration_log = configuration_log
        self.membership = membership
        self.decisions = decisions
        self.admission = admission
        self.link = link
        self.rules = rules
        super().__init__(name, settings, operator_routes.ROUTES)
