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
    And a class that asks seldom waits until it gets the share that urgent callers get
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

  Scenario: an endpoint is kept for an urgent caller that fits nowhere
    Given a plan in which an urgent caller fits nowhere, and a smaller one of the bulk would
    Then the bulk gets nothing at the endpoint with most room, and its place elsewhere
    And the urgent caller gets the memory that becomes free there, and then the bulk what is left
    And with one priority the smaller one is served
    And a class that was passed over too often may use the endpoint
    And as many endpoints are kept as the rate of the urgent asks and its spread require

  Scenario: what operators see of priorities
    Given a planner that serves an urgent caller and rejects one of the bulk
    Then its lines and gauges tell by priority who waits, was granted and was rejected

  Scenario: rates of asks
    Then the rate of a priority follows its asks, and is forgotten after half a minute

  Scenario: priorities that no configuration gives
    Then a priority that is negative or huge counts as the nearest one that is valid
