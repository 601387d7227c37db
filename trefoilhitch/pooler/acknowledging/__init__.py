"""Decides which acknowledgements of commits are passed on to clients.

A failover decides from what endpoints have reported. A commit that is
acknowledged afterwards may be missing at the endpoint that it promotes, so the
decision and the acknowledgements are bound to each other here.
"""
