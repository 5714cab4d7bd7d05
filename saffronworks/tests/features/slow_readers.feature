Feature: callers that read slowly or not at all take a bounded part of a node's memory

  Scenario: the answers with the most bytes wait first
    Given a bound of 1000 bytes over the answers of a node
    Then below three quarters of the bound no answer waits
    And at the bound those with the most bytes wait, and others go on
    And beyond the bound every answer that has bytes waits
    And whatever is buffered, those that go on can double it within the bound
    And answers wait until half of the bound is free again

  Scenario: a caller that reads nothing is disconnected only where others need what it holds
    Given a bound of 1000 bytes over the answers of a node
    Then it is disconnected once it has left its endpoint waiting for the whole limit
    And while the bound is not reached one that holds up no endpoint stays

  Scenario: without a memory limit nothing is bounded
    Then settings that name no memory limit or no slow readers give no bound, others an eighth of it

  Scenario: callers that read nothing, slowly and fast
    When four callers read nothing of large answers, one reads slowly and one fast
    Then the fast caller's answer is whole and quick, and the slow one's is whole
    And the bytes buffered stay within the bound
    And those that read nothing are disconnected and counted, and their server stops its work
