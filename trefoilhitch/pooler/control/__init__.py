"""Requests that nodes send on their own behalf, and whom they send them to."""
