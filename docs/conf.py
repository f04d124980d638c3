"""Sphinx settings of lavenderbend's pages."""

from __future__ import annotations

import lavenderbend

project = 'lavenderbend'
author = 'the lavenderbend maintainers'
release = lavenderbend.__version__
extensions = []
# Markdown pages are read as they are; nothing here parses them
exclude_patterns = ['_build', '*.md']
html_theme = 'alabaster'
