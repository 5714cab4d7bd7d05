Feature: the report on service-level burn

  Scenario: windows agree with a naive count
    Given any stream of requests over days
    Then each window counts what a naive search over its buckets counts

  Scenario: nodes' counts add up
    Given any requests spread over three nodes
    Then the merged report counts each of them once

  Scenario: memory stays bounded at 29,000 organisations
    Given one request of each of 29000 organisations and many of one
    Then the series stay within their bound and no request is lost
    And the busy organisation keeps a row of its own

  Scenario: a burn in both windows alerts
    Given a model that fails 2 of 100 requests for an hour
    Then the report has a page for its failures

  Scenario: a burn rises when the engines die
    When callers ask before and after all decode engines die
    Then the burn of failures has risen in the report of every node
    And its plot is written
