Feature: a rejection that promises that a request has not run is true

  Scenario: whatever happens, the deciding cores promise only what endpoints stated
    Then a plain request that an endpoint may have run is never told that it has not run
    And a generation that an endpoint may have run is never told that it has not run
    And a bar that promises it is not passed on once an endpoint may have run the request

  Scenario: a server that denies that a request was not executed
    Then an answer whose field says that it was executed is no statement that it was not

  Scenario: on the whole path a request that may not repeat is promised only what its endpoint stated
    Then whatever bytes endpoints send, a plain request they may have run gets no promise
    And whatever bytes endpoints send, a generation they may have run gets no promise
