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

  # Guards against truncated answers that look complete as a later start listens at the address.
  Scenario Outline: an endpoint crashes in such an answer and is back soon at its address
    When endpoints crash in answers and start again <down_s> s later with <id> id
    Then no caller gets a proper end of an answer that was cut off

    Examples:
      | down_s | id  |
      | 0.0    | new |
      | 0.05   | new |
      | 0.1    | new |
      | 0.25   | new |
      | 0.5    | new |
      | 0.05   | its |
      | 0.1    | its |
      | 0.25   | its |
      | 0.5    | its |

  Scenario: whole answers of this kind
    When endpoints that keep running answer without length or chunks
    Then the callers get whole answers, and the answers clear what they hold

  # Guards against one health check for each of many answers that end together, and against a node
  # that stands still as one is asked for in the turn of the event loop in which another one ends.
  Scenario: answers that end together share the checks of their endpoint
    When answers of one endpoint end before, during and at the end of a check of its identity
    Then those that end during it share the next check, and each gets a reply that began later
