Feature: endpoints that advertise a rate limit

  # Guards against nodes that together send an endpoint more than its advertised limit, as each node
  # chooses endpoints by its own latencies and failures. Permits from holders, whose shares add up to
  # the limit, bound the sum: in any 4 s at most one and a half times the limit and 5 requests,
  # whatever faults nodes have. With enough callers the endpoint gets at least 0.8 of its limit.

  Scenario: callers send more than a limited endpoint takes
    Given three endpoints, of which one advertises a limit of 1 request per second
    When callers send 24 requests per second to three nodes
    Then in no 4 s does a limited endpoint get more requests than it tolerates, once nodes have its limit
    And all callers are served

  Scenario: callers send more than all endpoints take
    Given three endpoints that advertise limits of 1, 2.4 and 1 requests per second
    When callers send 24 requests per second to three nodes
    Then in no 4 s does a limited endpoint get more requests than it tolerates, once nodes have its limit
    And each gets at least 0.8 of its limit
    And the other requests are rejected at once as not executed, with a retry time

  Scenario: engines that advertise limits
    Given a decode engine and a prefill engine with limits of 1 request per second, and a decode engine without
    When callers send 6 generations per second to three nodes
    Then in no 4 s does a limited endpoint get more requests than it tolerates, once nodes have its limit
    And all callers are served

  Scenario: a request for a service with limited endpoints
    Then it is never sent to a limited endpoint without a permit, whatever endpoints and holders answer
    And it is refused as not executed only if it has not run, with the time until there is room
    And a refused permit costs nothing of the retry budget
    And a failure signed by an endpoint is relayed if no other endpoint has room

  Scenario: a generation for a service with limited engines
    Then it is refused at once if all engines are in backoff, or waits if there is room in time
    And if the prefill engine has no room the decode engine runs the prefill, and no prefill is counted

  Scenario: the newest limit of an endpoint
    Then only a later answer ends a limit, in whatever order answers arrive
    And nodes that exchange updates converge to the newest limit
    And removed endpoints are dropped

  Scenario: malformed limits
    Then a limit is a plain number, the smallest of several; any other value is ignored
    And a malformed value is logged once, with the current limit

  Scenario Outline: simulated fleets whose callers all use one endpoint
    Given a fleet of <nodes> nodes, <busy> of them with callers, and an endpoint that takes <per_s> requests per second
    When it advertises that limit while <fault>
    Then in no 4 s does it get more requests than it tolerates, from all nodes, with four seeds
    And it gets at least <least> of its limit

    Examples: no faults
      | nodes | busy | per_s | fault           | least |
      | 8     | 8    | 1     | no fault occurs | 0.8   |
      | 8     | 1    | 1     | no fault occurs | 0.8   |
      | 8     | 8    | 10    | no fault occurs | 0.8   |
      | 60    | 60   | 1     | no fault occurs | 0.8   |
      | 60    | 4    | 2.4   | no fault occurs | 0.8   |
      | 195   | 195  | 1     | no fault occurs | 0.8   |
      | 195   | 195  | 2.4   | no fault occurs | 0.8   |
      | 195   | 20   | 10    | no fault occurs | 0.8   |

    Examples: nodes with faults
      | nodes | busy | per_s | fault                      | least |
      | 8     | 8    | 1     | all holders crash          | 0.8   |
      | 8     | 8    | 2.4   | half of the nodes crash    | 0.8   |
      | 60    | 60   | 1     | half of the nodes crash    | 0.8   |
      | 60    | 60   | 2.4   | all holders crash          | 0.8   |
      | 60    | 60   | 1     | two holders freeze         | 0.8   |
      | 60    | 60   | 2.4   | a third is partitioned off | 0.8   |
      | 195   | 195  | 1     | a third is isolated        | 0.8   |
      | 195   | 195  | 2.4   | half of the nodes crash    | 0.8   |
      | 195   | 195  | 10    | the halves are partitioned | 0.8   |

  Scenario: overlapping faults of all kinds
    Then in no 4 s are more requests sent than tolerated, whatever nodes crash, freeze or are partitioned

  Scenario Outline: holders that leave, noticed by nodes at different times
    # Guards against nodes with different views of the holders that use more than three shares.
    Given a fleet of 20 nodes, 20 of them with callers, and an endpoint that takes <per_s> requests per second
    When <count> of its holders leave, which nodes notice within 15 s
    Then in no 4 s does it get more requests than it tolerates, from all nodes, with four seeds

    Examples:
      | per_s | count |
      | 1     | 2     |
      | 2.4   | 3     |
      | 10    | 1     |
      | 10    | 2     |
      | 30    | 3     |

  Scenario: propagation of a limit and of its end
    Given a fleet of 195 nodes, 20 of them with callers, and an endpoint that takes 2 requests per second
    When it advertises that limit while no fault occurs
    Then a second later nearly all nodes have it
    And two seconds after the limit ends it gets nearly all requests

  Scenario: an endpoint with a limit of zero
    Then it still gets occasional requests within the tolerance, so that it can advertise a new limit

  Scenario: number of messages
    Then the messages of a node grow neither with the callers nor with the nodes
