Feature: an endpoint answers with a status that can't be

  # Guards against such an answer that reaches a caller, and against one that is taken for an interim
  # answer: both of a request's sends then waited until its time was over.
  Scenario Outline: <answer> has an impossible status
    When <answer> comes with statuses that can't be, directly and over a relay
    Then no caller gets such a status, nor a success that is not another server's
    And each is answered well before its time is over
    And requests after it are served

    Examples:
      | answer          |
      | a page          |
      | a stream        |
      | a prefill       |
      | a reservation   |

  Scenario: a plain service of the own deployment answers with an impossible status
    When it answers with statuses that can't be
    Then the caller gets one 502, and the outcome is unknown
