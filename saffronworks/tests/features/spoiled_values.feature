Feature: one spoiled value costs what it belongs to, and nothing else

  # Guards against an endpoint that a node sends nothing to for years, and against limits and
  # suspicions that hold for good because they seem to be of the future.
  Scenario: ages, and waits for a retry, that no sound node sends
    Then a message with a negative age or a wait beyond a day is not read
    And a permit that is refused for a day is asked for again within a minute
