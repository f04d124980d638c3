"""The chats of a load, which come back turn by turn."""

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
SYSTEM = 'Answer briefly and in order.'


@attrs.define(eq=False)
class Chat:
    """One conversation.

    Attributes:
        key: Its `prompt_cache_key`.
        customer: Index of its customer.
        messages: So far.
        turns: Answers so far.
    """

    key: str
    customer: int
    messages: list[dict[str, Any]]
    turns: int = 0


class ChatPool:
    """Chats that may return.

    Attributes:
        plan: The load.
        mix: Its mix.
        rng: Source of everything random.
        idle: Chats without a turn in progress, by customer.
        made: Chats made so far.
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
        self.made = 0

    def words(self, count: int) -> str:
        """Returns some text."""
        return ' '.join(self.rng.choices(WORDS, k=count))

    def next_turn(self, customer: int) -> Chat:
        """Returns a chat of the customer with one more question in it."""
        idle = self.idle[customer]
        if idle and self.rng.random() < self.plan.return_share:
            index = self.rng.randrange(len(idle))
            idle.rotate(-index)
            chat = idle.popleft()
            question = self.words(self.mix.turn_words)
        else:
            chat = self.make(customer)
            question = self.words(self.mix.beginning_words)
        chat.messages.append({'role': 'user', 'content': question})
        return chat

    def make(self, customer: int) -> Chat:
        """Returns a new chat."""
        self.made += 1
        key = f'chat-{self.plan.seed}-{customer}-{self.made}'
        return Chat(key, customer, [{'role': 'system', 'content': SYSTEM}])

    def put_back(self, chat: Chat, answer: str) -> None:
        """Lets a chat come back after its answer."""
        chat.turns += 1
        if chat.turns >= self.plan.max_turns:
            return
        chat.messages.append({'role': 'assistant', 'content': answer})
        idle = self.idle[chat.customer]
        idle.append(chat)
        limit = max(1, self.plan.max_chats // len(self.plan.customers))
        while len(idle) > limit:
            idle.popleft()

    def body(self, chat: Chat) -> dict[str, Any]:
        """Returns the body that asks for the next answer."""
        low, high = self.mix.answer_tokens
        return {
            'model': self.plan.model or self.mix.model,
            'prompt_cache_key': chat.key,
            'messages': list(chat.messages),
            'max_tokens': self.rng.randint(low, high),
            'stream': self.rng.random() < self.mix.streamed,
        }
