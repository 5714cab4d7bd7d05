Feature: quotas of organisations over all nodes

  # Seen: a limit of one organisation was held by nobody; with 60 nodes that each see it once in ten
  # seconds, neither a node's own count nor an even part of the limit says anything of the whole.
  # Aim: whatever happens to nodes and their links, no window goes beyond what the operator
  # tolerates; who stays within its quota is refused by nobody who hears the others.

  Scenario: two nodes that each could take the whole quota for theirs
    When an organisation asks for four times its burst at two nodes in turn
    Then endpoints run no more than its quota allows, with all that is tolerated beyond
    And the rest is told 429 with a time to return, and other organisations are served

  Scenario: what no endpoint ran is given back
    When an endpoint that is full turns away requests of an organisation with a small quota
    Then as many are served as the quota allows once the endpoint has room

  Scenario: a caller who always sends the same id
    When an organisation asks for four times its burst, each time under the same id
    Then endpoints run no more than its quota allows, with all that is tolerated beyond

  Scenario: a second run counts as well
    When a request is run by two endpoints
    Then both runs are counted for its organisation

  Scenario: a route that needs no key, and an organisation without a quota
    Then no holder is asked of their requests

  Scenario Outline: fleets on virtual time
    Given a quota fleet of <nodes> nodes
    When <organisation> asks for <times> times its usual while <trouble>
    Then in no window more runs than is tolerated, with four seeds
    And <refused> in 1,000 requests of organisations within their quota are refused at most

    Examples: all in touch
      | nodes | organisation | times | trouble        | refused |
      | 8     | the largest  | 7.5   | nothing occurs | 0       |
      | 60    | the largest  | 7.5   | nothing occurs | 0       |
      | 60    | a middle one | 7.5   | nothing occurs | 0       |
      | 60    | the largest  | 1.6   | nothing occurs | 0       |
      | 195   | the largest  | 7.5   | nothing occurs | 0       |

    Examples: nodes that end or stand still
      | nodes | organisation | times | trouble                    | refused |
      | 60    | the largest  | 7.5   | one holder ends            | 1       |
      | 60    | the largest  | 7.5   | all holders end            | 1       |
      | 60    | the largest  | 7.5   | half of the nodes end      | 1       |
      | 60    | the largest  | 7.5   | a holder stands still      | 1       |

    Examples: nodes that hear only some others; those that hear no holder refuse more
      | nodes | organisation | times | trouble                       | refused |
      | 60    | the largest  | 7.5   | a third hears only itself     | 30      |
      | 60    | the largest  | 7.5   | the halves hear only themselves | 30    |
      | 60    | the largest  | 7.5   | a third of them hear nobody   | 60      |

  Scenario Outline: holders that leave, which nodes come to know at different times
    Given a quota fleet of <nodes> nodes
    When the largest asks for 7.5 times its usual while <count> of its holders leave within 15 s
    Then in no window more runs than is tolerated, with four seeds

    Examples:
      | nodes | count |
      | 20    | 1     |
      | 20    | 3     |
      | 60    | 2     |

  Scenario: a holder that is away for a moment, as a VM that starts again
    # Found by a soak, seed 98017: a node that had stopped and started was asked by nobody for 20 s,
    # so that two thirds of a quota were left, and requests within it were refused.
    Given a quota fleet of 20 nodes
    When the largest asks for 1.6 times its usual while 1 of its holders is away, known within 5 s
    Then in no window more runs than is tolerated, with four seeds
    And all of its holders are asked again

  Scenario: troubles of all kinds, one across the other
    Then whatever nodes end, stand still or hear nobody, no window goes beyond what is tolerated

  Scenario: limits that change while requests run
    When the quota of an organisation that asks for too much is cut to a third
    Then a window later no more runs than the lower quota tolerates
    And when it is raised the organisation gets that at once

  Scenario: runs that are given back
    When half of the requests that are admitted are not run
    Then an organisation gets twice as many admitted, and none beyond its quota runs

  Scenario: messages that come twice, late or not at all
    Then a request counts once, however often its holder is asked
    And what was not run is given back once

  Scenario: nodes that know each other at different times
    # Found by a soak of three nodes that stopped and started: one knew itself alone for 14 s, one
    # knew two and one three, so that they held a whole quota, a half and a third.
    Then a node that has counted fewer than three divides a quota by three until all know that

  # Guards against a third of a quota that no node asks for after two of three nodes have started.
  Scenario: a node that counts only two of three nodes for some seconds after its start
    Then it asks the third one as soon as it counts it
    And one that has divided a quota by two asks a new third one only later

  # Guards against a holder being left out for 16 s after a pause of some milliseconds.
  Scenario: several asks of one holder that go unanswered in the same moment
    Then the holder is passed over as after one, and longer only after it was asked again

  # Guards against log lines that call a share used up when it is not.
  Scenario: a share that is used up and within its limit again
    Then each change is told once, when a request is refused and when half of the share is free

  Scenario: memory stays bounded
    Then a holder forgets organisations that owe nothing, and requests that are long over
    And a node alone forgets organisations that are gone

  Scenario: refused callers return one after the other
    Then each is told a later time, at the pace of the quota

  Scenario: a node that hears no holder
    Then what such nodes admit stays within their parts in the mean
