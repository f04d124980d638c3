from __future__ import annotations

import importlib
import pkgutil
import re

import pytest

import lavenderbend
from lavenderbend.observe import metrics
from lavenderbend.transport import operator_interface

NAME = re.compile(r'lavenderbend_[a-z0-9_]+')
UNITS = ('_seconds', '_bytes', '_ratio')


def import_all_modules():
    for module in pkgutil.walk_packages(
        lavenderbend.__path__, f'{lavenderbend.__name__}.'
    ):
        if not module.name.endswith('__main__'):
            importlib.import_module(module.name)


import_all_modules()
COLLECTORS = sorted(metrics.REGISTRY.collectors.items())


@pytest.mark.parametrize(('name', 'collector'), COLLECTORS)
def test_metric_has_conventional_name_and_help_text(name, collector):
    kind = type(collector).__name__

    assert NAME.fullmatch(name)
    assert collector.doc.endswith('.')
    assert (kind == 'Counter') == name.endswith('_total')
    if kind == 'Histogram':
        assert name.endswith(UNITS)


def test_metrics_render_in_text_format():
    operator_interface.CALLS.inc({'status': '200'})

    assert b'lavenderbend_operator_calls_total{' in metrics.render()
