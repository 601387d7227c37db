"""Reads whole numbers from text that another process wrote."""

# The largest signed 64-bit integer.
MAX_NUMBER = 9223372036854775807
# Each longer text of digits is a larger number, or has zeros in front.
MAX_DIGITS = 19


def parse_decimal(text: str) -> int | None:
    """Read a whole number of ASCII digits.

    Args:
        text: the digits, without a sign or blanks.

    Returns:
        The number, None if text is not one of at most MAX_DIGITS digits, or
        larger than MAX_NUMBER.

    """
    if not (text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS):
        return None
    number = int(text)
    return number if number <= MAX_NUMBER else None
