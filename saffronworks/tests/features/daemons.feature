Feature: daemons as separate processes

  Scenario: SIGTERM lets a running stream end, then the daemon exits 0
    When a daemon with a running stream gets SIGTERM
    Then the stream ends whole and the daemon exits 0

  # Guards against streams that a SIGHUP, as log rotation sends it, cuts off.
  Scenario: SIGHUP does not end a daemon
    When a daemon with a running stream gets SIGHUP, and SIGTERM a moment later
    Then the stream ends whole and the daemon exits 0

  # Guards against streams that the end of a daemon's drain aborts without their outcome.
  Scenario: SIGTERM cuts a stream that outlasts the drain, then the daemon exits 0
    When a daemon with a stream that takes longer than its drain gets SIGTERM
    Then the stream tells its outcome and is cut, and the daemon exits 0
    And the engines hold nothing in the end

  Scenario: a daemon is killed in the middle of streams
    When one of three daemons is killed under streams
    Then the answers through the other daemons are whole
    And nobody was told not run for a request that an engine took
    And the engines hold nothing in the end

  Scenario: a daemon is frozen past its lease and wakes
    When one of three daemons is frozen past its lease under streams
    Then the engines hold nothing while it is frozen
    And after it wakes no answer is torn or doubled
    And the engines hold nothing in the end

  Scenario: bad settings give every finding and exit code 2
    When a daemon is started with bad settings
    Then it exits with code 2 and names both fields
