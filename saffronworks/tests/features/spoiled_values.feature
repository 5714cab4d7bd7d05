Feature: one spoiled value costs what it belongs to, and nothing else

  # Guards against requests, quotas, limits, plans and configurations that are lost for all because
  # one field of one message between nodes is spoiled; the node that it reaches runs on.
  Scenario: values that took effect beyond their own request, endpoint or object
    When one field of a message between three nodes is spoiled, for each value known to spread
    Then all other requests end as without it, and no node keeps an effect of it

  Scenario: any value in any field of a message between nodes
    When one field of a message is spoiled, in plays drawn with a fixed seed
    Then all other requests end as without it, and no node keeps an effect of it

  # Guards against a quota that one request of its organisation uses up for years, and against plans
  # that are wrong for all because of one caller's counts.
  Scenario: a caller states more tokens than any endpoint holds
    Given a service whose endpoints hold 90,000 tokens, one organisation with a quota, one without
    When a caller states a prompt or an answer of 10^15 tokens, between other requests
    Then a prompt that fits nowhere is refused at once, and all other requests are served
    And the planner expects answers that fit into an endpoint

  # Guards against a planner that stays silent for all requests of a service after one of them made
  # it raise.
  Scenario: a request that makes the planner raise
    When one of several requests makes the planner raise before any of them is granted
    Then the planner grants the others

  Scenario: a report that makes the planner raise
    When a report brings a run that makes each step of its plan raise
    Then the plan is dropped, so that a later request begins a new one

  # Guards against all nodes that become unready at once, because each reads the same record.
  Scenario: a record of the store that makes its reader raise
    When each node reads a record that raises, between two others
    Then both others are applied, and no service fails

  Scenario: a holder or planner that leaves one message without an answer
    Then it is avoided, unless it has answered others since

  # Guards against an endpoint that a node sends nothing to for years, and against limits and
  # suspicions that hold for good because they seem to be of the future.
  Scenario: ages, and waits for a retry, that no sound node sends
    Then a message with a negative age or a wait beyond a day is not read
    And a permit that is refused for a day is asked for again within a minute

  # Guards against a command that ends at the first odd line of a log of many nodes.
  Scenario: log lines with spoiled events and numbers
    Then requests are explained from all other lines, whatever bytes a line has
