Feature: priorities of those who wait for decode memory

  Scenario: with asks of one priority the plan is what it was without priorities
    Then for any asks of one priority, releases and reports the replies are the same

  Scenario: the order of those who wait
    Given a full plan with waiters of several priorities
    Then in-time waiters come before late ones, the more urgent and then the more pressing first
    And an organisation beyond its share comes after others of its priority

  Scenario: a less urgent class is not starved
    Given a full plan with many urgent waiters and few less urgent ones
    Then after eight grants to urgent ones in succession a less urgent one gets the next place
    And each of several less urgent classes gets its turn
    And waiters that fit nowhere keep no place from the urgent ones
    And turns are foreseen in the order in which places are granted

  Scenario: priorities that no configuration gives
    Then a priority that is negative or huge counts as the nearest one that is valid
