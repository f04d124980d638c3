"""Bench of the decisions: placement and admission on a virtual clock."""
