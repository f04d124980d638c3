"""Tests that encodings stay compatible with other builds of the router."""

from __future__ import annotations

import attrs
import pytest

from lavenderbend import errors
from lavenderbend.coordination.orders import rollout_records
from lavenderbend.protocol import messages_agreed
from lavenderbend.protocol import messages_decisions
from lavenderbend.protocol import messages_forwarding
from lavenderbend.protocol import messages_membership
from lavenderbend.protocol import peer
from lavenderbend.protocol import records_claims
from lavenderbend.protocol import records_configuration
from lavenderbend.state import claims
from lavenderbend.state import documents
from lavenderbend.state import orders

MESSAGES = [
    (
        peer.Failure(kind='text1', detail='text2', retry_after=3.5),
        '9401a57465787431a57465787432cb400c000000000000',
    ),
    (peer.Done(), '9102'),
    (
        messages_agreed.RevisionNotice(number=1, digest='text2'),
        '931401a57465787432',
    ),
    (
        messages_agreed.RevisionRequest(number=1, digest='text2'),
        '931501a57465787432',
    ),
    (messages_agreed.EntriesRequest(after=1), '921601'),
    (
        messages_agreed.EntriesReply(
            first=1, records=[b'bytes2'], snapshot=b'bytes3'
        ),
        '94170191c406627974657332c406627974657333',
    ),
    (
        messages_agreed.ClaimCommitRequest(
            shard=1,
            key=b'bytes2',
            token=b'bytes3',
            digest=b'bytes4',
            timeout_seconds=5.5,
            shards=6,
        ),
        '971e01c406627974657332c406627974657333c406627974657334cb401600000000000006',
    ),
    (
        messages_agreed.ClaimReply(state='text1', outcome='text2', status=3),
        '941fa57465787431a5746578743203',
    ),
    (
        messages_agreed.OutcomesCommitRequest(
            shard=1,
            keys=[b'bytes2'],
            tokens=[b'bytes3'],
            outcomes=['text4'],
            statuses=[5, 105],
            timeout_seconds=6.5,
        ),
        '97200191c40662797465733291c40662797465733391a57465787434920569cb401a000000000000',
    ),
    (messages_agreed.OutcomesReply(committed=True), '9221c3'),
    (
        messages_agreed.ClaimLookup(
            shard=1, key=b'bytes2', token=b'bytes3', digest=b'bytes4'
        ),
        '952201c406627974657332c406627974657333c406627974657334',
    ),
    (
        messages_decisions.PermitRequest(
            number=1,
            pool=2,
            group=3,
            customer=4,
            chat=5,
            model=6,
            adapter=7,
            priority=8,
            prompt_tokens=9,
            milliseconds_left=10,
            hold_milliseconds=11,
            avoid=[12, 112],
            hops=13,
            suspect=True,
            held_permits=15,
        ),
        'dc0010320102030405060708090a0b920c700dc30f',
    ),
    (
        messages_decisions.PermitGrant(
            upstream=1, reason=2, passed_over=[3, 103]
        ),
        '94330102920367',
    ),
    (messages_decisions.PermitQueued(), '9134'),
    (
        messages_decisions.PermitRelease(numbers=[1, 101], unused=True),
        '9335920165c3',
    ),
    (
        messages_decisions.PermitRegister(
            pool=1,
            group=2,
            numbers=[3, 103],
            upstreams=[4, 104],
            ages=[5, 105],
            customers=[6, 106],
        ),
        '9736010292036792046892056992066a',
    ),
    (messages_decisions.PermitOwnerChanged(pool=1, group=2), '93370102'),
    (
        messages_decisions.PermitDigest(
            pools=[1, 101], groups=[2, 102], counts=[3, 103], digests=[4, 104]
        ),
        '9538920165920266920367920468',
    ),
    (messages_decisions.PermitResync(pool=1, group=2), '93390102'),
    (messages_decisions.PermitRedirect(group=1), '923a01'),
    (
        messages_decisions.ReplicatedPlaces(
            pool=1,
            group=2,
            upstreams=[3, 103],
            instances=[4, 104],
            chats=[5, 105],
            indices=[6, 106],
        ),
        '973b010292036792046892056992066a',
    ),
    (
        messages_decisions.CrashNotice(
            upstream=1, instance=2, fingerprints=[3, 103], fresh=[4, 104]
        ),
        '953c0102920367920468',
    ),
    (messages_decisions.Quarantined(fingerprint=1, seconds=2), '933d0102'),
    (messages_decisions.SuspectCleared(fingerprints=[1, 101]), '923e920165'),
    (
        messages_decisions.GroupTotals(
            pool=1, groups=[2, 102], loads=[3, 103], engines=[4, 104]
        ),
        '953f01920266920367920468',
    ),
    (
        messages_decisions.PermitPoll(
            number=1, pool=2, group=3, hold_milliseconds=4
        ),
        '954001020304',
    ),
    (
        messages_decisions.CustomerDemand(
            customers=[1, 101],
            rates=[2, 102],
            deficits=[3, 103],
            held_tokens=[4, 104],
        ),
        '9541920165920266920367920468',
    ),
    (
        messages_decisions.CustomerShare(
            customers=[1, 101], rates=[2, 102], tokens=[3, 103]
        ),
        '9442920165920266920367',
    ),
    (
        messages_membership.Hello(router='text1', version=2, instance=3),
        '9450a574657874310203',
    ),
    (messages_membership.Goodbye(final=True), '9251c3'),
    (messages_membership.Ping(updates=['text1', 1]), '925292a5746578743101'),
    (messages_membership.Ack(updates=['text1', 1]), '925392a5746578743101'),
    (
        messages_membership.IndirectPing(target='text1', updates=['text2', 2]),
        '9354a5746578743192a5746578743202',
    ),
    (
        messages_membership.RouterUpdate(
            router='text1',
            state=2,
            incarnation=3,
            host='text4',
            port=5,
            availability_zone='text6',
            region='text7',
        ),
        '9855a574657874310203a5746578743405a57465787436a57465787437',
    ),
    (
        messages_membership.UpstreamFact(
            upstream='text1',
            kind=2,
            observer='text3',
            sequence=4,
            seconds=5.5,
            instance='text6',
        ),
        '9756a5746578743102a5746578743304cb4016000000000000a57465787436',
    ),
    (
        messages_membership.VmChange(
            vm='text1',
            state=2,
            host='text3',
            port=4,
            availability_zone='text5',
            region='text6',
            service='text7',
            kind='text8',
        ),
        '9957a5746578743102a5746578743304a57465787435a57465787436a57465787437a57465787438',
    ),
    (messages_membership.Updates(updates=['text1', 1]), '925892a5746578743101'),
    (
        messages_membership.SyncRequest(
            updates=['text1', 1], include_vm_list=True
        ),
        '935992a5746578743101c3',
    ),
    (
        messages_membership.SyncReply(updates=['text1', 1]),
        '925a92a5746578743101',
    ),
    (messages_membership.UpstreamProbe(upstream='text1'), '925ba57465787431'),
    (
        messages_forwarding.SnapshotContent(
            revision=1,
            changed=[['key', 4, b'value']],
            keys=['text3'],
            removed=['text4'],
            digest=5,
        ),
        '9665019193a36b657904c40576616c756591a5746578743391a5746578743405',
    ),
    (messages_forwarding.SnapshotRequest(known_revision=1), '926701'),
    (
        messages_forwarding.RouterState(
            name='text1',
            incarnation=2,
            host='text3',
            zone='text4',
            leaving=True,
            reply_requested=True,
            sent_at=7.5,
            echo_incarnation=8,
            echo_at=9.5,
            echo_delay=10.5,
            proof_age=11.5,
            revision=12,
            digest=13,
            peak_routers=14,
            zones=[['zone', 2, 3]],
            facts=[['router', 'kind', 'text', 4, 5]],
            same_zone_hosts=b'bytes17',
            reports=b'bytes18',
            requests=b'bytes19',
            other_zone_hosts=[['host', b'rows']],
            prompts=b'bytes21',
        ),
        'dc001668a5746578743102a57465787433a57465787434c3c3cb401e00000000000008cb4023000000000000cb4025000000000000cb40270000000000000c0d0e9193a47a6f6e6502039195a6726f75746572a46b696e64a4746578740405c40762797465733137c40762797465733138c407627974657331399192a4686f7374c404726f7773c40762797465733231',
    ),
    (
        messages_forwarding.ReservationRequest(
            number=1,
            host='text2',
            upstream=3,
            zone='text4',
            chat=5,
            tokens=6,
            own_tokens=7,
            lifetime_milliseconds=8,
            forwarded=True,
        ),
        '9a6e01a5746578743203a5746578743405060708c3',
    ),
    (
        messages_forwarding.ReservationReply(
            number=1,
            owner='text2',
            upstream=3,
            load=4,
            unread_tokens=5,
            holders=[6, 106],
        ),
        '976f01a5746578743203040592066a',
    ),
    (
        messages_forwarding.ReservationNotes(
            host='text1', rows=[[1, 2, 3, 4, 5]]
        ),
        '9370a5746578743191950102030405',
    ),
    (
        messages_forwarding.ColdStartRequest(
            number=1, host='text2', upstream=3, zone='text4', forwarded=False
        ),
        '967101a5746578743203a57465787434c2',
    ),
    (
        messages_forwarding.ColdStartReply(
            number=1,
            owner='text2',
            upstream=3,
            permitted=True,
            wait_milliseconds=5,
        ),
        '967201a5746578743203c305',
    ),
    (
        messages_forwarding.RateShareRequest(
            host='text1',
            incarnation=2,
            asked_at=3.5,
            routers=4,
            upstreams=[5, 105],
        ),
        '9673a5746578743102cb400c00000000000004920569',
    ),
    (
        messages_forwarding.RateShareReply(
            host='text1',
            incarnation=2,
            asked_at=3.5,
            routers=4,
            upstreams=[5, 105],
        ),
        '9674a5746578743102cb400c00000000000004920569',
    ),
    (
        messages_forwarding.RelayRequest(instance='text1'),
        '9275a57465787431',
    ),
    (messages_forwarding.RelayReply(outcome=1), '927601'),
    (
        messages_forwarding.StreamsBegun(
            rows=[[2**64 - 1, 2, 3]], forwarded=True
        ),
        '93779193cfffffffffffffffff0203c3',
    ),
    (
        messages_forwarding.StreamQuestion(
            number=1, host='text2', stream=3, forwarded=True
        ),
        '957801a5746578743203c3',
    ),
    (
        messages_forwarding.StreamReply(number=1, software_id=2),
        '93790102',
    ),
    (
        messages_forwarding.CrashReports(
            rows=[[2**64 - 1, 2, 3], [4, 5, 6, 7]], forwarded=True
        ),
        '937a9293cfffffffffffffffff02039404050607c3',
    ),
    (
        messages_forwarding.StreamNotTold(number=1, host='text2', zone='text3'),
        '947b01a57465787432a57465787433',
    ),
]

BATCH = claims.Batch(
    id=b'batch',
    at=12.5,
    claims=(
        claims.ClaimLine(
            key=b'k' * claims.KEY_BYTES,
            token=b't' * claims.TOKEN_BYTES,
            digest=b'd' * claims.DIGEST_BYTES,
            entry='router-1',
        ),
    ),
    outcomes=(
        claims.OutcomeLine(
            key=b'K' * claims.KEY_BYTES,
            token=b'T' * claims.TOKEN_BYTES,
            outcome=errors.Outcome.FAILED,
            status=502,
        ),
    ),
)
RECORD = records_configuration.Record(
    id=b'change',
    author='ana',
    reason='why',
    accepted_at=12.5,
    digest='digest',
    splices=(
        documents.Splice(section='rules', first=1, last=2, items=(b'item',)),
    ),
)
REVISION = records_configuration.StoredRevision(
    number=0,
    document=documents.EMPTY,
    author='ana',
    reason='why',
    accepted_at=12.5,
)
TARGET = orders.Target(
    model='model', version='v1', adapters=('adapter',), role='serve'
)
BATCH_BYTES = (
    '98c4056261746368cb402900000000000091a8726f757465722d31c4206b6b6b6b6b6b'
    '6b6b6b6b6b6b6b6b6b6b747474747474747464646464646464649100c4184b4b4b4b4b'
    '4b4b4b4b4b4b4b4b4b4b4b5454545454545454910291cd01f6'
)
RECORD_BYTES = (
    '7096c4066368616e6765a3616e61a3776879cb4029000000000000a664696765737491'
    '94a572756c6573010291c4046974656d'
)
REVISION_BYTES = (
    '9600c40b789c9b32010800088902d5d940653632356566323937613861663666346533'
    '6561663765376566653930313432323130363439646531323236303032396235663435'
    '6161303532353139376661a3616e61a3776879cb4029000000000000'
)
MEMORY_TEXT = (
    '{"good": {"model": {"model": "model", "version": "v1", "adapters": ["a'
    'dapter"], "role": "serve"}}, "bad": {"model": {"model": "model", "vers'
    'ion": "v1", "adapters": ["adapter"], "role": "serve"}}, "failures": {"'
    'model": {"target": {"model": "model", "version": "v1", "adapters": ["a'
    'dapter"], "role": "serve"}, "count": 1}}}'
)


@pytest.mark.parametrize(
    ('message', 'data'),
    [pytest.param(*row, id=str(row[0].tag)) for row in MESSAGES],
)
def test_message_has_the_bytes_of_earlier_builds(message, data):
    # Routers of two builds communicate during a rolling restart.
    assert peer.encode(message).hex() == data
    assert peer.decode(bytes.fromhex(data)) == message


@pytest.mark.parametrize(
    ('tag', 'field', 'value'),
    [
        (104, 'upstreams_lost', True),
        (104, 'draws_versions', True),
        (110, 'max_load', 3),
        (120, 'only', 3),
    ],
)
def test_field_that_earlier_builds_lack_is_sent_only_if_it_is_used(
    tag, field, value
):
    # Earlier builds ignore it, and messages from them have its default.
    # Fields before it that were added later too are sent with it.
    (unused,) = [message for message, _ in MESSAGES if message.tag == tag]
    used = attrs.evolve(unused, **{field: value})
    assert peer.decode(peer.encode(used)) == used
    earlier = [False] if field == 'draws_versions' else []
    assert peer.to_wire(used) == [*peer.to_wire(unused), *earlier, value]


def test_each_message_has_a_sample():
    # Other tests register messages of their own.
    tags = [
        tag
        for tag, cls in peer.MESSAGES.items()
        if cls.__module__.startswith('lavenderbend.')
    ]
    assert sorted(tags) == [message.tag for message, _ in MESSAGES]


def test_claims_have_the_bytes_of_earlier_builds():
    # If a newer build cannot decode a claim, the request could run twice.
    assert records_claims.encode(BATCH).hex() == BATCH_BYTES
    assert records_claims.decode(bytes.fromhex(BATCH_BYTES)) == BATCH


def test_configuration_has_the_bytes_of_earlier_builds():
    # A router that cannot decode the log keeps an outdated configuration.
    assert records_configuration.encode(RECORD).hex() == RECORD_BYTES
    assert records_configuration.decode(bytes.fromhex(RECORD_BYTES)) == RECORD
    assert (
        records_configuration.encode_revision(REVISION).hex() == REVISION_BYTES
    )
    assert (
        records_configuration.decode_revision(bytes.fromhex(REVISION_BYTES))
        == REVISION
    )


def test_rollout_records_have_the_text_of_earlier_builds():
    # A controller that cannot decode it tries failed versions again.
    store = rollout_records.RolloutRecords(None, 'key')
    store.note_good(TARGET)
    store.note_bad(TARGET)
    store.note_failure(TARGET)
    assert store.encode().decode() == MEMORY_TEXT
