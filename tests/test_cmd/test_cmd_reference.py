from __future__ import annotations

import importlib.util
import pathlib
import re

from lavenderbend.observe import metrics

REFERENCE = pathlib.Path(__file__).parents[2] / 'docs' / 'reference'


def load_generator():
    path = REFERENCE / 'generate.py'
    spec = importlib.util.spec_from_file_location('reference_generate', path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_reference_pages_match_the_code():
    # To update the pages, run: python docs/reference/generate.py
    for name, text in load_generator().pages().items():
        assert (REFERENCE / name).read_text() == text, name


def test_operator_pages_name_only_existing_metrics():
    load_generator().import_all()
    metric_names = set(metrics.REGISTRY.collectors)
    for path in (REFERENCE.parent / 'operators').glob('*.rst'):
        mentioned = set(
            re.findall(r'``(lavenderbend_[a-z_]+)``', path.read_text())
        )
        assert mentioned <= metric_names, path.name
