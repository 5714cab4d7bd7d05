Feature: nodes that reach no endpoint

  # Guards against nodes that lose their paths to all endpoints and fail their callers' requests,
  # although other nodes reach the endpoints.
  Scenario: connections of most nodes to endpoints fall silent
    Given four nodes, two plain endpoints and three engines
    When three nodes lose their paths to all endpoints for 5 s, and their connections hang
    Then from a second after that they serve their callers nine tenths as often as the other node

  Scenario: connections of most nodes to endpoints are reset
    Given four nodes, two plain endpoints and three engines
    When three nodes lose their paths to all endpoints for 5 s, and their connections are reset
    Then from a second after that they serve their callers nine tenths as often as the other node

  Scenario: open connections of most nodes to endpoints live on, and new ones are refused
    Given four nodes, two plain endpoints that work for 250 ms and three engines
    When three nodes lose their paths to all endpoints for 5 s, and only new connections are refused
    Then from a second after that they serve their callers nine tenths as often as the other node
