Feature: answers that end with their connection

  # Guards against truncated answers that look complete. Without a length or chunks, the close of a
  # connection ends an answer, and a crash of the endpoint closes it in the same way.

  Scenario: an endpoint crashes between two events of such a stream
    When engines crash after the first event of streams without length or chunks
    Then the caller of a stream that can't be resumed gets the event, and no proper end
    And the caller of one that can be gets the whole stream from another engine

  Scenario: an endpoint crashes in such a plain answer
    When one of two plain endpoints crashes in an answer without length or chunks
    Then the caller gets the whole answer of the other one

  Scenario: an endpoint crashes in a failure of its own
    When an engine crashes while it answers 500 without length or chunks
    Then the caller gets the failure without a proper end

  Scenario: a stream of any framing that ends inside an event
    When an engine ends the chunks of a stream inside an event
    Then the caller gets nothing of it, and no success

  Scenario: whole answers of this kind
    When endpoints that keep running answer without length or chunks
    Then the callers get whole answers, and the answers clear what they hold
