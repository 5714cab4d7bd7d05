Feature: circuits keep failed endpoints out of use and readmit them gradually

  Scenario: a failed endpoint is readmitted by a single trial, then by slow start
    Given a decode endpoint whose connection was refused
    Then it takes no work until its circuit is half open, and then a single trial
    And a trial without a recorded outcome times out and allows another one
    And after a success its usable slots grow to all of them by slow start

  Scenario: failures in a row open at most half of the circuits of a role, refused connections all
    Given a cell with four decode endpoints
    When all of them fail repeatedly
    Then two of them still take work
    And when their connections are refused none of them takes work

  Scenario: an unreachable endpoint is readmitted when it answers a load report
    Given a cell whose decode endpoint refused a connection
    When it answers a load report after the open time of its circuit
    Then it takes work again by slow start
    And a refused connection in slow start doubles the open time of its circuit
