Feature: a store at fault is asked by one caller of a node at a time

  # Seen: on days on which the store turns all nodes away for seven seconds, calls to it were the
  # largest price: five callers of each node asked again and again, and knew nothing of each other.

  Scenario: five callers and a store that is away
    Given five callers that ask again half a second after each failure
    When the store is away for ten seconds, with twenty seeds
    Then it is asked 3 times a second at most, by one caller at a time
    And each caller has its answer within 0.7 s of the store's return

  Scenario: a node that others tell of the store
    Given five callers at a node that others tell of the store
    When the store is away for ten seconds, with twenty seeds
    Then it is asked 1.3 times a second at most, by one caller at a time
    And each caller has its answer within 1.7 s of the store's return

  Scenario: a store that answers
    Then callers of a store that answers never wait for each other

  Scenario: a caller who gives up while it asks
    Then the next one asks, and a write under a condition waits for nobody
