Feature: the decode speed of each endpoint

  Scenario: a quarter of the engines is slow, and a wave comes
    Given eight engines, two at 0.55 of the usual speed and six at 1.2, under a wave
    Then nine in ten first callers are in time, and hardly a run is put back
    And the memory that the plan foresees is nearer to what is held than at one speed for all
    And each slow engine gets at most seven tenths of the load of a fast one

  Scenario: the plan of engines that do not differ is the one without speeds
    Then for any events of runs at one speed, choices are those of a plan without speeds
    And so they are for noisy engines that slow down with their runs
    And an engine that has three times the runs of another is not taken for slower

  Scenario: one noisy engine
    Given eight equal engines, of which one is 2.5 times as slow for 90 ms of every 600 ms
    Then it is never shunned, and gets nine tenths of the load of the others at the least

  Scenario: one engine is twice as fast
    Given eight engines under light load, of which one is twice as fast
    Then the fast one gets more, but less than a third of the load

  Scenario: speeds are soft state of one start
    Given a planner that has learnt that an endpoint is slow
    Then another start under its name begins with the average
    And without samples it returns to the average
    And a planner that starts anew begins with the average and learns it from reports
    And few log lines a second tell of it, with a count and a sample each

  Scenario: reports with values that no engine can have
    Then for any numbers in reports and releases, speeds stay within bounds
