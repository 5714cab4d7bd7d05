Feature: planned ends of nodes and of endpoints

  # Guards against requests cut by the planned end of their node without a word to caller or log.
  Scenario: a planned end of a node answers or cuts each open request, and logs it
    When a node is stopped while requests take longer than its grace
    Then one that a server may have run gets 504 with its id, and one that waits a true refusal
    And a begun stream is cut, and the log gives the reason for each of the three
