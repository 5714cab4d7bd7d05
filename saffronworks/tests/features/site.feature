Feature: a site on sockets carries each request to one whole answer

  Scenario: a streamed and an unstreamed answer are equal
    When one prompt is asked streamed and unstreamed
    Then both answers are whole and equal

  Scenario: bad input gets a clear error
    When a body with three mistakes and a body with an unknown model are sent
    Then the first gets status 400 and names all three fields
    And the second gets status 404

  Scenario: a caller that hangs up leaves no engine memory held
    When a caller hangs up in the middle of its stream
    Then no engine memory stays held

  Scenario: parallel callers each get exactly their own answer
    When 200 callers ask at once with patience
    Then each has its own whole answer or is told not run
    And no engine memory stays held

  Scenario: an engine that doubles and delays its tokens doubles no answer
    When callers ask while a decode engine doubles its tokens
    Then every answer is whole

  Scenario: an engine that drops its streams has them resumed
    When callers ask while a decode engine drops its streams now and then
    Then every answer is whole

  Scenario: an engine that dies in the middle loses no answer
    When callers ask while a decode engine dies
    Then every answer is whole
    And no engine memory stays held

  Scenario: a stalled transfer is given up and the request placed anew
    When callers ask while transfers of a prefill engine stall for a while
    Then every answer is whole
    And no engine memory stays held

  Scenario: an engine runs no prefill past its deadline and holds no stalled transfer for long
    When an engine gets a prefill that it can begin only too late, and a decode that stalls
    Then it refused the prefill unexecuted and gave the decode's slot up

  Scenario: an unrepeatable request whose engine died is told unknown and run once
    When an unrepeatable request loses its engine in the middle
    Then it is told unknown
    And it was dispatched once

  # Guards against the silence of an engine that is taken for its end, where nothing may follow.
  Scenario Outline: an unrepeatable request survives an engine that is silent during its <stage>
    When an unrepeatable request meets an engine that is silent for 1.5 s during its <stage>
    Then every answer is whole
    And it was dispatched once

    Examples:
      | stage    |
      | prefill  |
      | transfer |
      | decode   |

  Scenario: a node that dies leaves no engine memory held
    When a node dies under streams
    Then no engine memory stays held
    And the other nodes still answer

  Scenario: the owner of the cell dies and another node takes its place
    When the owner dies under streams of another node
    Then every answer of the other node is whole
    And no engine memory stays held

  Scenario: owner and entry node die together
    When the owner and another entry node die together under streams
    Then no engine memory stays held
    And the other nodes still answer

  Scenario: a planned stop cuts off no request in flight
    When a node is stopped under streams
    Then every answer is whole

  Scenario: an endpoint that is leaving gets no new work
    When a decode endpoint is marked as leaving under load
    Then its running work ends and it gets nothing new

  Scenario: requests are served through a store outage
    When the store is down while callers ask
    Then every answer is whole

  Scenario: connections to engines are used again
    When 9 callers ask one after the other through one node
    Then every answer is whole
    And the decode engines saw fewer connections than requests

  Scenario: plain calls are retried only where that runs nothing twice
    When plain calls meet an endpoint that cuts connections
    Then the repeatable call is answered and the unrepeatable one ran once and is told unknown

  # Guards against a stand-in engine that counts memory of a call which arrived as the engine died.
  Scenario: a stand-in engine that was killed holds nothing
    When a stand-in engine is killed while the body of a decode or prefill call arrives
    Then the dead engine holds no memory
