"""Connection pooler: client sessions over pooled endpoint connections.

Decisions are made in modules without I/O. The modules that run on trio reach
endpoints, the store and other nodes through the protocols in `ports`.
"""
