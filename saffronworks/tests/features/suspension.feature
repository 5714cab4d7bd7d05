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

  Scenario: no duration is measured with another clock
    Then no module of the product except clocks.py reads a clock or starts an event loop
