"""Whole numbers in the text of headers that other programs write."""

from __future__ import annotations

# Messages between routers carry any number of so many digits.
MAX_DIGITS = 18


def parse_count(text: str | bytes, max_digits: int = MAX_DIGITS) -> int | None:
    """Returns a whole number, None for any other text.

    Text with digits of other scripts, or with thousands of digits, passes
    `isdigit`, and its conversion raises an error.

    Args:
        text: The text.
        max_digits: A longer text is not taken for a number.
    """
    if len(text) > max_digits or not (text.isascii() and text.isdigit()):
        return None
    return int(text)
