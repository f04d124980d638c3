"""Sphinx settings of lavenderbend's pages."""

from __future__ import annotations

import lavenderbend

project = 'lavenderbend'
author = 'the lavenderbend maintainers'
release = lavenderbend.__version__
extensions = []
exclude_patterns = ['_build']
html_theme = 'alabaster'
