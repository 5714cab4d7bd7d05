Feature: callers that read slowly or not at all take a bounded part of a node's memory

  Scenario: the answers with the most bytes are paused first
    Given a bound of 1000 bytes over the answers of a node
    Then below three quarters of the bound no answer is paused
    And at the bound those with the most bytes are paused, and the others continue
    And beyond the bound every answer with buffered bytes is paused
    And the answers that continue can always double their bytes within the bound
    And answers are paused until half of the bound is free again

  Scenario: a caller that reads nothing is disconnected only if it blocks an endpoint or memory
    Given a bound of 1000 bytes over the answers of a node
    Then it is disconnected once its endpoint was paused for the whole timeout
    And below the bound a caller that blocks no endpoint stays connected

  Scenario: without a memory limit nothing is bounded
    Then settings without a memory limit or slow readers give no bound, others an eighth of it

  Scenario: callers that read nothing, slowly and fast
    When four callers read nothing of large answers, one reads slowly and one fast
    Then the fast caller's answer is complete and quick, and the slow one's is complete
    And the bytes buffered stay within the bound
    And those that read nothing are disconnected and counted, and their server stops its work
