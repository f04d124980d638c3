"""Measurements of what is agreed and kept."""
