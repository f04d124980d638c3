"""Moves the KV cache of chats off leaving engines if that saves time."""

from __future__ import annotations

import abc
import math
from typing import TYPE_CHECKING

import attrs
import trio

from lavenderbend import errors
from lavenderbend.observe import metrics

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

MOVED_CONTEXTS = metrics.counter(
    'lavenderbend_contexts_moved_total', 'Contexts moved off leaving engines.'
)
SKIPPED_CONTEXTS = metrics.counter(
    'lavenderbend_contexts_left_total', 'Contexts that did not pay to move.'
)

MAX_FAILURES = 3


class CacheClient(abc.ABC):
    """Exports and imports the KV cache of engines."""

    @abc.abstractmethod
    async def export_chat(self, upstream: str, chat: int) -> bytes:
        """Returns the KV cache of a chat.

        Raises:
            UpstreamUnreachable: The engine does not answer.
            UpstreamError: The engine has no cache of the chat.
        """

    @abc.abstractmethod
    async def import_chat(self, upstream: str, chat: int, data: bytes) -> None:
        """Imports the KV cache of a chat into an engine.

        Raises:
            UpstreamError: The engine did not accept it.
        """


@attrs.frozen
class TransferSettings:
    """Parameters of the cost rule.

    Attributes:
        bytes_per_token: Size of the KV cache of one token.
        bytes_per_second: Bandwidth of the leaving engine's link.
        tokens_per_second: Prompt tokens per second that an engine processes.
        return_seconds: Mean time until the next turn of a chat.
        margin: Minimum ratio of the time saved to the time of the transfer.
        seconds: Time available for the transfers of a leaving engine.
    """

    bytes_per_token: float = 131_072.0
    bytes_per_second: float = 1.25e9
    tokens_per_second: float = 10_000.0
    return_seconds: float = 300.0
    margin: float = 2.0
    seconds: float = 10.0


@attrs.frozen
class Context:
    """The context of a chat on the leaving engine.

    Attributes:
        chat: Hash of the chat.
        tokens: Size of the context.
        idle: Seconds since the chat's last turn.
    """

    chat: int
    tokens: int
    idle: float


@attrs.frozen
class Move:
    """A planned transfer of a context.

    Attributes:
        context: The context.
        target: VM id of the receiving engine.
        seconds: Duration of the transfer.
    """

    context: Context
    target: str
    seconds: float


def move_seconds(tokens: int, settings: TransferSettings) -> float:
    """Returns the duration of the transfer of a context."""
    return tokens * settings.bytes_per_token / settings.bytes_per_second


def saved_seconds(context: Context, settings: TransferSettings) -> float:
    """Returns the time that the transfer of a context is expected to save.

    That is the time to compute it again, multiplied by the probability that
    the chat continues, which decreases with its idle time.
    """
    probability = math.exp(-context.idle / settings.return_seconds)
    return probability * context.tokens / settings.tokens_per_second


def is_worthwhile(context: Context, settings: TransferSettings) -> bool:
    """Returns whether the transfer saves enough time."""
    cost = move_seconds(context.tokens, settings) * settings.margin
    return saved_seconds(context, settings) > cost


def plan_moves(
    contexts: Sequence[Context],
    loads: dict[str, int],
    settings: TransferSettings,
) -> list[Move]:
    """Returns the worthwhile moves, those with the highest saving rate first.

    Args:
        contexts: Contexts on the leaving engine.
        loads: Load of each engine that can receive contexts.
        settings: Parameters of the cost rule.
    """
    if not loads:
        return []
    expected = {name: float(load) for name, load in loads.items()}
    seconds_left = settings.seconds
    moves: list[Move] = []
    by_idle_time = sorted(
        contexts, key=lambda context: (context.idle, context.chat)
    )
    for context in by_idle_time:
        seconds = move_seconds(context.tokens, settings)
        if not is_worthwhile(context, settings) or seconds > seconds_left:
            continue
        seconds_left -= seconds
        target = min(expected, key=lambda name: (expected[name], name))
        expected[target] += 0.1
        moves.append(Move(context, target, seconds))
    return moves


async def execute_moves(
    client: CacheClient, source: str, moves: Sequence[Move], seconds: float
) -> AsyncIterator[Move]:
    """Executes moves within a time limit; yields those that succeeded.

    One at a time: the link of the leaving engine also carries the answers
    that it is still generating. If the engine crashed instead of leaving,
    the transfers stop after a few failures.
    """
    deadline = trio.current_time() + seconds
    failures = 0
    for move in moves:
        seconds_left = deadline - trio.current_time()
        if seconds_left <= 0 or failures >= MAX_FAILURES:
            return
        moved = False
        try:
            with trio.move_on_after(seconds_left):
                moved = await move_context(client, source, move)
        except errors.UpstreamUnreachable:
            failures += 1
        if moved:
            failures = 0
            yield move


async def move_context(client: CacheClient, source: str, move: Move) -> bool:
    """Moves one context; returns whether the target has imported it.

    Raises:
        UpstreamUnreachable: One of the two engines does not answer.
    """
    chat = move.context.chat
    try:
        data = await client.export_chat(source, chat)
        await client.import_chat(move.target, chat, data)
    except errors.UpstreamUnreachable:
        SKIPPED_CONTEXTS.inc({'upstream': source})
        raise
    except errors.UpstreamError:
        # the context is computed again at the next turn
        SKIPPED_CONTEXTS.inc({'upstream': source})
        return False
    MOVED_CONTEXTS.inc({'upstream': source})
    return True
