"""Operators' when-then rules: matched, checked, compared."""
