Feature: rejections that promise that a request has not run

  Scenario: the deciding cores promise only what endpoints stated
    Then a plain request that an endpoint may have run is never told that it has not run
    And a generation that an endpoint may have run is never told that it has not run
    And a bar's promise is dropped once an endpoint may have run the request

  Scenario: a server that denies that a request was not executed
    Then an answer whose not-executed field is false promises nothing

  Scenario: on the whole path an unrepeatable request is promised only what its endpoint stated
    Then whatever bytes endpoints send, a plain request they may have run gets no promise
    And whatever bytes endpoints send, a generation they may have run gets no promise
    And a late copy of a refusal is not taken for the answer to the next run of its request

  # Guards against a copy of any answer that is taken for the answer to another send: the request is
  # then refused or sent again while it runs, or gets the answer of another request.
  Scenario: late copies of any answers are taken for no other answer
    Then with late copies of any answers, plain requests run once and get their own answers
    And with late copies of any answers, generations run once and get their own answers
