Feature: the owner of a cell grants, assigns and reclaims

  Scenario: the first heartbeat of a node that already holds an attempt cancels nothing
    Given a cell with a request that decodes
    When the first heartbeat of its node arrives
    Then no stream is cancelled

  Scenario: the cancels of a lapsed lease are repeated until the engine acknowledges them
    Given a cell with a request that decodes
    When its node sends no heartbeat until its lease has lapsed
    Then the cancel of its decode stream is repeated until acknowledged

  Scenario: a slot is not granted again before its cancel is acknowledged
    Given a cell with a request that decodes
    When its node sends no heartbeat until its lease has lapsed
    Then its slot is not free before the engine acknowledges the cancel

  Scenario: the attempts of a node that restarted are cancelled
    Given a cell with a request that decodes
    When its node heartbeats with a new incarnation
    Then the cancel of its decode stream is repeated until acknowledged

  Scenario: a late ask after the release is ignored
    Given a cell with a request that decodes
    When the request is released and its ask arrives late
    Then nothing is granted and nothing is queued

  Scenario: a lost grant is sent again when the ask is repeated
    Given a cell with a request that was granted
    When the same ask arrives a second time
    Then the same grant is sent again

  Scenario: a new owner counts held attempts before it grants
    Given a new owner of a cell whose slots are full
    When the entry node lists its held attempts
    Then no prefill is granted for a slot that is taken

  Scenario: an orphan stream is cancelled after a grace period, a claimed one is not
    Given a new owner of a cell with one claimed and one orphan stream
    When the engine lists both for longer than the grace period
    Then only the orphan is cancelled

  Scenario: the owner never assigns more decodes than slots and holds nothing after all releases
    Given any order of asks, releases, lost messages and ticks
    Then no endpoint is ever assigned more than its slots
    And when all attempts are released none is held

  Scenario: the choice of the queue agrees with a naive search
    Given any queue of waiting requests
    Then the request that is served next is the one a naive search finds

  Scenario: a burst of one organisation does not starve the others
    Given a queue with a burst of one organisation before one request of another
    Then the other organisation is served within the first three

  Scenario: a request that is late goes after one that can be in time, and does not starve
    Given a queue with one late request and a steady stream of others
    Then the late request is served neither first nor never

  Scenario: a draining endpoint gets no new work, however long the queue
    Given a cell with two decode endpoints of which one is draining
    When more requests arrive than the other endpoint has slots
    Then the draining endpoint is assigned nothing

  Scenario: a retry avoids the endpoint that failed the request
    Given a cell with two equal prefill endpoints
    Then a request that one of them failed is granted the other

  Scenario: late or lost load reports do not count the owner's own decodes as foreign
    Given a decode endpoint to which this owner has just assigned three requests
    When reports are late, some are lost, and then two in a row show decodes of another owner
    Then only the decodes of the other owner are counted as foreign

  Scenario: the queue is not searched while no prefill endpoint can take work
    Given a cell whose prefill endpoint is busy and whose queue is long
    When asks are repeated and ticks pass
    Then the queue was not searched

  Scenario: after cache events with gaps no evicted prefix is expected in the cache
    Given any uses of prefixes in a small cache and polls of its events
    Then after each poll the owner expects no prefix that the endpoint has evicted

  Scenario: the predicted output lengths agree with a naive count
    Given any lengths of finished answers
    Then the estimated share of longer answers matches a naive count and never grows with the length

  Scenario: no retry storm when half of the endpoints die
    Given a cell whose requests have all failed and are retried
    Then the retries that go first are bounded by the retry budget
    And the other retries wait, and are refused only when the queue is full
