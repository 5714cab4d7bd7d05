"""Forwarding of callers' HTTP requests to endpoints that run elsewhere.

The modules here decide and keep state: routes, endpoints, attempts, retries, reservations of KV
memory, roles. They speak to the outside through the protocols of `ports`, which an adapter such
as `saffronworks.platform` implements.
"""
