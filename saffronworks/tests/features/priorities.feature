Feature: priorities of requests for decode memory

  Scenario: requests of one priority are planned as without priorities
    Then for any requests of one priority, releases and reports the replies are the same

  Scenario: the order of waiters
    Given a full plan with waiters of several priorities
    Then in-time waiters come before late ones, ordered by priority and then by deadline
    And an organisation above its share comes after others of its priority

  Scenario: a less urgent class is not starved
    Given a full plan with many urgent waiters and few less urgent ones
    Then after eight successive grants to urgent waiters a less urgent one gets the next grant
    And each of several less urgent classes gets grants
    And a class with few requests gets no greater share of them than urgent callers get
    And waiters that fit nowhere do not block urgent ones
    And the forecast order is the order of grants

  Scenario: rejections with several priorities
    Given a full plan with requests of several priorities
    Then a retry that would leave before its grant is rejected at the next tick
    And a retry that was not rejected at first is not rejected later
    And a first attempt is rejected after an eighth of its target, or after 150 ms without one
    And a first attempt that would leave before its grant is rejected at the next tick
    And an urgent caller gets a shorter retry delay than bulk that was rejected earlier
    And half a minute after the last request of other priorities they have no effect

  Scenario: an endpoint is reserved for an urgent request that fits nowhere
    Given a plan in which an urgent request fits nowhere, and a smaller one of the bulk would
    Then the bulk gets no grant on the endpoint with most room, but on another one
    And the urgent request gets the memory that becomes free there, and then the bulk the rest
    And with one priority the smaller request is granted
    And a class that is due may use the reserved endpoint
    And the number of reserved endpoints follows the rate of urgent requests and its deviation

  Scenario: log lines and metrics by priority
    Given a planner that grants an urgent request and rejects one of the bulk
    Then its log lines and gauges count waiters, grants and rejections by priority

  Scenario: rates of requests
    Then the rate of a priority follows its requests, and lapses after half a minute

  Scenario: priorities out of range
    Then a priority out of range counts as the nearest valid one
