Feature: a failing store is called by one caller of a node at a time

  # Guards against independent retries by the five callers of each node: while the store rejected all
  # nodes for seven seconds, the calls to it were the largest cost.

  Scenario: five callers and an unavailable store
    Given five callers that retry half a second after each failure
    When the store is unavailable for ten seconds, with twenty seeds
    Then it is called 3 times a second at most, by one caller at a time
    And each caller has its answer within 0.7 s of the store's recovery

  Scenario: a node that receives store updates from peers
    Given five callers at a node that receives store updates from peers
    When the store is unavailable for ten seconds, with twenty seeds
    Then it is called 1.3 times a second at most, by one caller at a time
    And each caller has its answer within 1.7 s of the store's recovery

  Scenario: an available store
    Then callers of an available store never wait for each other

  Scenario: a caller that is cancelled during its call
    Then the next one calls the store, and a conditional write does not wait
