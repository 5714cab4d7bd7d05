Feature: the decode speed of each endpoint

  Scenario: a quarter of the engines is slow, and a wave comes
    Given eight engines, two at 0.55 of the usual speed and six at 1.2, under a wave
    Then nine in ten first attempts are in time, and hardly any run is preempted
    And memory forecasts are closer than with one speed for all engines
    And each slow engine gets at most seven tenths of the load of a fast one

  Scenario: for equal engines the plan is the same as without speeds
    Then for any events of runs at one speed, replies are those of a plan without speeds
    And replies are also the same for noisy engines that slow down with their runs
    And an engine with three times the runs of another does not count as slower

  Scenario: one noisy engine
    Given eight equal engines, of which one is 2.5 times as slow for 90 ms of every 600 ms
    Then it is never ejected, and gets at least nine tenths of the load of the others

  Scenario: one engine is twice as fast
    Given eight engines under light load, of which one is twice as fast
    Then the fast one gets more, but less than a third of the load

  Scenario: speeds are soft state of one start
    Given a planner that has learnt that an endpoint is slow
    Then another start of the endpoint begins with the average
    And without samples its speed returns to the average
    And a new planner begins with the average and learns speeds from reports
    And at most a few log lines a second report speed changes, with a count and a sample each

  Scenario: reports with implausible values
    Then for any numbers in reports and releases, speeds stay within bounds
