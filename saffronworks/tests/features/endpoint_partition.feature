Feature: nodes that reach no endpoint

  # Guards against nodes that lose their paths to all endpoints and fail their callers' requests,
  # although other nodes reach the endpoints.
  Scenario: connections of most nodes to endpoints fall silent
    Given four nodes, two plain endpoints and three engines
    When three nodes lose their paths to all endpoints for 5 s, and their connections hang
    Then from a second after that they serve their callers nine tenths as often as the other node
    And the other node serves its callers

  Scenario: connections of most nodes to endpoints are reset
    Given four nodes, two plain endpoints and three engines
    When three nodes lose their paths to all endpoints for 5 s, and their connections are reset
    Then from a second after that they serve their callers nine tenths as often as the other node
    And the other node serves its callers

  Scenario: open connections of most nodes to endpoints live on, and new ones are refused
    Given four nodes, two plain endpoints that work for 250 ms and three engines
    When three nodes lose their paths to all endpoints for 5 s, and only new connections are refused
    Then from a second after that they serve their callers nine tenths as often as the other node
    And the other node serves its callers

  Scenario: answers of endpoints to most nodes are lost
    Given four nodes, two plain endpoints and three engines
    When three nodes lose their paths to all endpoints for 5 s, and only answers are lost
    Then from a second after that they serve their callers nine tenths as often as the other node
    And the other node serves its callers

  # Guards against failures of one node's path that count against sound endpoints at all nodes.
  Scenario: what cut nodes report ejects no endpoint
    Given four nodes, two plain endpoints and three engines
    When three nodes lose their paths to all endpoints for 5 s, and their connections hang
    Then no planner ejects an endpoint, and no content is suspected

  # Guards against an endpoint that has ended and is taken for one to which the path is cut, because
  # another node answers by what it saw before the end.
  Scenario: an endpoint that ends counts as failed at all nodes
    Given four nodes, two plain endpoints and three engines
    When a decode engine ends in the middle of many requests
    Then every node that used it knows it as down, no path as cut, and a planner ejects it
    And callers are served by the other engine

  # Guards against a content that ends its endpoints, or an endpoint that is gone, of which nobody
  # learns while no other node answers.
  Scenario: an endpoint ends while no other node answers
    Given four nodes, two plain endpoints and three engines
    When a decode engine ends, and the node that used it gets no answer from other nodes
    Then the failure counts as the endpoint's, and with no path to any endpoint as unknown

  Scenario: a service with one endpoint
    Given four nodes and one plain endpoint
    When three nodes lose their paths to all endpoints for 5 s, and their connections hang
    Then from a second after that they serve their callers nine tenths as often as the other node

  Scenario: a relayed request reaches the endpoint unchanged, and its answer the caller
    Given four nodes and one plain endpoint
    When a node that reaches no endpoint relays requests of several kinds
    Then the endpoint sees them as those of a node that reaches it
    And the callers get the same answers

  Scenario: the caller of a relayed request leaves
    Given four nodes and one plain endpoint
    When the caller of a relayed request leaves while the endpoint works on it
    Then the endpoint sees the end of the connection within half a second

  # Guards against an endpoint that receives requests through a node which it has asked for a pause.
  Scenario: the relaying node knows of a pause that the other one doesn't know of
    Given four nodes and one plain endpoint
    When a node relays a request to an endpoint that has asked that node for a pause
    Then the endpoint gets nothing, and the caller is told that it was not run

  Scenario: the relaying node stops in the middle of a request
    Given four nodes and one plain endpoint
    When the node that relays a request closes all its connections
    Then an unrepeatable request ends as unknown and ran once, and a repeatable one is served

  # Guards against memory without bound for the bodies of other nodes' requests.
  Scenario: many requests are relayed at once
    Given four nodes and one plain endpoint
    When many requests with large bodies are relayed at once
    Then no node relays more than its bounds at a time, and none keeps a count in the end

  # Guards against a relaying node that stands still and makes a sound endpoint look failed to all.
  Scenario: the relaying node falls silent
    Given four nodes and one plain endpoint
    When a node that relays a request does not answer, and the endpoint listens
    Then the failure counts as the path's

  # Guards against a planned stop of one node that breaks requests of another node's callers.
  Scenario: the relaying node is stopped as planned
    Given four nodes and one plain endpoint
    When a node that relays a request is stopped, and further requests follow
    Then all of them are served, and none by the node that stops after the first

  # Guards against nodes that relay requests to each other when none of them reaches the endpoint.
  Scenario: no node reaches any endpoint
    Given four nodes and one plain endpoint
    When all nodes lose their paths to all endpoints
    Then requests are refused as not run within a second, and all nodes stay ready
    And each node asks each other one at most 2.5 times a second

  # Guards against limits that a late node extends one after the other, so that a request which no
  # node can send is refused after more than a second.
  Scenario: no node reaches any endpoint, and the nodes notice replies late
    Given four nodes and one plain endpoint
    When all nodes lose their paths to all endpoints, and take replies for up to 250 ms late
    Then requests are refused as not run within a second, and all nodes stay ready

  # Guards against requests refused as unreachable because their node did not run for a moment: it
  # used other nodes too late, or took its own silence for theirs.
  Scenario Outline: a node that reaches no endpoint is suspended <when>
    Given one plain endpoint
    When one of two nodes reaches no endpoint, and is suspended for 900 ms <when>
    Then its callers are served through the other node

    Examples:
      | when                       |
      | before its requests        |
      | while it asks another node |

  Scenario: peers of the previous release
    Given four nodes and one plain endpoint
    When a node reaches no endpoint and no other node relays requests
    Then requests are refused as not run within a second, and all nodes stay ready

  # Guards against a request that waits for its endpoint alone for as long as its node is late, and
  # then fails as one that may have run.
  Scenario: peers of the previous release, and a node that notices replies late
    Given four nodes and one plain endpoint
    When a node reaches no endpoint, no other relays requests, and replies are noticed 1 s late
    Then requests are refused as not run within a second, and all nodes stay ready

  # Guards against a sound endpoint that counts as failed at all nodes because a late node did not
  # connect to it in time.
  Scenario: a late node's time for connecting ends before its attempt
    Given four nodes and one plain endpoint
    When a node without a path to it gets no connection in time, as it notices replies 1 s late
    Then the failure counts as nobody's

  # Guards against a 504 for a request of which no byte was sent: its caller may not repeat it.
  Scenario: a request whose deadline passes before it is sent
    Given one plain endpoint
    When the deadline of a request passes while a node without others connects to its endpoint
    Then it is refused as not run

  Scenario: the path table under random events
    Then a path is relayed only while another node reaches the endpoint, and heals by checks
    And an endpoint counts as down only if two nodes with working paths don't reach it
    And what nodes said before a failure does not count for it
    And a path that is cut again and again needs more checks to heal
    And an endpoint that was slow to answer is checked as often as before once its path was cut
    And nothing is kept of nodes that are gone

  Scenario: the load of relays
    Then relayed requests are spread over 50 nodes by their cores
    And of two nodes that are asked at once one is in another availability zone
