Feature: a VM that is suspended for seconds

  # While a VM is suspended the clock that spans were counted on stands still. After a resume a
  # duty, a plan, a reservation or a resting connection would look as young as before, and a wait
  # would go on for what was left of it: the node would act on what is long over.

  Scenario: the steady clock counts the time of a suspension
    When a VM is suspended for 30 seconds
    Then the steady clock of its node shows them
    And a duty, a plan and a resting connection of its node are over

  Scenario: waits end when they would have ended
    When a VM is suspended for 30 seconds while a node waits for 30
    Then the wait is over at once

  Scenario: no span is counted on another clock
    Then no module of the product but the clocks asks for the time, or runs another event loop
