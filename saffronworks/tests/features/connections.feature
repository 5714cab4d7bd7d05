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
    And a connection on which a control call was refused serves only control calls

  # Guards against exchanges that wait for their own timeout, because the path was cut after the
  # endpoint acknowledged the request, and against ones that end while a sound endpoint is silent.
  Scenario: an exchange that waits for its answer is probed
    Then connections to endpoints are probed each second, and fail after more than two

  Scenario: reading from a connection is paused
    Then an endpoint does not count as silent while reading from it is paused
    And a paused connection resumes reading for the next request
