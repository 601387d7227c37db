"""Sessions over pooled endpoint connections, for clients of a wire protocol.

The decisions are pure modules; the trio shell around them reaches endpoints,
the store and other nodes through the protocols in `ports`.
"""
