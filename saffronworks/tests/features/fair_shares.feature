Feature: fair shares of decode memory among organisations

  Scenario: three organisations at six times the usual load beside thirteen usual ones
    # Without shares 68 in 100 requests of the usual organisations were in time, with them 92.
    Given three large organisations with six times the load of thirteen usual ones
    Then nine in ten requests of the usual organisations are granted in time
    And each large organisation holds at least as much memory as a usual one, at all times
    And as much memory is used as without shares

  Scenario: an organisation that uses two names
    Given a large organisation, and one with the same load under two names
    Then the usual organisations are served nearly as before
    And neither name holds more memory than the large organisation

  Scenario: a new organisation
    Given an organisation that starts while others overload the service
    Then its requests are granted in time from the first one on

  Scenario: requests without an organisation
    Given many requests without an organisation beside usual organisations
    Then they share as one organisation, and the usual organisations are in time

  Scenario: an organisation with many retries
    Given two organisations above their shares, one of which retries five times
    Then it holds hardly more memory

  Scenario: a planner without history takes over
    Given three large organisations while a second planner takes over
    Then the usual organisations are still in time
    And the memory of reported runs counts from the start

  Scenario: shares have no effect where memory is not shared
    Then requests of one organisation with any priorities are planned as without shares
    And requests of many organisations are also planned so while there is room for all
    And requests that waited for a new plan are granted in the order of their arrival
    And a grant that found no room is charged once

  Scenario: the fair levels of both queues
    Then the level for unknown demands is the mean times a factor
    And the level for known demands divides the whole service by max-min fairness

  Scenario: more organisations than the limit of the state
    Given a plan with requests of 29,000 organisations
    Then its state is bounded, and an update takes some milliseconds
    And its log lines and metrics are bounded

  Scenario: a rejection above the organisation's share
    Then the planner's log line and saffronctl explain show the excess of its organisation
