"""Non-idempotent requests, which run at most once."""

from __future__ import annotations

import trio

from lavenderbend import errors
from tests import path_fakes

KEY = {'idempotency-key': 'reply-1'}


async def post(path, content=b'{"to": "citizen"}', headers=KEY):
    return await path.client.post('/replies', content=content, headers=headers)


async def post_and_disconnect(path, condition):
    """Sends a request and disconnects when the condition holds."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(post, path)
        await path_fakes.until(condition)
        nursery.cancel_scope.cancel()


async def test_second_copy_gets_the_recorded_outcome():
    # A client sends the same request twice, one after the other. It runs
    # once, and the second copy gets the outcome of the first.
    async with path_fakes.running() as path:
        first = await post(path)
        second = await post(path)
        runs = path.services[0].log.records
    assert first.status_code == second.status_code == 201
    assert second.headers['x-idempotent-replay'] == '1'
    assert second.json()['outcome'] == 'complete'
    assert len(runs) == 1


async def test_concurrent_copies_run_once():
    # The second of two concurrent copies waits for the outcome of the first.
    replies = []

    async def send():
        replies.append(await post(path))

    async with path_fakes.running() as path:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            nursery.start_soon(send)
        runs = path.services[0].log.records
    assert [reply.status_code for reply in replies] == [201, 201]
    assert len(runs) == 1


async def test_request_with_a_lost_answer_is_unknown_and_not_retried():
    # The service runs the request and its answer is lost, so it is not known
    # whether it ran. It is not retried, not even for the caller's next copy,
    # which gets the same outcome.
    async with path_fakes.running(services=2) as path:
        path.services[0].faults.append('lose_answer')
        first = await post(path)
        second = await post(path)
        runs = [run for service in path.services for run in service.log.records]
    assert first.status_code == 504
    assert first.json()['outcome'] == 'unknown'
    assert second.json()['outcome'] == 'unknown'
    assert len(runs) == 1


async def test_request_refused_by_the_service_may_be_sent_again():
    # The service refuses before it starts: the outcome is "not run", and the
    # request runs when it is sent again with the same key.
    async with path_fakes.running() as path:
        path.services[0].faults.append('refuse')
        first = await post(path)
        second = await post(path)
        runs = path.services[0].log.records
    assert first.status_code == 503
    assert first.json()['outcome'] == 'not-run'
    assert first.headers['retry-after']
    assert second.status_code == 201
    assert len(runs) == 1


async def test_answer_of_another_request_makes_the_outcome_unknown():
    # The answer has the id of another request. The request may have run, so
    # the answer is not relayed and the request is not retried.
    async with path_fakes.running(services=2) as path:
        path.services[0].faults.append('wrong_echo')
        first = await post(path)
        runs = [run for service in path.services for run in service.log.records]
    assert first.json()['outcome'] == 'unknown'
    assert len(runs) == 1


async def test_outcome_is_recorded_after_a_disconnect():
    # The caller disconnects while the service runs the request. The request
    # runs to its end, and the next copy gets its outcome.
    async with path_fakes.running() as path:
        service = path.services[0]
        service.settings = path_fakes.plain_service.PlainSettings(
            's0', once_seconds=0.2
        )
        await post_and_disconnect(path, lambda: service.log.records)
        second = await post(path)
    assert second.headers['x-idempotent-replay'] == '1'
    assert second.json()['outcome'] == 'complete'
    assert len(service.log.records) == 1


async def test_outcome_is_recorded_after_a_disconnect_during_the_claim():
    # The caller disconnects while the claim is being committed. If the
    # request were cancelled, the claim would have no outcome: the next copy
    # would wait and get "unknown" although nothing ran.
    async with path_fakes.running() as path:
        path.claims.commit_seconds = 0.2
        await post_and_disconnect(path, lambda: path.claims.digests)
        second = await post(path)
    assert second.json()['outcome'] == 'complete'
    assert len(path.services[0].log.records) == 1


async def test_request_without_a_key_is_refused_without_a_permit():
    async with path_fakes.running() as path:
        response = await post(path, headers={})
    assert response.status_code == 400
    assert response.json()['outcome'] == 'not-run'
    assert path.admission.permit_requests == []


async def test_same_key_with_another_body_is_refused():
    async with path_fakes.running() as path:
        await post(path)
        response = await post(path, b'{"to": "somebody else"}')
        runs = path.services[0].log.records
    assert response.status_code == 422
    assert len(runs) == 1


async def test_request_is_refused_when_claims_are_unavailable():
    # While the key-value service is down, the request is refused as "not
    # run".
    async with path_fakes.running() as path:
        path.claims.unavailable = True
        response = await post(path)
        runs = path.services[0].log.records
    assert response.status_code == 503
    assert response.json()['outcome'] == 'not-run'
    assert runs == []


async def test_answer_is_returned_when_its_outcome_cannot_be_recorded():
    # The key-value service goes down after the request ran and before its
    # outcome is recorded. The caller still gets the answer.
    async with path_fakes.running() as path:
        path.claims.record = fail_to_record
        response = await post(path)
    assert response.status_code == 201
    assert 'id' in response.json()


async def fail_to_record(token, outcome, status):
    raise errors.KeyValueUnavailable('down')


async def test_unreachable_service_is_retried_at_another():
    # The first service is unreachable. No byte was sent, so another service
    # may still get the request.
    async with path_fakes.running(services=2, engines=0) as path:
        first = path.admission.vms[0]
        unreachable = path_fakes.vm('gone', 1, first.kind)
        path.admission.vms.insert(0, unreachable)
        path.dispatcher.configurations.document = default_configuration()
        response = await post(path)
        runs = [run for service in path.services for run in service.log.records]
    assert response.status_code == 201
    assert len(runs) == 1
    results = [attempt.result for attempt in path.last_decision().attempts]
    assert results == ['UpstreamUnreachable', 'complete']


def default_configuration():
    return path_fakes.make_configuration()
