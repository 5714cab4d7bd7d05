Feature: a request with an Idempotency-Key runs at most once through any node

  Scenario: under any store faults at most one request of a key runs
    Given any order of claims, lost replies, late writes and outages at two shard owners
    Then at most one request of a key may run, and a settled claim frees its key

  Scenario: two nodes that both own a shard can write it in turn
    Given a shard with two owners
    When both owners get claims in turn
    Then both record their claims, and each sees those of the other

  Scenario: claims are written in batches, and expired ones are removed
    When 50 requests with keys of one shard arrive while the shard is read
    Then all are recorded by one write
    And the next batch is written only after the write interval
    And the next write after the retention time omits expired claims
    And an expired key is free even if no write has removed it
    And a full shard rejects new keys and still answers recorded ones

  Scenario: a caller that retries at another node after the first one died
    When an unrepeatable request with a key loses its node and is sent to another
    Then the second is told unknown
    And it was dispatched once

  Scenario: the store is down when an unrepeatable request with a key comes
    When an unrepeatable request with a key comes in a store outage
    Then it is told not run and nothing was dispatched
    And when the store is back the same key runs

  Scenario: a claim whose write reply was lost is resolved by reading the shard
    When an unrepeatable request with a key comes while the store loses a reply
    Then it is answered whole

  Scenario: a plain call with a key is sent on once
    When one plain call with a key is sent through two nodes
    Then the service ran it once and the second is told unknown

  # Guards against a request that a draining node refuses as not run, and whose key stays taken.
  Scenario: a request is refused while its key is being claimed
    When a claim is cancelled before and after its reply has come
    Then the owner of the key is told each time that the request did not run
