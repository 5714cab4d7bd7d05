Feature: endpoints that fail stay away, and come back with care

  Scenario: an endpoint that failed comes back by one trial, then by slow start
    Given a decode endpoint whose connection was refused
    Then it takes nothing until its circuit half opens, and then a single trial
    And a trial whose end is never heard of makes room for another one
    And after a success its slots come back bit by bit

  Scenario: failures in a row put out half of a role's endpoints at most, but all that are gone
    Given a cell with four decode endpoints
    When all of them fail again and again
    Then two of them still take work
    And when their connections are refused none does

  Scenario: an endpoint that was unreachable is back as soon as it answers a report
    Given a cell whose decode endpoint refused a connection
    When it answers a load report after its circuit's time
    Then it takes work again by slow start
    And when it refuses again in its slow start it stays away twice as long
