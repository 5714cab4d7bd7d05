Feature: each request gets one whole answer

  Scenario: late, doubled, lost and reordered input never doubles or tears an answer
    Given any order of events for a repeatable request
    Then every token reaches the caller once and in order

  Scenario: not run is only said when nothing can have run
    Given any order of events for a repeatable request
    Then a request that is told not run was never taken by an endpoint
    Given any order of events for an unrepeatable request
    Then a request that is told not run was never taken by an endpoint

  Scenario: an unrepeatable request runs at most once
    Given any order of events for an unrepeatable request
    Then at most one endpoint can have run it

  Scenario: what a finished request held is cancelled or released
    Given any order of events for a repeatable request
    Then at its end each endpoint that holds something was told to cancel

  Scenario: an engine that died in the middle is replaced at the offset
    Given a request that streams from an engine
    When the engine dies after 3 tokens
    Then a new attempt asks for a grant
    And the next decode starts at offset 3

  Scenario: a broken stream is resumed on the same engine
    Given a request that streams from an engine
    When the connection breaks after 2 tokens
    Then the stream is resumed at offset 2

  Scenario: a grant that answers an older attempt changes nothing
    Given a request that streams from an engine
    When the engine dies after 3 tokens
    And a grant of attempt 1 arrives
    Then nothing is commanded

  Scenario: a stream of an older attempt that breaks late ends nothing
    Given a request that streams from an engine
    When the engine dies after 3 tokens
    And the next attempt streams and the old stream breaks again
    Then nothing is commanded

  Scenario: a request that cannot be in time is told so at once
    Given a request that waits for a grant
    When its owner refuses it for overload
    Then the outcome is not run

  Scenario: the deadline goes on to the engine, as what is left of it
    Given a request that waits for a grant
    When it is granted a prefill 300 ms before its deadline
    Then the engine is told to begin within 300 ms
