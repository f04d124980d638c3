"""What a load consists of."""

from __future__ import annotations

import attrs

from lavenderbend import registry


@attrs.frozen
class Mix:
    """The calls of one deployment.

    Attributes:
        model: Model that chats ask for.
        beginning_words: Words of the first message of a chat.
        turn_words: Words that each further turn adds.
        answer_tokens: Smallest and largest answer.
        streamed: Share of chat turns whose answer is streamed.
        chat_share: Share of calls that are chat turns.
        instant_share: Share of calls that are instant; the rest are
            non-idempotent.
        instant_paths: Paths of instant calls, without the last part.
        once_path: Path of non-idempotent calls.
        resend_share: Share of non-idempotent calls that are sent again
            though they were answered.
        large_customers: Customers at the front of the list that are large.
        large_weight: Traffic of a large customer, against 1 of a small one.
    """

    model: str
    beginning_words: int
    turn_words: int
    answer_tokens: tuple[int, int]
    streamed: float
    chat_share: float
    instant_share: float
    instant_paths: tuple[str, ...]
    once_path: str
    resend_share: float = 0.2
    large_customers: int = 3
    large_weight: float = 6.0


MIXES: registry.Registry[Mix] = registry.Registry('load mix')
MIXES.register('correo')(
    Mix(
        model='assistant',
        beginning_words=600,
        turn_words=60,
        answer_tokens=(12, 48),
        streamed=0.7,
        chat_share=0.6,
        instant_share=0.3,
        instant_paths=('/alerts/', '/deliveries/'),
        once_path='/replies',
    )
)
MIXES.register('rutaclara')(
    Mix(
        model='route-planner',
        beginning_words=250,
        turn_words=80,
        answer_tokens=(24, 64),
        streamed=0.8,
        chat_share=0.7,
        instant_share=0.15,
        instant_paths=('/alerts/', '/deliveries/'),
        once_path='/briefings',
    )
)


@attrs.frozen
class LoadCustomer:
    """A customer that sends load.

    Attributes:
        name: Its name.
        credential: What it shows to the router.
    """

    name: str
    credential: str


@attrs.frozen
class Surge:
    """A time in which a few customers send more.

    Attributes:
        customers: Names.
        factor: Their traffic against the usual.
        start: Seconds from the start of the load.
        seconds: How long it lasts.
    """

    customers: tuple[str, ...]
    factor: float
    start: float
    seconds: float

    def holds(self, at: float) -> bool:
        """Returns whether it is going on, seconds from the start."""
        return self.start <= at < self.start + self.seconds


@attrs.frozen
class LoadPlan:
    """A whole load.

    Equal plans begin calls of the same kinds at the same times; which chat
    returns depends on the answers that have come by then.

    Attributes:
        mix: Name of the mix.
        customers: Who sends.
        seconds: Time in which calls are begun.
        rate: Calls a second, outside of surges.
        seed: Seed of everything random.
        return_share: Share of chat turns that go on with an earlier chat.
        max_chats: Chats that may return, at once; the oldest are given up.
        max_turns: A chat ends after this many turns.
        max_open: Calls in progress; beyond it calls wait to be begun.
        tries: Times that a call which was not run is sent, each time to
            another address.
        call_seconds: A call without an end after this counts as cut.
        surges: Times of more traffic.
        model: Replaces the model of the mix.
    """

    mix: str
    customers: tuple[LoadCustomer, ...]
    seconds: float = 20.0
    rate: float = 50.0
    seed: int = 1
    return_share: float = 0.85
    max_chats: int = 1000
    max_turns: int = 12
    max_open: int = 500
    tries: int = 3
    call_seconds: float = 60.0
    surges: tuple[Surge, ...] = ()
    model: str | None = None

    def rate_of(self, index: int, at: float) -> float:
        """Returns the calls a second of one customer at a time."""
        mix = MIXES.get(self.mix)
        weights = [
            mix.large_weight if number < mix.large_customers else 1.0
            for number in range(len(self.customers))
        ]
        rate = self.rate * weights[index] / sum(weights)
        for surge in self.surges:
            if surge.holds(at) and self.customers[index].name in (
                surge.customers
            ):
                rate *= surge.factor
        return rate
