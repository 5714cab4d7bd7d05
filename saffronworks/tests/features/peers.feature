Feature: sockets between nodes

  Scenario: an idle socket is closed and reopened on demand
    Given a node that last sent a message to a peer a minute ago
    When it sends a message to another peer
    Then the socket to the first peer is closed
    And a later message to the first peer arrives

  # Guards against a node that ends with all of its requests because of one event id of an endpoint.
  Scenario: a message that can't be encoded ends no service of the node
    Given two nodes of which one reports more tokens than an integer of a message holds
    When the first one sends another message to the same peer
    Then it arrives, and the first node's services run on

  # Guards against a node whose other peers get no messages after its listener failed.
  Scenario: a node whose listener fails listens again at its address
    Given two nodes of which one lost its listener
    When the other one sends it a message
    Then it arrives, and the failure is counted
