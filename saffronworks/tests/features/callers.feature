Feature: a request ends with its caller, whatever else waits for it

  Scenario: a caller that leaves is noticed behind a full mailbox
    When a caller stops reading, its request's mailbox fills up, and it leaves
    Then the request ends, and its engines are told

  Scenario: a grant of an endpoint that this node does not know
    When the owner grants a prefill at an endpoint that this node does not know
    Then the caller is told an outcome

  Scenario: a request that this node itself fails is told and counted
    When an error that nobody foresaw meets a request before and after its first token
    Then each caller is told unknown, the second by an event and a cut
    And each is counted as unknown, not as a caller that left
