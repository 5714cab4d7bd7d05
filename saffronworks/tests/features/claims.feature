Feature: a request with an Idempotency-Key runs at most once through any node

  Scenario: any faults of the store let at most one request run
    Given any order of claims, lost replies, late writes and outages at two homes
    Then at most one request of a key may run, and a settled one makes room

  Scenario: a home that took over writes on, and the earlier one too
    Given a shard with claims of an earlier home
    When both homes are asked in turn
    Then both record their claims, and each knows those of the other

  Scenario: claims are written in groups, and old ones go
    When 50 requests with keys of one shard come while the shard is read
    Then all are recorded by one write
    And the next group is written only when some time has passed
    And after the time that claims are kept the next write leaves them out
    And an old key is free then, also where no write came between
    And a shard that is full refuses new keys and still answers those that it has

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
