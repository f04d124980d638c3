"""Load generator: sends a seeded load of chats and measures the replies."""

from lavenderbend.load.driver import run_load
from lavenderbend.load.plans import LoadCustomer
from lavenderbend.load.plans import LoadPlan
from lavenderbend.load.plans import Surge
from lavenderbend.load.results import LoadResult

__all__ = ['LoadCustomer', 'LoadPlan', 'LoadResult', 'Surge', 'run_load']
