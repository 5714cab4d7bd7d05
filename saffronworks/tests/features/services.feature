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

  # Guards against a node that ends because a probe, claim or write in the background raises.
  Scenario: a background task that raises ends nothing
    Given a service that starts a background task that raises
    When it is sent messages after that
    Then it handles all of them in its first run

  # Guards against a node that serves for good without one of its services, and nobody sees it.
  Scenario: a service that fails again and again makes its node unready until it runs steadily
    Given a service that fails three times in a row
    Then its pauses grow, and it counts as failing until it has run for ten seconds

  # Guards against services that can't run a second time, as they closed or lost what they own.
  Scenario: a node whose services all fail once serves on, and keeps its connections
    Given nodes whose services all fail half a second after their start
    When callers send requests and generations before, during and after that
    Then each gets its answer, each service has failed once, and the nodes are ready

  Scenario: a node with a service that fails again and again is not ready
    Given a node on the platform with a service that fails three times in a row
    Then its readiness fails, and a request that reaches it is served

  # Guards against a planner that fails for good, and with it the plans of all services.
  Scenario: a plan that can't go on is dropped, and the planner's other plans go on
    When one of two plans raises at its tick
    Then only that plan is dropped
