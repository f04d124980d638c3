from __future__ import annotations

import pytest

from lavenderbend import errors
from lavenderbend.protocol import peer


def test_decoded_message_equals_the_encoded_one():
    message = peer.Failure('PoolFull', 'no room', 1.5)

    assert peer.decode(peer.encode(message)) == message


def test_unknown_tag_is_a_codec_error():
    with pytest.raises(errors.CodecError, match='no message has the tag'):
        peer.from_wire([99999])


def test_additional_fields_of_a_newer_peer_are_ignored():
    values = [*peer.to_wire(peer.Failure('a', 'b')), 'new field']

    assert peer.from_wire(values) == peer.Failure('a', 'b')
