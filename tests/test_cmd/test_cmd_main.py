from __future__ import annotations

import functools
import io
import json
import pathlib

import attrs
import pytest
import trio

import lavenderbend
from lavenderbend.cmd import base
from lavenderbend.cmd import exit_codes
from lavenderbend.cmd import main
from tests import operator_fakes

Code = exit_codes.ExitCode
ROOTS = pathlib.Path(__file__).parents[1] / 'roots'
EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
main.load_commands()


class Result:
    """Exit code and output of a command line."""

    def __init__(self, argv) -> None:
        self.out = io.StringIO()
        self.err = io.StringIO()
        output = base.Output(out=self.out, err=self.err)
        self.code = main.run([str(a) for a in argv], output)

    @property
    def text(self):
        return self.out.getvalue()

    @property
    def errors(self):
        return self.err.getvalue()

    @property
    def json(self):
        return json.loads(self.text)


def run(*argv):
    return Result(argv)


def test_help_names_every_command_and_exit_code():
    result = run('--help')

    assert result.code is Code.OK
    for name in base.COMMANDS:
        assert f'  {name} ' in result.text
    for code in Code:
        assert str(int(code)) in result.text


def test_all_commands_are_registered():
    main.load_commands()

    assert set(base.COMMANDS) >= {
        'router',
        'standin',
        'rules check',
        'rules apply',
        'rules show',
        'rules history',
        'rules diff',
        'explain',
        'decisions',
        'status',
        'demo',
        'load',
    }


def test_version():
    assert run('--version').text.strip() == lavenderbend.__version__


@pytest.mark.parametrize(
    'argv', [(), ('nothing',), ('rules',), ('router',), ('status', '--x')]
)
def test_invalid_command_lines_return_the_usage_code(argv):
    assert run(*argv).code is Code.USAGE


@pytest.mark.parametrize('name', list(base.COMMANDS))
def test_help_of_a_command(name):
    result = run(*name.split(), '--help')

    assert result.code is Code.OK
    assert f'lavenderbend {name}' in result.text


def test_rules_check_of_an_example():
    result = run('rules', 'check', EXAMPLES / 'correo' / 'rules.yaml')

    assert result.code is Code.OK
    assert '0 warnings' in result.text


def test_rules_check_reports_every_fault_with_its_line():
    path = ROOTS / 'test-rules-wrong' / 'rules.yaml'

    result = run('rules', 'check', path)

    assert result.code is Code.SETTINGS
    assert f'{path}:6: rules[0].when.share: ' in result.errors
    assert 'Traceback' not in result.errors
    assert len(result.errors.splitlines()) == 5


def test_rules_check_warns_and_strict_fails():
    path = ROOTS / 'test-rules-shadowed' / 'rules.yaml'

    relaxed = run('rules', 'check', path, '--json')
    strict = run('rules', 'check', path, '--strict')

    assert relaxed.code is Code.OK
    assert [w['rule'] for w in relaxed.json['warnings']] == [
        'never-model',
        'never-share',
        '',
    ]
    assert strict.code is Code.FAILED


def test_router_with_invalid_settings_does_not_start():
    path = ROOTS / 'test-settings-wrong' / 'settings.yaml'

    result = run('router', '--settings', path)

    assert result.code is Code.SETTINGS
    assert 'callers.port' in result.errors


def test_missing_credential_is_reported(monkeypatch):
    monkeypatch.delenv('LAVENDERBEND_CREDENTIAL', raising=False)

    assert run('status').code is Code.SETTINGS


def test_unreachable_router_is_reported(monkeypatch):
    monkeypatch.setenv('LAVENDERBEND_CREDENTIAL', 'x')

    result = run('status', '--router', 'http://127.0.0.1:1')

    assert result.code is Code.UNREACHABLE
    assert 'Traceback' not in result.errors


@pytest.fixture
async def router(nursery, monkeypatch):
    """An operators' interface on a socket and a function that calls it.

    The function runs a command line against the interface.
    """
    components = operator_fakes.make()
    port = await nursery.start(components.operators.serve, '127.0.0.1', 0)
    monkeypatch.setenv('LAVENDERBEND_CREDENTIAL', operator_fakes.SECRET)

    async def run_command(*argv):
        command_line = (*argv, '--router', f'http://127.0.0.1:{port}')
        return await trio.to_thread.run_sync(
            functools.partial(run, *command_line)
        )

    return components, run_command


async def test_status_of_a_router(router):
    _, run_command = router

    text = await run_command('status')
    document = await run_command('status', '--json')

    assert text.code is Code.OK
    assert 'engine-2' in text.text
    assert document.json['router'] == 'router-1'


async def test_wrong_credential_is_refused(router, monkeypatch):
    _, run_command = router
    monkeypatch.setenv('LAVENDERBEND_CREDENTIAL', 'wrong')

    assert (await run_command('status')).code is Code.REFUSED


async def test_decisions_are_listed_and_shown(router):
    components, run_command = router
    components.decisions.add(operator_fakes.decision(1))
    components.decisions.add(operator_fakes.decision(2, customer='corte'))

    listed = await run_command('decisions', '--customer', 'clinica')
    shown = await run_command('decisions', 'decision-1')
    unknown = await run_command('decisions', 'decision-9')

    assert 'decision-1' in listed.text
    assert 'decision-2' not in listed.text
    assert 'passed over engine-2: over bound' in shown.text
    assert unknown.code is Code.NOT_FOUND


async def test_explain_sends_nothing(router):
    components, run_command = router

    result = await run_command(
        'explain', '--customer', 'clinica', '--model', 'assistant'
    )

    assert result.code is Code.OK
    assert 'rule alerts: no, method' in result.text
    assert 'would be taken' in result.text
    assert not list(components.decisions)


async def test_apply_uses_the_revision_named_in_shown_rules(router, tmp_path):
    # Guards against a lost update: Ana edits revision 1 while Eva's change is
    # accepted. Ana's file names revision 1, so applying it must conflict
    # rather than undo Eva's change.
    components, run_command = router
    path = tmp_path / 'rules.yaml'
    path.write_text((await run_command('rules', 'show')).text)

    first = await run_command('rules', 'apply', path, '--author', 'eva')
    second = await run_command('rules', 'apply', path, '--author', 'ana')

    assert first.code is Code.OK
    assert second.code is Code.CONFLICT
    assert 'alerts changed' in second.errors
    assert len(components.configurations.revisions) == 2


@pytest.mark.parametrize('character', ['\x1b', '\x7f', '\n', '\x85', '\uffff'])
async def test_shown_rules_are_valid_after_any_reason(
    router, tmp_path, character
):
    # a control character in the reason made the shown rules invalid YAML
    components, run_command = router
    current = components.configurations.current()
    components.configurations.revisions.append(
        attrs.evolve(current, reason=f'a{character}b')
    )
    path = tmp_path / 'rules.yaml'
    path.write_text((await run_command('rules', 'show')).text)

    checked = run('rules', 'check', path)

    assert 'a b' in path.read_text().splitlines()[1]
    assert checked.code is Code.OK


async def test_apply_names_routers_without_the_revision(router, tmp_path):
    components, run_command = router
    components.configurations.missing = ('router-2',)
    path = tmp_path / 'rules.yaml'
    path.write_text(operator_fakes.RULES)

    result = await run_command('rules', 'apply', path)

    assert result.code is Code.NOT_IN_FORCE
    assert 'router-2' in result.text


async def test_history_and_diff(router, tmp_path):
    components, run_command = router
    components.decisions.add(operator_fakes.decision(1))
    path = tmp_path / 'rules.yaml'
    path.write_text(operator_fakes.RULES.replace('[assistant]', '[other]'))

    history = await run_command('rules', 'history', '--json')
    diff = await run_command('rules', 'diff', path)

    assert history.json[0]['author'] == 'ana'
    assert '1 of 1 decisions would go another way' in diff.text


def test_unknown_stand_in_is_reported():
    result = run('standin', 'nothing')

    assert result.code is Code.USAGE
    assert 'key-value' in result.errors


def test_invalid_settings_of_a_stand_in_are_reported(tmp_path):
    path = tmp_path / 'engine.yaml'
    path.write_text('step_second: 1\n')

    result = run('standin', 'engine', '--settings', path)

    assert result.code is Code.SETTINGS
    assert 'step_seconds' in result.errors


CUSTOMERS = EXAMPLES / 'correo' / 'customers.yaml'


@pytest.mark.parametrize(
    'line',
    [
        ('load', '--customers', CUSTOMERS, '--mix', 'no', 'http://127.0.0.1:1'),
        (
            *('load', '--customers', CUSTOMERS, '--mix', 'correo'),
            *('--surge', 'nobody', 'http://127.0.0.1:1'),
        ),
        (
            *('load', '--customers', CUSTOMERS, '--mix', 'correo'),
            *('--rate', '-1', 'http://127.0.0.1:1'),
        ),
        ('demo', '--deployment', 'none'),
        ('demo', '--seconds', 'x'),
        ('explain', '--customer', 'c', '--header', 'no-colon'),
    ],
)
def test_invalid_options_are_reported(line):
    result = run(*line)

    assert result.code is Code.SETTINGS
    assert 'Traceback' not in result.errors


def test_load_that_reaches_no_router_fails():
    result = run(
        *('load', '--customers', CUSTOMERS, '--mix', 'correo'),
        *('--seconds', '1', '--rate', '5', '--json', 'http://127.0.0.1:1'),
    )

    assert result.code is Code.FAILED
    assert result.json['refused'] == result.json['calls'] > 0
