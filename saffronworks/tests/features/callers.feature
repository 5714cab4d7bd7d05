Feature: a request ends with its caller, whatever else waits for it

  Scenario: a caller that leaves is noticed behind a full mailbox
    When a caller stops reading, its request's mailbox fills up, and it leaves
    Then the request ends, and its engines are told

  Scenario: a grant of an endpoint that this node does not know
    When the owner grants a prefill at an endpoint that this node does not know
    Then the caller is told an outcome
