"""Seeded requests of returning chats, independent of any placement."""

from __future__ import annotations

import random

import attrs

from lavenderbend.state import hashing
from lavenderbend.state import requests


@attrs.frozen
class Arrival:
    """One request.

    Attributes:
        at: Virtual clock.
        number: Place in the workload.
        customer: Its customer.
        chat: Hash of the chat, 0 for none.
        prompt: Prompt tokens.
        shared: Those of them that an earlier turn computed.
        out: Tokens to generate.
        priority: Its priority.
        router: Random number that stands for the balancer's pick.
        poison: Whether it crashes the engine that runs it.
    """

    at: float
    number: int
    customer: str
    chat: int
    prompt: int
    shared: int
    out: int
    priority: requests.Priority = requests.Priority.NORMAL
    router: int = 0
    poison: bool = False


@attrs.frozen
class Surge:
    """A time in which some customers ask for more.

    Attributes:
        start: Virtual clock.
        end: Virtual clock.
        factor: New chats against the usual rate.
        customers: Who; empty for all.
    """

    start: float
    end: float
    factor: float
    customers: tuple[str, ...] = ()


@attrs.frozen
class Profile:
    """What a deployment's callers do.

    Attributes:
        name: Name of the deployment.
        engines: Engines that it has today.
        rate: Requests a second over all routers.
        seconds: Length.
        turns: Mean number of turns of a chat.
        first: Smallest and largest prompt of a first turn, tokens.
        added: Smallest and largest text added by a turn, tokens.
        out: Mean tokens generated.
        pauses: Pairs of share and mean seconds between turns.
        instant: Share of instant calls.
        customers: Names and shares of the traffic.
        surges: Times of more traffic.
        seed: Of the random numbers.
    """

    name: str
    engines: int
    rate: float
    seconds: float
    turns: float
    first: tuple[int, int]
    added: tuple[int, int]
    out: float
    pauses: tuple[tuple[float, float], ...]
    instant: float
    customers: tuple[tuple[str, float], ...]
    surges: tuple[Surge, ...] = ()
    seed: int = 1


HISTORY_SECONDS = 1500.0

CUSTOMERS = (
    ('court-1', 0.25),
    ('city-1', 0.20),
    ('clinic-1', 0.15),
    ('city-2', 0.10),
    ('clinic-2', 0.08),
    ('city-3', 0.06),
    ('court-2', 0.05),
    ('city-4', 0.04),
    ('clinic-3', 0.04),
    ('city-5', 0.03),
)

# pauses of days are scaled with the cache: a chat whose pause is long finds
# its context evicted, whatever the placement
CORREO = Profile(
    name='correo',
    engines=5,
    rate=20.0,
    seconds=600.0,
    turns=8.0,
    first=(500, 6000),
    added=(50, 500),
    out=120.0,
    pauses=((0.5, 10.0), (0.4, 60.0), (0.1, 600.0)),
    instant=0.05,
    customers=CUSTOMERS,
)
RUTACLARA = Profile(
    name='rutaclara',
    engines=9,
    rate=20.0,
    seconds=600.0,
    turns=4.0,
    first=(1000, 4000),
    added=(100, 800),
    out=300.0,
    pauses=((0.6, 20.0), (0.4, 120.0)),
    instant=0.02,
    customers=CUSTOMERS,
    seed=2,
)


def generate(profile: Profile) -> list[Arrival]:
    """Returns the requests in the order of their arrival."""
    rng = random.Random(profile.seed)
    arrivals: list[Arrival] = []
    for name, share in profile.customers:
        arrivals.extend(of_customer(profile, name, share, rng))
    arrivals.sort(key=lambda arrival: (arrival.at, arrival.chat))
    return [
        attrs.evolve(arrival, number=number)
        for number, arrival in enumerate(arrivals)
    ]


def of_customer(
    profile: Profile, name: str, share: float, rng: random.Random
) -> list[Arrival]:
    """Returns the requests of one customer."""
    arrivals: list[Arrival] = []
    chats = profile.rate * (1 - profile.instant) * share / profile.turns
    highest = max([1.0, *(surge.factor for surge in profile.surges)])
    # chats that began before the start return after it
    at = -HISTORY_SECONDS
    count = 0
    while True:
        at += rng.expovariate(chats * highest)
        if at >= profile.seconds:
            break
        if rng.random() * highest > factor(profile, name, at):
            continue
        count += 1
        chat = hashing.hash64(profile.name, name, str(count))
        arrivals.extend(turns(profile, name, chat, at, rng))
    arrivals.extend(instants(profile, name, share, rng))
    return arrivals


def factor(profile: Profile, name: str, at: float) -> float:
    """Returns the factor on a customer's traffic at a time."""
    for surge in profile.surges:
        if surge.customers and name not in surge.customers:
            continue
        if surge.start <= at < surge.end:
            return surge.factor
    return 1.0


def poison(
    start: float, every: float, count: int, routers: int
) -> list[Arrival]:
    """Returns one request that is sent again and again through all routers.

    Args:
        start: Virtual clock of the first.
        every: Seconds between two.
        count: How many.
        routers: Number of routers.
    """
    chat = hashing.hash64('poison')
    return [
        Arrival(
            at=start + number * every,
            number=-1,
            customer='city-5',
            chat=chat,
            prompt=900,
            shared=0,
            out=100,
            router=number % routers,
            poison=True,
        )
        for number in range(count)
    ]


def turns(
    profile: Profile, name: str, chat: int, at: float, rng: random.Random
) -> list[Arrival]:
    """Returns the turns of one chat."""
    arrivals: list[Arrival] = []
    prompt = rng.randint(*profile.first)
    shared = 0
    while at < profile.seconds:
        out = max(5, int(rng.expovariate(1 / profile.out)))
        router = rng.getrandbits(32)
        if at >= 0:
            arrivals.append(
                Arrival(at, 0, name, chat, prompt, shared, out, router=router)
            )
            shared = prompt + out
        prompt += out + rng.randint(*profile.added)
        if rng.random() < 1 / profile.turns:
            break
        at += 5.0 + out / 20 + pause(profile, rng)
    return arrivals


def pause(profile: Profile, rng: random.Random) -> float:
    """Returns a pause between two turns."""
    lot = rng.random()
    for share, mean in profile.pauses:
        if lot < share:
            return rng.expovariate(1 / mean)
        lot -= share
    return rng.expovariate(1 / profile.pauses[-1][1])


def instants(
    profile: Profile, name: str, share: float, rng: random.Random
) -> list[Arrival]:
    """Returns the instant calls of one customer."""
    arrivals: list[Arrival] = []
    rate = profile.rate * profile.instant * share
    at = 0.0
    while rate > 0:
        at += rng.expovariate(rate)
        if at >= profile.seconds:
            break
        arrivals.append(
            Arrival(
                at,
                0,
                name,
                0,
                rng.randint(20, 100),
                0,
                rng.randint(2, 10),
                requests.Priority.INSTANT,
                rng.getrandbits(32),
            )
        )
    return arrivals
