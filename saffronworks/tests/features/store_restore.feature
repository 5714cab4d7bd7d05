Feature: the store is restored from an older copy

  # Guards against listings of a restored store being dropped for their lower revisions.
  Scenario: a configuration written after a restore is in force in time
    Given two nodes that know more revisions than a copy of the store has
    When the store is restored from the copy and a new configuration adds a route
    Then both nodes serve the new route within two seconds

  # Guards against a watch from a revision of the lost epoch, which skips changes of the new one.
  Scenario: a drain written after a restore is followed whatever its revision
    Given two nodes that know more revisions than a copy of the store has
    When an endpoint drains before the restored store has passed the revision known before
    Then two seconds later no request reaches that endpoint

  # Guards against an entry of the copy that takes back what the endpoint's later entry said.
  Scenario: an endpoint that drained before a restore gets no requests after it
    Given two nodes that know more revisions than a copy of the store has
    When the store is restored from a copy in which a draining endpoint is ready
    Then no request reaches that endpoint

  # Guards against changes that are in neither a listing of several pages nor the watch after it.
  Scenario: a listing whose pages are of different moments
    Then a change to an earlier page is in the watch after it
    And pages of different epochs are no listing

  Scenario: answers of the store whose epoch can't be read
    Then they are taken to be of the newest epoch known, and each odd value is logged once

  # Guards against sends to an endpoint whose removal the copy does not have.
  Scenario: an entry that went before a restore
    Given a directory from which an entry went before the store was restored from a copy with it
    Then it is left unused as long as it is the old entry, for six seconds at most
    And it is used at once when its endpoint has written it again
    And one that was draining when it went drains when it is back
    And one that the restored store removes again stays gone

  # Guards against two holders of a duty, and a fence below one that was given before.
  Scenario: the duty to order roles is lost in a restore
    Given a node that holds the duty to order roles and one that does not
    When the store is restored from a copy without the duty
    Then the holder claims it again, and orders only after a lease, with a higher fence
    And the other one does not ask for it until all earlier orders are over
    And a confirmation that overwrote an object of the later epoch counts as taking it over

  # Guards against shares of quotas and limits that are too large, as nodes are not counted.
  Scenario: entries of nodes are lost in a restore
    When the store is restored from a copy made before two of three nodes entered
    Then all nodes have entered again within five seconds
    And no node counted fewer than three meanwhile

  # Guards against a content that ends endpoints being forgotten when all nodes end.
  Scenario: records of quarantined contents are lost in a restore
    Then owners write what is quarantined again, and remove again what was cleared
