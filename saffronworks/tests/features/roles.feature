Feature: endpoints change between prefill and decode as demand shifts

  Scenario: a saturated role gets an endpoint of the other role after it is drained
    Given a cell whose decode slots are all taken and whose prefill endpoints are idle
    When the load lasts while a KV result waits at one of them
    Then that prefill endpoint gets neither new work nor an order while its KV result waits
    And once drained it gets an order to decode, with the fence that the store issued
    And it takes decodes only after it has accepted the order

  Scenario: a short peak and a balanced load change nothing
    Given a cell whose decode slots are all taken and whose prefill endpoints are idle
    When the load lasts for less time than a change needs
    Then no endpoint changes its role

  Scenario: an owner with a stale fence sends no order until it has a new one
    Given a cell with a role change that was ordered
    When the endpoint rejects the order because of a higher fence
    Then the endpoint keeps its role and gets new work
    And the next change takes a new fence first

  Scenario: an order whose reply is lost is confirmed by the endpoint's report
    Given a cell with a role change that was ordered
    When the reply to the order is lost
    Then the same order is sent again
    And a report that shows the new role ends the change

  Scenario: an endpoint that checks no fences gets an order only after the earlier lease has lapsed
    Given the same cell with endpoints that do not check fences
    When the load lasts
    Then no order is sent before the lease and the longest pause after the fence have passed
    And the order asks for a check of the fence just before it is sent

  Scenario: each role keeps an endpoint and no busy endpoint gets an order
    Then over any load and replies both roles keep an endpoint and only idle ones get orders

  Scenario: of two concurrent owners an engine accepts only orders of the one with the later fence
    When two fences are taken for one cell and the earlier holder orders after the later one
    Then the engine has the role that the later holder gave

  Scenario: a small site whose load shifts changes a role and loses no answer
    When callers ask for long answers on a site that may change roles
    Then every answer is whole
    And an engine was ordered from prefill to decode under a fence of the store
