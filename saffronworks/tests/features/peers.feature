Feature: sockets between nodes

  Scenario: a socket that carried nothing for long
    Given a node that told another one something a minute ago
    When it tells a third one something
    Then the socket to the other one is closed
    And what it tells the other one later arrives
