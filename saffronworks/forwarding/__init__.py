"""Forwarding of callers' HTTP requests to endpoints that run elsewhere.

The modules here hold the routing logic and its state: routes, endpoints, attempts, retries,
reservations of KV memory and roles. They access the network and the store through the protocols of
`ports`, which an adapter such as `saffronworks.platform` implements.
"""
