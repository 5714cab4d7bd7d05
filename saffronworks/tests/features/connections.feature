Feature: what an endpoint sends belongs to one request

  Scenario: an answer that came twice is not taken for that of a call without an id
    When an answer comes once more in place of the next one, which is a call of the router's own
    Then that call gets its own answer, and the connection is not used again

  Scenario: fields after a body are none of the head
    When an answer in chunks has a signature after its body
    Then its head has none

  Scenario: a body after the head that was asked for spoils the connection
    When an endpoint answers a request for the head with a part of a body
    Then the connection is not used again

  Scenario: a late copy of a refusal without an id is taken for no request's answer
    When a request is answered without an id
    Then the connection is not used again
    And one on which a call of the router's own was refused serves such calls only

  Scenario: a connection that is not read from
    Then an endpoint that this node does not read from does not count as silent
    And a connection that was left paused is read from again for the next request
