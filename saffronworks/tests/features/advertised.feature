Feature: endpoints that advertise a drain or a pause

  # Guards against requests sent to an endpoint that advertises a drain in its answers while the
  # store, whose entry would also keep requests away, is unavailable.
  Scenario: an endpoint drains during an outage of the store
    Given three endpoints of a service
    When one of them drains while the store does not answer, and callers send 24 requests a second
    Then it gets no request that was sent more than two seconds after its node relayed such an answer
    And all callers are served

  # Guards against a drain that is kept under an earlier start of the endpoint, and dropped with it
  # when the store shows the start that advertised it.
  Scenario: an endpoint restarts, and drains before the store shows its new start
    Given three endpoints of a service
    When one of them has restarted and drains, and the store shows its new start afterwards
    Then it gets no request that was sent more than two seconds after its node relayed such an answer
    And all callers are served

  # Guards against requests sent to an endpoint before the Retry-After of its rejection is over. A
  # rejection that only counts as a failure doesn't keep a near endpoint from being chosen until
  # three in a row open its circuit breaker.
  Scenario: an endpoint asks for a pause
    Given three endpoints of a service, of which one is in the nodes' availability zone
    When that endpoint rejects all requests with a pause of 4 s, and callers send 12 requests a second
    Then each node sends it at most two requests from half a second after such an answer until the pause ends
    And all callers are served

  Scenario: a decode engine and a prefill engine drain during an outage of the store
    Given two decode engines and two prefill engines
    When one of each kind drains while the store does not answer, and callers send 6 generations a second
    Then each gets at most two calls per node, and none after three seconds
    And all callers are served

  Scenario: the last endpoint of a service drains
    Given one endpoint of a service
    When it drains while the store does not answer, and callers send 24 requests a second
    Then it gets no request that was sent more than two seconds after its node relayed such an answer
    And earlier requests are served, and later ones rejected at once as not executed

  Scenario: a decode engine and a prefill engine ask for a pause
    Given two decode engines and two prefill engines
    When one of each kind rejects all requests with a pause of 4 s, and callers send 6 generations a second
    Then each node sends it at most two requests from half a second after such an answer until the pause ends
    And all callers are served

  Scenario: all endpoints of a service ask for a pause
    Given three endpoints of a service
    When all of them reject all requests with a pause of 4 s, and callers send 12 requests a second
    Then each node sends it at most two requests from half a second after such an answer until the pause ends
    And requests are rejected at once as not executed, with a retry time no earlier than the pause's end

  Scenario: a request for a service with blocked endpoints
    Then it is never sent to a blocked endpoint, whatever the blocks and the answers
    And if all endpoints are blocked it is refused at once, with the time until the first block ends
    And a generation avoids paused engines, and none of them counts as failed

  Scenario: duration of a pause
    Then it lasts until the latest end that was advertised, for one start of an endpoint
    And only a request with a reservation may be sent right after the pause began

  Scenario: duration of a drain
    Then only a restart of the endpoint ends it, whatever the store lists or the endpoint answers
    And another endpoint at the same address takes requests

  Scenario: parsing of header fields in answers
    Then a server drains if the field is 1; any other value is logged once and ignored
    And a pause is a plain number of seconds or a date, the longest of several
    And an answer from another server at the address is ignored
    And no field value raises an exception
    And each unknown field is logged once, up to a limit

  # Guards against a drain that was counted by the arrival of requests: one that had waited for a
  # permit, a reservation or a connection was sent seconds after the drain and lost with its endpoint.
  Scenario: a request that waits while the last endpoint of its service drains
    Then it is never sent later than the drain time after the drain began, however long it waited

  Scenario: an endpoint that advertises a drain after it was chosen and before the send
    Then nothing is sent, the endpoint does not count as failed, and its connection is reused
    And a generation is sent to another engine, without reporting a failure to the planner
