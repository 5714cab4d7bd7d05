Feature: quotas of organisations over all nodes

  # Guards against quotas that no node can enforce alone: with 60 nodes that each see an organisation
  # once in ten seconds, neither a local count nor an even part of the quota bounds the total. No
  # window may exceed the tolerance, whatever faults nodes and links have, and an organisation within
  # its quota is refused by no node that reaches the others.

  Scenario: two nodes that could each admit the whole quota
    When an organisation sends four times its burst to two nodes in turn
    Then endpoints run no more than its quota and the tolerance allow
    And the rest gets 429 with a retry time, and other organisations are served

  Scenario: refund of requests that no endpoint ran
    When a full endpoint rejects requests of an organisation with a small quota
    Then as many are served as the quota allows once the endpoint has room

  Scenario: a caller that always sends the same id
    When an organisation sends four times its burst under the same id
    Then endpoints run no more than its quota and the tolerance allow

  Scenario: a second run is charged as well
    When a request is run by two endpoints
    Then both runs are counted for its organisation

  Scenario: a route without a key, and an organisation without a quota
    Then no holder is asked about their requests

  Scenario Outline: simulated fleets
    Given a simulated fleet of <nodes> nodes
    When <organisation> sends <times> times its usual rate while <fault>
    Then in no window does more run than is tolerated, with four seeds
    And at most <refused> in 1,000 requests of organisations within their quota are refused

    Examples: no faults
      | nodes | organisation | times | fault           | refused |
      | 8     | the largest  | 7.5   | no fault occurs | 0       |
      | 60    | the largest  | 7.5   | no fault occurs | 0       |
      | 60    | a middle one | 7.5   | no fault occurs | 0       |
      | 60    | the largest  | 1.6   | no fault occurs | 0       |
      | 195   | the largest  | 7.5   | no fault occurs | 0       |

    Examples: nodes that crash or freeze
      | nodes | organisation | times | fault                   | refused |
      | 60    | the largest  | 7.5   | one holder crashes      | 1       |
      | 60    | the largest  | 7.5   | all holders crash       | 1       |
      | 60    | the largest  | 7.5   | half of the nodes crash | 1       |
      | 60    | the largest  | 7.5   | one holder freezes      | 1       |

    Examples: partitions; nodes that reach no holder refuse more
      | nodes | organisation | times | fault                      | refused |
      | 60    | the largest  | 7.5   | a third is partitioned off | 30      |
      | 60    | the largest  | 7.5   | the halves are partitioned | 30      |
      | 60    | the largest  | 7.5   | a third is isolated        | 60      |

  Scenario Outline: holders that leave, noticed by nodes at different times
    Given a simulated fleet of <nodes> nodes
    When the largest sends 7.5 times its usual rate while <count> of its holders leave within 15 s
    Then in no window does more run than is tolerated, with four seeds

    Examples:
      | nodes | count |
      | 20    | 1     |
      | 20    | 3     |
      | 60    | 2     |

  Scenario: a holder that is away briefly, as a VM that restarts
    # Guards against a restarted node that no node asks for 20 s (soak seed 98017): two thirds of the
    # quota are left, and requests within the quota are refused.
    Given a simulated fleet of 20 nodes
    When the largest sends 1.6 times its usual rate while 1 of its holders is away, noticed within 5 s
    Then in no window does more run than is tolerated, with four seeds
    And all of its holders are asked again

  Scenario: overlapping faults of all kinds
    Then no window exceeds the tolerance, whatever nodes crash, freeze or are partitioned

  Scenario: limits that change while requests run
    When the quota of an organisation above its limit is cut to a third
    Then a window later no more runs than the lower quota tolerates
    And when the quota is raised again the organisation gets it at once

  Scenario: refunded requests
    When half of the admitted requests are not run
    Then twice as many requests are admitted, and no more than the quota runs

  Scenario: duplicate and lost messages
    Then a request counts once, however often its holder is asked
    And a request that did not run is refunded once

  Scenario: nodes that discover each other at different times
    # Guards against three restarted nodes that see one, two and three nodes for up to 14 s, and so
    # use a whole quota, a half and a third.
    Then a node that counts fewer than three nodes divides a quota by three until all views have settled

  # Guards against a third of a quota that no node asks for after two of three nodes have started.
  Scenario: a node that counts only two of three nodes for some seconds after its start
    Then it asks the third node as soon as it counts it
    And a node that has divided a quota by two asks a new third node only later

  # Guards against a holder being left out for 16 s after a pause of some milliseconds.
  Scenario: several asks of one holder that time out at the same moment
    Then the holder is skipped as after one timeout, and for longer only after it was asked again

  # Guards against log lines that call a share used up when it is not.
  Scenario: a share that is used up and within its limit again
    Then each change is reported once, when a request is refused and when half of the share is free

  Scenario: memory stays bounded
    Then a holder drops empty buckets and old requests
    And a node drops the allowances of removed organisations

  Scenario: refused callers return one after the other
    Then each gets a later retry time, at the rate of the quota

  Scenario: nodes that reach no holder
    Then on average such nodes admit no more than their parts
