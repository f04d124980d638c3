"""Request dispatch: rule, permit, attempts, relay, record."""

from lavenderbend.coordination.dispatch.answers import Answer
from lavenderbend.coordination.dispatch.components import DispatchSettings
from lavenderbend.coordination.dispatch.dispatcher import Dispatcher

__all__ = ['Answer', 'DispatchSettings', 'Dispatcher']
