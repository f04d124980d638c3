"""Decisions: rules, placement, admission, membership, agreement."""
