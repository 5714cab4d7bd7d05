Feature: fair shares of decode memory among organisations

  Scenario: three organisations at six times their usual load beside thirteen usual ones
    # Without shares the usual ones were in time for 68 in 100 requests, with them for 92.
    Given three organisations that ask for six times as much as thirteen others
    Then nine in ten requests of the usual organisations are granted in time
    And each of the others holds no less memory than a usual one, and at all times
    And as much memory is used as without shares

  Scenario: an organisation that asks under two names
    Given a large organisation, and one that asks as much under two names
    Then the usual organisations are served nearly as before
    And neither name holds more than the large organisation did

  Scenario: an organisation that was not there before
    Given an organisation that begins to ask while others ask for too much
    Then it is granted in time from its first request on

  Scenario: requests without an organisation
    Given many requests without an organisation beside usual organisations
    Then they share as one organisation, and the usual ones are in time

  Scenario: an organisation whose callers ask again and again
    Given two organisations that ask for too much, and one of them tries five times
    Then it holds hardly more memory for that

  Scenario: a planner without history takes over
    Given three large organisations when a second planner takes over
    Then the usual organisations are in time after that, too
    And what runs hold counts from the start

  Scenario: nothing changes where nothing is to be shared
    Then one organisation of any priorities is planned for as without shares
    And so are many while there is room for all
    And those who waited for a plan to begin are granted as they came
    And a grant that found no room is charged once

  Scenario: the levels of both queues
    Then the level with unknown demands is the widened mean, as the cells' queues had it
    And the level with known demands shares out all there is by max-min fairness

  Scenario: more organisations than state is kept for
    Given a plan with asks of 29,000 organisations
    Then it keeps what is bounded, and a look at them takes some milliseconds
    And its log lines and metrics are bounded

  Scenario: a rejection beyond the organisation's share
    Then the planner's line and saffronctl explain name the excess of its organisation
