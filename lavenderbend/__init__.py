"""A router fleet for very many returning chats."""

__version__ = '0.1.0'
