"""A stand-in for the platform's rate-limited store of model weights."""

from __future__ import annotations

import quart_trio
import trio

from lavenderbend.standin import app_serving

TOO_MANY_STATUS = 429


class WeightStore:
    """Gives out weights at a limited rate.

    Attributes:
        rate: Fetches a second that it allows.
        burst: Fetches that may come at once.
        seconds: Time that one fetch takes.
        fetched: Fetches given out.
        refused: Fetches over the rate.
    """

    def __init__(
        self, rate: float = 1.0, burst: float = 2.0, seconds: float = 0.0
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.seconds = seconds
        self.tokens = burst
        self.at = 0.0
        self.fetched = 0
        self.refused = 0

    async def fetch(self, model: str, version: str) -> bytes | None:
        """Returns some weights, None if the rate is exceeded."""
        now = trio.current_time()
        if self.at:
            gained = (now - self.at) * self.rate
            self.tokens = min(self.burst, self.tokens + gained)
        self.at = now
        if self.tokens < 1:
            self.refused += 1
            return None
        self.tokens -= 1
        self.fetched += 1
        await trio.sleep(self.seconds)
        return f'{model} {version}'.encode()


def app(store: WeightStore) -> quart_trio.QuartTrio:
    """Returns the application that serves the store over HTTP."""
    application = quart_trio.QuartTrio(__name__)

    @application.get('/v1/weights/<model>/<version>')
    async def fetch(model: str, version: str):
        weights = await store.fetch(model, version)
        if weights is None:
            return {'message': 'too many requests'}, TOO_MANY_STATUS
        return weights

    return application


async def serve(
    host: str,
    port: int,
    store: WeightStore,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the store until cancelled; reports its URL when it is bound."""
    await app_serving.serve(app(store), host, port, task_status)
