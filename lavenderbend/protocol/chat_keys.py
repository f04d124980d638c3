"""The key that identifies a chat across its turns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderbend import errors
from lavenderbend.state import hashing

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lavenderbend.protocol import openai

HEADER = 'x-chat-id'
MAX_KEY_CHARACTERS = 256


def read_key(
    chat: openai.ChatRequest | None, headers: Mapping[str, str]
) -> str | None:
    """Returns the chat key of a request, None if it belongs to no chat.

    A key given by the caller takes precedence over the hash of the prefix,
    since two chats may have the same prefix. Keys are unique only within a
    customer.

    Raises:
        RequestInvalid: The caller's key is too long.
    """
    caller_key = headers.get(HEADER)
    if chat is not None and chat.cache_key is not None:
        caller_key = chat.cache_key
    if caller_key:
        if len(caller_key) > MAX_KEY_CHARACTERS:
            raise errors.RequestInvalid('the chat key is too long')
        return caller_key
    if chat is None:
        return None
    return f'{hashing.hash64(chat.model, chat.prefix):016x}'
