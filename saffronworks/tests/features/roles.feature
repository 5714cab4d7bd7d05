Feature: endpoints change between prefill and decode as demand shifts

  Scenario: a role that lacks an endpoint for long enough gets one, once it is empty
    Given a cell whose decode slots are all taken and whose prefill endpoints are idle
    When that lasts while a KV result waits at one of them
    Then one prefill endpoint gets nothing new and no order while its KV result waits
    And when it is empty it is ordered to decode, with the fence that the store gave
    And only when it accepts does it take decodes

  Scenario: a short peak and a balanced load change nothing
    Given a cell whose decode slots are all taken and whose prefill endpoints are idle
    When that lasts for less than the time that a change needs
    Then no endpoint changes its role

  Scenario: an owner whose fence is old gives no more orders until it has a new one
    Given a cell with a role change that was ordered
    When the endpoint refuses since it knows a higher fence
    Then the endpoint keeps its role and takes work again
    And the next change takes a new fence first

  Scenario: an order whose answer was lost is settled by the endpoint's report
    Given a cell with a role change that was ordered
    When the answer is lost
    Then the same order is sent again
    And a report that shows the new role ends the change

  Scenario: at an endpoint that does not check fences an earlier owner's time runs out first
    Given the same cell with endpoints that do not check fences
    When that lasts
    Then no order is sent before the lease and the longest pause have passed since the fence
    And the order asks to look at the fence just before

  Scenario: whatever happens, each role keeps an endpoint and nothing is ordered while busy
    Then over any load, answers, losses and owners the promises of a change hold

  Scenario: two owners for a moment order one site's engine, and only the later one is obeyed
    When two fences are taken for one cell and the earlier holder orders after the later one
    Then the engine has the role that the later holder gave

  Scenario: a small site whose load shifts changes a role and loses no answer
    When callers ask for long answers on a site that may change roles
    Then every answer is whole
    And an engine was ordered from prefill to decode under a fence of the store
