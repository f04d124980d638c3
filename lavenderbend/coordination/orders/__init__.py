"""Engines are brought to the models that operators want."""
