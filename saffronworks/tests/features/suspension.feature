Feature: a VM that is suspended for seconds

  # The usual monotonic clock stops while a VM is suspended. A node that measured durations with it
  # would treat an expired duty, plan, reservation or idle connection as valid after a resume, and
  # would continue a wait for its remaining time.

  Scenario: the clock of a node includes the time of a suspension
    When a VM is suspended for 30 seconds
    Then the clock of its node includes them
    And a duty, a plan and an idle connection of its node have expired

  Scenario: waits end on time
    When a VM is suspended for 30 seconds while a node waits for 30
    Then the wait ends at once

  # Guards against a sound endpoint that counts as unreachable because its node did not run.
  Scenario: a process is suspended while it connects
    When a node is suspended for 700, 900 and 1500 ms while it connects to an endpoint that accepts
    Then each request gets a direct connection, and the path stays in use

  # Guards against a bound on connections that a busy process extends without end.
  Scenario: the timeout of a process that is suspended again and again
    When a process is suspended for 200 ms again and again while nothing replies for 300 ms
    Then its timeout ends within 900 ms

  # Guards against a bound on connections that a long suspension extends by its own length.
  Scenario: the timeout of a process that was suspended for long
    When a process is suspended for 1500 ms once while nothing replies for 300 ms
    Then its timeout ends within 2200 ms

  Scenario: no duration is measured with another clock
    Then no module of the product except clocks.py reads a clock or starts an event loop
