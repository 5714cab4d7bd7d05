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

  Scenario: rejections while several priorities are heard
    Given a full plan that hears several priorities
    Then one who returned and has no turn before it leaves is rejected at the next tick
    And one who returned and was kept is not rejected after it has waited
    And a first caller is rejected after an eighth of its target, without a target after 150 ms
    And a first caller who would leave before its turn is rejected at the next tick
    And an urgent caller is told to return before the bulk that was rejected earlier
    And half a minute after the other priorities all is as without them

  Scenario: rates of asks
    Then the rate of a priority follows its asks, and is forgotten after half a minute

  Scenario: priorities that no configuration gives
    Then a priority that is negative or huge counts as the nearest one that is valid
