"""An operators' interface over in-memory fakes of a router's components."""

from __future__ import annotations

import hashlib

import attrs

from lavenderbend import errors
from lavenderbend.coordination import interfaces
from lavenderbend.coordination.configuration import log as configuration_log
from lavenderbend.coordination.rules import rules
from lavenderbend.protocol import documents_yaml
from lavenderbend.state import configuration
from lavenderbend.state import decisions
from lavenderbend.state import settings
from lavenderbend.state import upstreams
from lavenderbend.transport import operators

SECRET = 'operator-secret'
SALTED = '00ff00ff$' + hashlib.sha256(f'00ff00ff{SECRET}'.encode()).hexdigest()
RULES = """
rules:
  - name: alerts
    when: {method: [GET], path: [/mailbox/alerts]}
    then: {pool: mailbox, priority: instant, timeout: 2s}
  - name: chats
    when: {path: [/v1/*], model: [assistant]}
    then: {pool: assistant}
pools:
  - {name: assistant, service: assistant, max_load: 10}
  - {name: mailbox, service: mailbox, kind: service}
customers:
  - {name: clinica}
"""


class FakeMembership(interfaces.Membership):
    """Fixed routers, upstreams and reports."""

    def __init__(self) -> None:
        self.loads = {'engine-1': 1, 'engine-2': 9}

    def routers(self):
        return ('router-1', 'router-2')

    def upstreams(self, service):
        kind = upstreams.UpstreamKind.ENGINE
        if service != 'assistant':
            return ()
        return tuple(
            upstreams.Vm(vm, '127.0.0.1', 9, 'sala-a', service, kind)
            for vm in self.loads
        )

    def all_vms(self):
        kind = upstreams.UpstreamKind.ROUTER
        routers = tuple(
            upstreams.Vm(name, '127.0.0.1', 9, 'sala-a', 'router', kind)
            for name in self.routers()
        )
        leaving = upstreams.Vm(
            'engine-3',
            '127.0.0.1',
            9,
            'sala-a',
            'assistant',
            upstreams.UpstreamKind.ENGINE,
        )
        return (*self.upstreams('assistant'), leaving, *routers)

    def explain(self, upstream_id):
        if upstream_id in self.loads:
            return 'candidate'
        return 'leaving in the VM list'

    def router_state(self, router_id):
        return 'alive'

    def report(self, upstream):
        load = self.loads.get(upstream)
        if load is None:
            return None
        return upstreams.LoadReport(
            upstream, 'i', load, 0, models=('assistant',)
        )

    def report_at(self, upstream):
        return 0.0

    async def wait_changed(self):
        raise NotImplementedError


class FakeConfigurations(interfaces.Configurations):
    """Revisions in a list; replaces both the log and its follower."""

    def __init__(self) -> None:
        self.revisions: list[configuration.Revision] = []
        self.missing: tuple[str, ...] = ()
        self.chain = self
        self.stale_seconds: float | None = None

    def add(self, document, author='ana', reason='first'):
        number = len(self.revisions) + 1
        self.revisions.append(
            configuration.Revision(
                number, f'digest-{number}', document, author, reason, 1e9
            )
        )
        return self.revisions[-1]

    def current(self):
        if not self.revisions:
            raise errors.NoConfiguration('none yet')
        return self.revisions[-1]

    async def wait_beyond(self, number):
        raise NotImplementedError

    def in_force(self):
        number = len(self.revisions)
        lag = dict.fromkeys(self.missing, number - 1)
        return {'router-1': number, 'router-2': number, **lag}

    async def wait_in_force(self, number, timeout):
        return self.missing

    async def accept(self, document, seen, author, reason):
        if seen != len(self.revisions):
            raise errors.ConfigurationConflict(
                seen, len(self.revisions), ('rules: alerts changed',)
            )
        return self.add(document, author, reason)

    async def history(self, limit=100):
        return tuple(
            configuration_log.HistoryEntry(
                r.number, r.author, r.reason, r.accepted_at, r.digest
            )
            for r in self.revisions[-limit:]
        )


@attrs.frozen
class OperatorFakes:
    """An operators' interface and the fakes that it was created with."""

    operators: operators.OperatorApp
    configurations: FakeConfigurations
    membership: FakeMembership
    decisions: decisions.DecisionStore
    rules: rules.RuleSet


def make(accept_rules: bool = True) -> OperatorFakes:
    """Returns an operators' interface over fakes."""
    router_settings = settings.RouterSettings(
        id='router-1',
        availability_zone='sala-a',
        key_value=settings.KeyValueSettings(('http://127.0.0.1:1',)),
        operators=settings.OperatorSettings(SALTED),
    )
    configurations = FakeConfigurations()
    if accept_rules:
        document = documents_yaml.parse_configuration(RULES, 'rules')
        configurations.add(document)
    membership = FakeMembership()
    store = decisions.DecisionStore(100)
    rule_set = rules.RuleSet()
    app = operators.OperatorApp(
        'router-1',
        configurations,
        configurations,
        membership,
        store,
        None,
        None,
        rule_set,
        router_settings,
    )
    return OperatorFakes(app, configurations, membership, store, rule_set)


def decision(number: int, **fields: object) -> decisions.Decision:
    """Returns a finished decision."""
    values = {
        'customer': 'clinica',
        'method': 'POST',
        'path': '/v1/chat/completions',
        'model': 'assistant',
        'chat': f'{number:016x}',
        'revision': 1,
        'rule': 'chats',
        'pool': 'assistant',
        'priority': 'normal',
        'outcome': 'complete',
        'at': 1e9,
        'duration': 0.25,
        'attempts': [
            decisions.Attempt(
                'engine-1',
                owner='router-2',
                permit='p1',
                reason='held chat',
                passed_over=(decisions.PassedOver('engine-2', 'over bound'),),
                first_byte=0.01,
                finished=0.25,
                result='complete',
            )
        ],
        **fields,
    }
    return decisions.Decision(f'decision-{number}', **values)
