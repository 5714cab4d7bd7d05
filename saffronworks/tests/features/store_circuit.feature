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

  # Guards against a cut connection that counts as an outage, and against callers who wait for one.
  Scenario: a read of the latest changes after a call has ended badly
    Then after a cut connection it probes the store, and after a failure it fails without a call

  Scenario: a caller that is cancelled during its call
    Then the next one calls the store, and a conditional write does not wait

  # Guards against a probe that was a watch: the store answered it only after a change or the watch's
  # wait, so all other callers stood still and drains and configurations were known 4 s late.

  Scenario: the reset of a watch at any moment, and a change of what it followed
    When a watch is reset up to 0.6 s after a change of the other kind, and then its own kind changes
    Then that change is in force within half of the time that a node has

  Scenario: a probe whose answer is large
    Then other callers go on when its answer begins, and wait again if it fails

  Scenario: a probe without an answer
    Then other callers wait for a probe no longer than for its timeouts

  # Guards against more calls to a failing store for the sake of one reset connection.

  Scenario: an outage of the store that begins with the reset of both watches
    When the store fails for ten seconds, with twenty seeds
    Then a node calls a store that answers 503, refuses or resets 23 times at most, a silent one 14

  # Guards against a pause before the first probe after a reset, which delays news by that pause.
  Scenario: the reset of both watches of a node at once
    Then the first call after it waits for nothing, and the second reset adds no pause

  Scenario: a store that cuts every watch and answers every listing
    Then each cut costs a probe, and there are 3 cuts a second at most
