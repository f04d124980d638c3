"""The path of a request: rule, permit, attempts, relay, record."""

from lavenderbend.coordination.dispatch.answers import Answer
from lavenderbend.coordination.dispatch.dispatcher import Dispatcher
from lavenderbend.coordination.dispatch.parts import DispatchSettings

__all__ = ['Answer', 'DispatchSettings', 'Dispatcher']
