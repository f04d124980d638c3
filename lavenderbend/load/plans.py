"""Load plans and the mixes of calls that they use."""

from __future__ import annotations

import attrs

from lavenderbend import registry


@attrs.frozen
class Mix:
    """Composition of the calls of one deployment.

    Attributes:
        model: Model that chats request.
        first_message_words: Words of the first message of a chat.
        turn_words: Words that each further turn adds.
        answer_tokens: Minimum and maximum of `max_tokens`.
        streamed_share: Share of chat turns whose answer is streamed.
        chat_share: Share of calls that are chat turns.
        instant_share: Share of calls that are instant; the rest are
            non-idempotent.
        instant_paths: Path prefixes of instant calls.
        once_path: Path of non-idempotent calls.
        resend_share: Share of non-idempotent calls that are sent again
            although they were answered.
        large_customers: Number of large customers, the first of the list.
        large_weight: Traffic of a large customer relative to a small one.
    """

    model: str
    first_message_words: int
    turn_words: int
    answer_tokens: tuple[int, int]
    streamed_share: float
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
        first_message_words=600,
        turn_words=60,
        answer_tokens=(12, 48),
        streamed_share=0.7,
        chat_share=0.6,
        instant_share=0.3,
        instant_paths=('/alerts/', '/deliveries/'),
        once_path='/replies',
    )
)
MIXES.register('rutaclara')(
    Mix(
        model='route-planner',
        first_message_words=250,
        turn_words=80,
        answer_tokens=(24, 64),
        streamed_share=0.8,
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
        credential: Credential that it sends to the router.
    """

    name: str
    credential: str


@attrs.frozen
class Surge:
    """A period in which some customers send more calls.

    Attributes:
        customers: Names of these customers.
        factor: Factor by which their traffic rises.
        start: Start of the surge in seconds from the start of the load.
        seconds: Duration of the surge.
    """

    customers: tuple[str, ...]
    factor: float
    start: float
    seconds: float

    def is_active(self, at: float) -> bool:
        """Returns whether the surge is active `at` seconds after the start."""
        return self.start <= at < self.start + self.seconds


@attrs.frozen
class LoadPlan:
    """Parameters of a load.

    Equal plans start calls of the same kinds at the same times; which chat
    has its next turn depends on the answers received by then.

    Attributes:
        mix: Name of the mix.
        customers: Customers that send calls.
        seconds: Time during which calls are started.
        rate: Calls a second, outside of surges.
        seed: Seed of all random choices.
        return_share: Share of chat turns that continue an earlier chat.
        max_chats: Maximum number of idle chats; the oldest are dropped.
        max_turns: A chat ends after this many turns.
        max_open: Maximum number of calls in progress; further calls wait.
        tries: Maximum number of times that a call which was not run is
            sent, each time to another address.
        call_seconds: Timeout after which a call counts as cut.
        surges: Periods of increased traffic.
        model: Replaces the model of the mix if set.
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

    def customer_rate(self, index: int, at: float) -> float:
        """Returns the calls a second of one customer.

        Args:
            index: Index of the customer.
            at: Seconds from the start of the load.
        """
        mix = MIXES.get(self.mix)
        weights = [
            mix.large_weight if number < mix.large_customers else 1.0
            for number in range(len(self.customers))
        ]
        rate = self.rate * weights[index] / sum(weights)
        for surge in self.surges:
            if surge.is_active(at) and self.customers[index].name in (
                surge.customers
            ):
                rate *= surge.factor
        return rate
