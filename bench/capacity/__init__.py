"""Slopes for docs/CAPACITY.md that the other benches do not give."""
