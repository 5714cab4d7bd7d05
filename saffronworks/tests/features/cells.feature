Feature: the owner of a cell grants, assigns and reclaims

  Scenario: the first heartbeat of a node that has asked before takes nothing from it
    Given a cell with a request that decodes
    When the first heartbeat of its node arrives
    Then no stream is cancelled

  Scenario: a lapsed lease cancels until the engine acknowledges
    Given a cell with a request that decodes
    When its node is silent past the lease
    Then its decode stream is cancelled again and again until acknowledged

  Scenario: a slot whose cancel is not acknowledged is not granted anew
    Given a cell with a request that decodes
    When its node is silent past the lease
    Then its slot is not free before the engine acknowledges

  Scenario: a node that restarted holds nothing of what it held before
    Given a cell with a request that decodes
    When its node heartbeats with a new incarnation
    Then its decode stream is cancelled again and again until acknowledged

  Scenario: a late ask after the release brings nothing back
    Given a cell with a request that decodes
    When the request is released and its ask arrives late
    Then nothing is granted and nothing is queued

  Scenario: a lost grant is sent again when the ask is
    Given a cell with a request that was granted
    When the same ask arrives again
    Then the same grant is sent again

  Scenario: a new owner learns what is held before it grants
    Given a new owner of a cell whose slots are full
    When the entry node lists what it holds
    Then no prefill is granted for a slot that is taken

  Scenario: an orphan stream is cancelled after a grace period, a claimed one is not
    Given a new owner of a cell with one claimed and one orphan stream
    When the engine lists both for longer than the grace period
    Then only the orphan is cancelled

  Scenario: the owner never grants more decodes than slots and always drains
    Given any order of asks, ends, losses and ticks
    Then no endpoint is ever assigned more than its slots
    And when all is released nothing is held

  Scenario: a queue in its order agrees with a naive search
    Given any queue of waiting requests
    Then the request that is served next is the one a naive search finds

  Scenario: a burst of one organisation does not push out the others
    Given a queue with a burst of one organisation before one request of another
    Then the other organisation is served within the first few

  Scenario: a request that is late goes after one that can be in time, and does not starve
    Given a queue with one late request and a steady stream of others
    Then the late request is served neither first nor never

  Scenario: an endpoint that is leaving is given nothing, whatever waits
    Given a cell with two decode endpoints of which one is leaving
    When more requests come than the other has slots
    Then the one that is leaving is assigned nothing

  Scenario: a retry avoids the endpoint that failed the request
    Given a cell with two prefill endpoints that are alike
    Then a request that names one as failed is granted the other

  Scenario: a load report that lags or is lost does not count own work as foreign
    Given a decode endpoint on which this owner has just placed three requests
    When reports come late, some are lost, and then two show work of another
    Then own work was never counted twice, and the other's is

  Scenario: a long queue is not searched while no prefill endpoint can take work
    Given a cell whose prefill endpoint is busy and whose queue is long
    When asks come again and time passes
    Then the queue was not searched

  Scenario: cache events with gaps never leave a prefix that is not there
    Given any uses of prefixes in a small cache and polls of its events
    Then after each poll the owner believes in no prefix that the endpoint lacks

  Scenario: the predicted output lengths agree with a naive count
    Given any lengths of finished answers
    Then the share of longer ones is near a naive count and never grows with the length

  Scenario: no retry storm when half of the endpoints die
    Given a cell whose requests all fail
    Then the retries that go before others are bounded by the budget
    And none of the others is given up, and the queue stays bounded
