Feature: each request gets one whole answer

  Scenario: late, duplicate, lost and reordered events never duplicate or break an answer
    Given any order of events for a repeatable request
    Then every token reaches the caller once and in order

  Scenario: the outcome not-run is returned only when nothing can have run
    Given any order of events for a repeatable request
    Then a request with the outcome not-run was never accepted by an endpoint
    Given any order of events for an unrepeatable request
    Then a request with the outcome not-run was never accepted by an endpoint

  Scenario: an unrepeatable request runs at most once
    Given any order of events for an unrepeatable request
    Then at most one endpoint can have run it

  Scenario: endpoint work of a failed or cancelled request is cancelled
    Given any order of events for a repeatable request
    Then each endpoint that held work for a request without a whole answer got a cancel

  Scenario: after an engine dies mid-stream, another one continues at the offset
    Given a request that streams from an engine
    When the engine dies after 3 tokens
    Then a new attempt asks for a grant
    And the next decode starts at offset 3

  Scenario: a broken stream is resumed on the same engine
    Given a request that streams from an engine
    When the connection breaks after 2 tokens
    Then the stream is resumed at offset 2

  Scenario: a grant for an older attempt is ignored
    Given a request that streams from an engine
    When the engine dies after 3 tokens
    And a grant of attempt 1 arrives
    Then no command is returned

  Scenario: a late break of an older attempt's stream is ignored
    Given a request that streams from an engine
    When the engine dies after 3 tokens
    And the next attempt streams and the old stream breaks again
    Then no command is returned

  Scenario: a request refused for overload ends at once
    Given a request that waits for a grant
    When its owner refuses it for overload
    Then the outcome is not run

  Scenario: the engine receives the time left until the deadline
    Given a request that waits for a grant
    When it is granted a prefill 300 ms before its deadline
    Then the prefill order says to begin within 300 ms
