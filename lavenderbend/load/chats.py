"""The chats of a load, each of which has several turns."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random

    from lavenderbend.load import plans

# fmt: off
WORDS = (
    'camion', 'cruce', 'puente', 'carta', 'plazo', 'anexo', 'folio', 'sello',
    'ruta', 'tramo', 'fecha', 'aviso', 'firma', 'turno', 'oficio', 'lista',
    'entrega', 'reparto', 'buzon', 'clinica', 'juzgado', 'comuna', 'bodega',
)
# fmt: on
SYSTEM_MESSAGE = 'Answer briefly and in order.'


@attrs.define(eq=False)
class Chat:
    """One conversation.

    Attributes:
        key: Its `prompt_cache_key`.
        customer: Index of its customer.
        messages: Messages so far.
        turns: Number of answers so far.
    """

    key: str
    customer: int
    messages: list[dict[str, Any]]
    turns: int = 0


class ChatPool:
    """Chats that may have further turns.

    Attributes:
        plan: The load plan.
        mix: The mix that the plan names.
        rng: Source of all random choices.
        idle: Chats without a turn in progress, by customer.
        created: Number of chats created so far.
    """

    def __init__(
        self, plan: plans.LoadPlan, mix: plans.Mix, rng: random.Random
    ) -> None:
        self.plan = plan
        self.mix = mix
        self.rng = rng
        self.idle: dict[int, collections.deque[Chat]] = collections.defaultdict(
            collections.deque
        )
        self.created = 0

    def random_words(self, count: int) -> str:
        """Returns a text of `count` random words."""
        return ' '.join(self.rng.choices(WORDS, k=count))

    def next_turn(self, customer: int) -> Chat:
        """Returns a new or idle chat of the customer with its next question."""
        idle = self.idle[customer]
        if idle and self.rng.random() < self.plan.return_share:
            index = self.rng.randrange(len(idle))
            idle.rotate(-index)
            chat = idle.popleft()
            question = self.random_words(self.mix.turn_words)
        else:
            chat = self.create(customer)
            question = self.random_words(self.mix.first_message_words)
        chat.messages.append({'role': 'user', 'content': question})
        return chat

    def create(self, customer: int) -> Chat:
        """Returns a new chat."""
        self.created += 1
        key = f'chat-{self.plan.seed}-{customer}-{self.created}'
        return Chat(
            key, customer, [{'role': 'system', 'content': SYSTEM_MESSAGE}]
        )

    def complete_turn(self, chat: Chat, answer: str) -> None:
        """Adds the answer to a chat and makes the chat available again.

        A chat that has reached the maximum number of turns is dropped, and
        so are the oldest idle chats beyond the customer's share.
        """
        chat.turns += 1
        if chat.turns >= self.plan.max_turns:
            return
        chat.messages.append({'role': 'assistant', 'content': answer})
        idle = self.idle[chat.customer]
        idle.append(chat)
        limit = max(1, self.plan.max_chats // len(self.plan.customers))
        while len(idle) > limit:
            idle.popleft()

    def request_body(self, chat: Chat) -> dict[str, Any]:
        """Returns the request body for the next answer."""
        low, high = self.mix.answer_tokens
        return {
            'model': self.plan.model or self.mix.model,
            'prompt_cache_key': chat.key,
            'messages': list(chat.messages),
            'max_tokens': self.rng.randint(low, high),
            'stream': self.rng.random() < self.mix.streamed_share,
        }
