from __future__ import annotations

import pathlib

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from lavenderbend import errors
from lavenderbend.coordination.rules import checks as rule_checks
from lavenderbend.coordination.rules import differences as rule_differences
from lavenderbend.coordination.rules import rules
from lavenderbend.protocol import documents_yaml
from lavenderbend.state import configuration
from lavenderbend.state import decisions
from lavenderbend.state import requests

ROOTS = pathlib.Path(__file__).parents[1] / 'roots'
EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


def load(name):
    document = documents_yaml.load_configuration(EXAMPLES / name / 'rules.yaml')
    return configuration.Revision(1, name, document)


def revision(*items, number=1):
    document = configuration.Configuration(rules=items)
    return configuration.Revision(number, f'd{number}', document)


def rule(name, pool='p', **when):
    return configuration.Rule(
        name, configuration.Then(pool=pool), configuration.When(**when)
    )


def request(**fields):
    values = {
        'id': 'r1',
        'customer': 'clinica-del-norte',
        'method': 'POST',
        'path': '/v1/chat/completions',
        'headers': {},
        'body': b'',
        'arrived': 0.0,
        'model': 'assistant',
        'chat_key': 'chat-1',
        **fields,
    }
    return requests.Request(**values)


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({}, 'clinics'),
        ({'customer': 'corte-santiago'}, 'summaries-and-drafts'),
        ({'headers': {'x-task': 'sorting'}}, 'sorting'),
        ({'method': 'GET', 'path': '/alerts/7?x=1'}, 'full-mailbox-alerts'),
        ({'path': '/alerts/7'}, None),
        ({'path': '/replies'}, 'replies-to-citizens'),
        ({'path': '/export/all'}, 'bulk-export-closed'),
        ({'model': 'other'}, None),
    ],
)
def test_first_match_of_the_example(fields, expected):
    matched = rules.RuleSet().match(load('correo'), request(**fields))

    assert (matched.name if matched else None) == expected


def test_first_matching_rule_is_chosen():
    first = rule('first', path=('/v1/*',))
    second = rule('second')

    first_match = rules.RuleSet().match(revision(first, second), request())
    second_match = rules.RuleSet().match(revision(second, first), request())

    assert (first_match.name, second_match.name) == ('first', 'second')


@pytest.mark.parametrize(
    ('when', 'matches'),
    [
        ({'method': ('post',)}, False),
        ({'method': ('POST',)}, True),
        ({'path': ('/v1/chat',)}, False),
        ({'path': ('/v1/chat*',)}, True),
        ({'path': ('*',)}, True),
        ({'header': {'x-a': '*'}}, True),
        ({'header': {'x-a': '2'}}, False),
        ({'header': {'x-b': '*'}}, False),
        ({'availability_zone': ('sala-a',)}, True),
        ({'availability_zone': ('sala-b',)}, False),
        ({'priority': ('high',)}, True),
        ({'adapter': ('legal',)}, False),
        ({'model': ('a', 'assistant'), 'customer': ('clinica-*',)}, True),
    ],
)
def test_conditions(when, matches):
    tested_request = request(
        headers={'x-a': '1', 'x-priority': 'high'}, availability_zone='sala-a'
    )

    matched = rules.RuleSet().match(revision(rule('r', **when)), tested_request)

    assert (matched is not None) == matches


def test_share_matches_entire_chats_close_to_its_percentage():
    shared = revision(rule('tenth', share=10.0), rule('rest'))
    matched_chats = set()
    for chat in range(4000):
        names = {
            rules.RuleSet()
            .match(shared, request(id=f'{chat}-{turn}', chat_key=f'c{chat}'))
            .name
            for turn in range(2)
        }
        assert len(names) == 1
        if 'tenth' in names:
            matched_chats.add(chat)

    # 400 expected, standard deviation 19
    assert 320 < len(matched_chats) < 480


def test_equal_shares_of_two_rules_match_different_chats():
    first = revision(rule('a', share=50.0))
    second = revision(rule('b', share=50.0), number=2)
    both = 0
    for chat in range(1000):
        tested_request = request(chat_key=f'c{chat}')
        in_first = rules.RuleSet().match(first, tested_request)
        in_second = rules.RuleSet().match(second, tested_request)
        both += in_first is not None and in_second is not None

    assert 180 < both < 320


def test_hits_and_requests_without_a_rule_are_counted():
    rule_set = rules.RuleSet()
    current = revision(rule('a', method=('POST',)))

    rule_set.match(current, request())
    rule_set.match(current, request(method='GET'))

    assert rule_set.hits == {'a': 1}
    assert rule_set.unmatched == 1


def test_a_new_revision_is_compiled_and_old_ones_are_forgotten():
    rule_set = rules.RuleSet()
    for number in range(1, 20):
        current = revision(rule(f'r{number}'), number=number)
        assert rule_set.match(current, request()).name == f'r{number}'

    assert len(rule_set.compiled) <= rules.MAX_COMPILED_REVISIONS


TEXTS = st.sampled_from(['a', 'b', 'a*', 'ab', '*'])
PATHS = st.sampled_from(
    ['/a/*', '/a/b/*', '/a*', '/*', '/a', '/a/', '//*', '/b/c']
)
REQUEST_PATHS = ['/a', '/a/', '/a/b/c', '/ab', '/', '', '//', 'a/b', '/b/c']
WHENS = st.builds(
    configuration.When,
    customer=st.lists(TEXTS, max_size=2).map(tuple),
    model=st.lists(TEXTS, max_size=2).map(tuple),
    path=st.lists(PATHS, max_size=2).map(tuple),
    header=st.dictionaries(st.just('x-h'), TEXTS, max_size=1),
    share=st.sampled_from([100.0, 50.0, 0.0]),
)
# Documents cannot have these paths, but records of requests may.
UNROOTED = st.sampled_from(['*', 'a/*', 'a', ''])
UNROOTED_WHENS = st.builds(
    configuration.When, path=st.lists(UNROOTED, max_size=2).map(tuple)
)
REQUESTS = st.builds(
    request,
    customer=st.sampled_from(['a', 'b', 'ab', 'c']),
    model=st.sampled_from(['a', 'b', 'abc']),
    path=st.sampled_from(REQUEST_PATHS),
    headers=st.dictionaries(st.just('x-h'), st.sampled_from(['a', 'b', 'c'])),
    chat_key=st.text(max_size=3),
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(whens=st.lists(WHENS, min_size=1, max_size=4), asked=REQUESTS)
def test_a_rule_warned_about_never_matches_first(whens, asked):
    items = [
        configuration.Rule(f'r{n}', configuration.Then(pool='p'), when)
        for n, when in enumerate(whens)
    ]
    current = revision(*items)
    warned = {w.rule for w in rule_checks.warnings(current.document)}

    found = rules.RuleSet().match(current, asked)

    assert found is None or found.name not in warned


def test_rules_that_never_match_are_warned_about():
    document = documents_yaml.load_configuration(
        ROOTS / 'test-rules-shadowed' / 'rules.yaml'
    )

    warned = [warning.rule for warning in rule_checks.warnings(document)]

    assert warned == ['never-model', 'never-share', '']


def test_every_fault_of_rules_is_reported():
    # Faults of types are reported first, and inconsistencies only once there
    # are none: a document with wrong types cannot be checked as a whole.
    path = ROOTS / 'test-rules-wrong' / 'rules.yaml'
    with pytest.raises(errors.DocumentErrors) as caught:
        documents_yaml.load_configuration(path)
    keys = {fault.key for fault in caught.value.exceptions}
    text = path.read_text()
    for wrong, right in (
        ('110%', '10%'),
        ('timeout: 30', 'timeout: 30s'),
        ('limit: 20', 'limit: 20/s'),
        ('bound: 0.5', 'bound: 1.5'),
    ):
        text = text.replace(wrong, right)
    with pytest.raises(errors.DocumentErrors) as caught:
        documents_yaml.parse_configuration(text, 'rules')
    later = {fault.key for fault in caught.value.exceptions}

    assert keys == {
        'rules[0].when.share',
        'rules[0].then.timeout',
        'rules[2].then.limit',
        'pools[0].bound',
    }
    assert later == {
        'rules[0].when.customer[0]',
        'rules[0].when.method[0]',
        'rules[0].then.pool',
        'rules[1].name',
        'rules[1].then',
        'rules[2].then',
        'rules[2].when.header.X-Task',
        'customers[0].credentials[0]',
    }


def decision(**fields):
    values = {
        'customer': 'clinica-del-norte',
        'method': 'POST',
        'path': '/v1/chat/completions',
        'model': 'assistant',
        **fields,
    }
    return decisions.Decision('d1', **values)


def test_differences_name_the_fields_that_change():
    old = revision(rule('old', pool='a'))
    new = revision(rule('new', pool='b'), number=2)

    comparison = rule_differences.differences([decision()], old, new)

    assert comparison.compared == 1
    assert comparison.differences[0].changed == ('pool',)
    assert comparison.differences[0].new_rule == 'new'


def test_another_name_for_the_same_action_is_no_difference():
    old = revision(rule('old'))
    new = revision(rule('new'), number=2)

    assert not rule_differences.differences([decision()], old, new).differences


def test_a_header_that_was_not_recorded_makes_it_uncertain():
    old = revision(rule('all'))
    new = revision(
        rule('by-header', pool='b', header={'accept-language': 'es'}),
        rule('all'),
        number=2,
    )

    comparison = rule_differences.differences([decision()], old, new)

    assert comparison.uncertain == ('d1',)


def test_share_of_a_recorded_request_matches_as_the_request_did():
    shared = revision(rule('half', share=50.0), rule('rest'))
    for chat in range(50):
        tested_request = request(chat_key=f'c{chat}')
        matched = rules.RuleSet().match(shared, tested_request)
        recorded = decision(
            customer=tested_request.customer,
            chat=f'{rules.chat_hash(tested_request):016x}',
        )
        compiled = rules.CompiledRules(shared.document.rules)
        attributes = rules.attributes_of_decision(recorded)

        assert rule_differences.first_match(compiled, attributes)[0] is matched


def test_recorded_headers_are_bounded():
    headers = {f'x-{n}': 'v' for n in range(100)}
    headers |= {'x-long': 'v' * 1000, 'cookie': 'secret'}

    recorded = rules.recorded_headers(headers)

    assert len(recorded) == rules.MAX_RECORDED_HEADERS
    assert 'cookie' not in recorded
    assert 'x-long' not in recorded


NAMES = st.text(min_size=1, max_size=6)
THENS = st.builds(
    configuration.Then,
    pool=st.just('p'),
    priority=st.sampled_from(requests.Priority),
    timeout=st.floats(0.001, 86400),
    limit=st.floats(0, 1_000_000),
    model=st.none() | NAMES,
    idempotent=st.booleans(),
)
ODD_NAMES = NAMES | st.sampled_from(['no', '010', '1e5', 'null', '~', '1.0'])


@settings(max_examples=200, derandomize=True, deadline=None)
@given(then=THENS, when=WHENS, name=ODD_NAMES)
def test_what_is_shown_can_be_read_again(then, when, name):
    document = configuration.Configuration(
        rules=(
            configuration.Rule(name, then, attrs.evolve(when, customer=())),
        ),
        pools=(configuration.Pool('p', name),),
    )

    text = documents_yaml.dump_configuration(document)

    assert documents_yaml.parse_configuration(text, 'again') == document


BREAKS = ['\n', '\r', '\r\n', '\x85', '\u2028', '\u2029', '\ufeff', ' ', '\t']


@pytest.mark.parametrize('form', ['{}', '{}a', 'a{}', 'a{}{}b', 'a {} b'])
@pytest.mark.parametrize('character', BREAKS)
def test_line_breaks_in_what_is_shown_are_kept(character, form):
    # a next line (U+0085) in a name is folded when it is read again
    text = form.format(character, character)
    document = configuration.Configuration(
        rules=(
            configuration.Rule(
                text,
                configuration.Then(pool=text, model=text, adapter=text),
                configuration.When(
                    customer=(text,), path=(f'/{text}',), header={'x': text}
                ),
            ),
            configuration.Rule('last', configuration.Then(reject=text)),
        ),
        pools=(configuration.Pool(text, text),),
        customers=(configuration.Customer(text),),
        orders=(configuration.Order(text, text, text, 1, (text,)),),
    )

    shown = documents_yaml.dump_configuration(document)

    assert documents_yaml.parse_configuration(shown, 'again') == document


# all ranges between whose ends YAML treats characters alike
CHARACTERS = ''.join(map(chr, [*range(0x3100), *range(0xF000, 0x10100)]))


@pytest.mark.parametrize('form', ['{}', 'a{}b'])
def test_each_character_that_is_shown_can_be_read_again(form):
    # a character is shown that a parser refuses or changes
    names = tuple(form.format(character) for character in CHARACTERS)
    for start in range(0, len(names), 5000):
        adapters = names[start : start + 5000]
        document = configuration.Configuration(
            pools=(configuration.Pool('p', 's'),),
            orders=(configuration.Order('p', 'm', '1', 1, adapters),),
        )

        shown = documents_yaml.dump_configuration(document)

        assert documents_yaml.parse_configuration(shown, 'again') == document


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    whens=st.lists(st.one_of(WHENS, UNROOTED_WHENS), max_size=6),
    asked=REQUESTS,
)
def test_the_index_finds_what_a_scan_of_all_rules_finds(whens, asked):
    items = [
        configuration.Rule(f'r{n}', configuration.Then(pool='p'), when)
        for n, when in enumerate(whens)
    ]
    attributes = rules.attributes_of_request(asked)
    scanned = [r for r in items if rules.compile_rule(r).matches(attributes)]

    found = rules.CompiledRules(items).find(attributes)

    assert found == (scanned[0] if scanned else None)


def test_unlimited_customers_do_not_exhaust_memory():
    compiled = rules.CompiledRules([rule('r')])
    for number in range(3 * rules.MAX_CANDIDATE_LISTS):
        compiled.candidates(f'customer-{number}', f'/path-{number}/')

    assert len(compiled.candidate_lists) <= rules.MAX_CANDIDATE_LISTS


def test_named_customers_and_paths_are_bounded_together():
    # Guards against a table whose size is the product of customers and paths.
    items = [rule(f'c{n}', customer=(f'c{n}',)) for n in range(100)]
    items += [rule(f'p{n}', path=(f'/p{n}/*',)) for n in range(100)]
    compiled = rules.CompiledRules(items)
    for customer in range(100):
        for path in range(100):
            compiled.candidates(f'c{customer}', f'/p{path}/')
            assert len(compiled.candidate_lists) <= rules.MAX_CANDIDATE_LISTS


def test_unchanged_rules_are_not_compiled_again():
    # Guards against compiling all rules for each new revision, which blocks
    # the router for a time proportional to the number of rules.
    items = [rule(f'r{n}') for n in range(3)]
    earlier = rules.CompiledRules(items)
    changed = [items[2], attrs.evolve(items[0]), items[1]]
    later = rules.CompiledRules(changed, earlier)
    same = [any(new is old for old in earlier.rules) for new in later.rules]
    assert same == [True, False, True]
    assert [compiled.rule for compiled in later.rules] == changed
