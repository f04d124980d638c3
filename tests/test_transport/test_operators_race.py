from __future__ import annotations

import re

import attrs
import orjson
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
import trio

from lavenderbend.coordination.configuration import log as configuration_log
from lavenderbend.standin import key_value
from tests import operator_fakes

scenarios('../roots/test-rules-race/race.feature')


@attrs.define
class Race:
    """The interface, and per operator the revision seen and last answer."""

    fakes: operator_fakes.OperatorFakes
    seen: dict[str, int] = attrs.field(factory=dict)
    answers: dict[str, tuple[int, dict]] = attrs.field(factory=dict)

    def call(self, method, path, body=b''):
        async def run():
            client = self.fakes.operators.app.test_client()
            response = await client.open(
                path,
                method=method,
                data=body,
                headers={'authorization': f'Bearer {operator_fakes.SECRET}'},
            )
            text = await response.get_data()
            return response.status_code, orjson.loads(text)

        return trio.run(run)

    def apply(self, name, text):
        path = f'/v1/rules/apply?seen={self.seen.get(name, 1)}&author={name}'
        self.answers[name] = self.call('POST', path, text.encode())


@pytest.fixture
def race():
    fakes = operator_fakes.make(accept_rules=False)
    log = configuration_log.ConfigurationLog(key_value.MemoryStore())
    fakes.operators.configuration_log = log
    fakes.configurations.chain = log.chain
    return Race(fakes)


@given('the rules are in force as revision 1')
def first_revision(race):
    race.seen['Ana'] = 0
    race.apply('Ana', operator_fakes.RULES)
    assert race.answers['Ana'][0] == 200
    race.seen['Ana'] = 1


@given('Ana and Eva have both seen revision 1')
def both_have_seen(race):
    race.seen = {'Ana': 1, 'Eva': 1}


@when(parsers.parse('{name} gives alerts {timeout} and applies'))
def applies(race, name, timeout):
    text = operator_fakes.RULES.replace('timeout: 2s', f'timeout: {timeout}')
    race.apply(name, text)


@when(parsers.parse('{name} looks again'))
def looks(race, name):
    race.seen[name] = race.call('GET', '/v1/rules')[1]['number']


@then(parsers.parse('{name} has revision {number:d} accepted'))
def accepted(race, name, number):
    status, answer = race.answers[name]

    assert status == 200
    assert answer['number'] == number
    assert answer['author'] == name


@then(parsers.parse('{name} gets a conflict that names "{line}"'))
def conflict(race, name, line):
    status, answer = race.answers[name]

    assert status == 409
    assert answer['difference'] == [line]


@then(parsers.parse('alerts have {timeout}'))
def in_force(race, timeout):
    text = race.call('GET', '/v1/rules')[1]['document']

    assert re.search(r'timeout: (\S+)', text)[1] == timeout


@then(parsers.parse('the history names {names}'))
def history(race, names):
    lines = race.call('GET', '/v1/rules/history')[1]

    assert [line['author'] for line in lines] == names.split(', ')
