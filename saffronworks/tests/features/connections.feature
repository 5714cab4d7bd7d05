Feature: answers on a connection are matched to their requests

  Scenario: a duplicate answer is not taken for the answer to a call without an id
    When a duplicate of the previous answer arrives before the answer to a control call
    Then the control call gets its own answer, and the connection is not reused

  Scenario: trailer fields are not part of the head
    When a chunked answer has a trailer after its body
    Then its head does not contain the trailer field

  Scenario: a body in the answer to a HEAD request makes the connection unusable
    When an endpoint answers a HEAD request with a part of a body
    Then the connection is not reused

  # Guards against requests that are lost as they are sent on a connection that the endpoint has
  # closed, in a turn of the event loop that has not read the close yet.
  Scenario: an idle connection whose close is not read yet is not reused
    When an endpoint closes an idle connection, and another request follows in the same turn
    Then a request is sent on another connection

  Scenario: a late duplicate of a refusal without an id is not taken for the answer to another request
    When a request is answered without an id
    Then the connection is not reused
    And a connection on which a control call was refused serves only control calls, a moment later
    And the own answer of a control call that was answered by a copy answers no other call

  # Guards against requests that are sent again, reservations that leak and 504s while the answer
  # has arrived, because the node was suspended or late.
  Scenario: an answer that is read in the turn in which its timeout ends
    Then its head and its body are returned
    And a body that has only begun is endless

  # Guards against an overloaded endpoint that gets a new connection for each rejected reservation,
  # and against usable connections that are closed to keep those of rejected reservations.
  Scenario: connections of rejected reservations
    When 100 reservations are rejected within 600 ms
    Then at most 8 connections were opened
    And idle connections that serve only control calls make room first

  # Guards against exchanges that wait for their own timeout, because the path was cut after the
  # endpoint acknowledged the request, and against ones that end while a sound endpoint is silent.
  Scenario: an exchange that waits for its answer is probed
    Then connections to endpoints are probed each second, and fail after more than two

  Scenario: reading from a connection is paused
    Then an endpoint does not count as silent while reading from it is paused
    And a paused connection resumes reading for the next request

  # Guards against requests that fail, and reservations that two requests share, because a late copy
  # of the answer to a control call, which has no id, is taken for the answer to the next call.
  Scenario: a late copy of the answer to a control call answers no other call
    Then a request after a control call gets the answer with its id
    And a control call rejects answers with the ids of all earlier requests
    And a reservation that was granted before is not granted again
    And a control call of another node goes out on a connection of its own
    And an order of a role is not accepted by a copy of another call's success
    And an order of a role is not sent if its connection is opened too late
    And a node's rejection without an id is accepted after a control call

  # Guards against callers that wait to their deadline because the endpoint answers without an id,
  # and against requests that are given up while their answer follows a late copy.
  Scenario: an answer without an id after a control call
    Then it is accepted once a copy of the control call's answer can't come any more
    And one with another status soon ends the exchange as sent, if no other answer follows
    And one with the control call's status does not end the exchange

  # Guards against a run that fails by the copy of its reservation's answer, which a suspended
  # endpoint sent late.
  Scenario: a suspended endpoint sends the copy of a control call's answer more than a second later
    Then the request gets the answer with its id

  # Guards against a late copy of a 503 that is taken for the answer to the next send of the same
  # request, so that this is refused or sent elsewhere while it runs.
  Scenario: a connection never carries the same request twice
    Then requests that are sent again, directly or for another node, go out on other connections
    And a connection on which the same request was sent is kept for other requests
    And a connection is closed before it forgets a request that it has carried

  # Guards against a doubled or wrongly refused request whose log doesn't tell that a late copy of
  # an earlier answer may be the cause.
  Scenario: answers that can't be matched to one request are logged and counted
    Then the log tells of a discarded answer, of unrequested bytes and of a request sent before
    And ten such lines a second are logged, and all are counted
