"""Explanation of where a node would route a request."""
