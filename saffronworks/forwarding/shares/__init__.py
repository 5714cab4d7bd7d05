"""Rate limits over all nodes together, divided into shares that holder nodes enforce.

A subject is what a limit applies to: an endpoint or an organisation. The node that received a
request, its entry node, sends an ask for admission to holders of the subject's limit.
"""
