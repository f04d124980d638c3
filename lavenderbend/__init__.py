"""A router fleet for large numbers of long-lived chats."""

__version__ = '0.1.0'
