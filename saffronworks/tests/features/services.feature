Feature: services that fail

  # Guards against a node that ends with all of its requests because one of its services raises.
  Scenario: a service that raises is restarted, and keeps its mailbox
    Given a service that raises twice when it starts, and another one
    When both are sent messages meanwhile
    Then both handle all of them

  # Guards against messages that are lost because another one before them is spoiled.
  Scenario: a message whose handler raises is dropped alone
    Given a service that can't handle one of its messages
    When it is sent that one between others
    Then it handles the others in its first run, and one is counted as dropped

  # Guards against a node that serves for good without one of its services, and nobody sees it.
  Scenario: a service that fails again and again makes its node unready until it runs steadily
    Given a service that fails three times in a row
    Then its pauses grow, and it counts as failing until it has run for ten seconds
