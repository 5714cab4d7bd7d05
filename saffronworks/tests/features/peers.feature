Feature: sockets between nodes

  Scenario: an idle socket is closed and reopened on demand
    Given a node that last sent a message to a peer a minute ago
    When it sends a message to another peer
    Then the socket to the first peer is closed
    And a later message to the first peer arrives
