"""The key of a chat, which stays the same from turn to turn."""

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

    The caller's own key goes before a hash of the beginning, since two chats
    may begin alike. The key counts only within its customer.

    Raises:
        RequestInvalid: The caller's key is too long.
    """
    given = headers.get(HEADER)
    if chat is not None and chat.cache_key is not None:
        given = chat.cache_key
    if given:
        if len(given) > MAX_KEY_CHARACTERS:
            raise errors.RequestInvalid('the chat key is too long')
        return given
    if chat is None:
        return None
    return f'{hashing.hash64(chat.model, chat.beginning):016x}'
