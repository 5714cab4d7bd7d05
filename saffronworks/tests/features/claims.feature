Feature: a request with an Idempotency-Key runs at most once through any node

  Scenario: any faults of the store let at most one request run
    Given any order of claims, lost replies and outages on one key
    Then at most one of the requests may run, and a settled one makes room

  Scenario: a caller that retries at another node after the first one died
    When an unrepeatable request with a key loses its node and is sent to another
    Then the second is told unknown
    And it was dispatched once

  Scenario: the store is down when an unrepeatable request with a key comes
    When an unrepeatable request with a key comes in a store outage
    Then it is told not run and nothing was dispatched
    And when the store is back the same key runs

  Scenario: a claim whose reply was lost is settled by reading back
    When an unrepeatable request with a key comes while the store loses a reply
    Then it is answered whole

  Scenario: a plain call with a key is sent on once
    When one plain call with a key is sent through two nodes
    Then the service ran it once and the second is told unknown
