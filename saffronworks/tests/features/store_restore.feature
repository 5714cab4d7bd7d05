Feature: the store is restored from an older copy

  # Guards against listings of a restored store being ignored because their revisions are lower.
  Scenario: a configuration written after a restore is in force in time
    Given two nodes that know more revisions than a copy of the store has
    When the store is restored from the copy and a new configuration adds a route
    Then both nodes serve the new route within two seconds

  # Guards against a watch from a revision of the lost epoch, which skips changes of the new one.
  Scenario: a drain written after a restore takes effect whatever its revision
    Given two nodes that know more revisions than a copy of the store has
    When an endpoint drains before the restored store has passed the revision that nodes know
    Then two seconds later no request reaches that endpoint

  # Guards against an entry of the copy that reverts the endpoint's later entry.
  Scenario: an endpoint that drained before a restore gets no requests after it
    Given two nodes that know more revisions than a copy of the store has
    When the store is restored from a copy in which a draining endpoint is ready
    Then no request reaches that endpoint

  # Guards against changes that are in neither a listing of several pages nor the watch after it.
  Scenario: a listing whose pages are read at different times
    Then the next watch contains a change to an earlier page
    And pages of different epochs are rejected

  Scenario: answers of the store with a malformed epoch
    Then they count as answers of the newest known epoch, and each malformed value is logged once

  # Guards against sends to an endpoint whose removal the copy does not have.
  Scenario: an entry that was removed before a restore
    Given a directory without an entry that is in the copy from which the store is restored
    Then the old entry is not used for six seconds
    And it is used at once when its endpoint has written it again
    And an entry that was draining when it was removed is draining when it is back
    And an entry that the restored store removes again stays removed

  # Guards against two holders of a duty, and a fence below one that was given before.
  Scenario: the duty to order roles is lost in a restore
    Given a node that holds the duty to order roles and one that does not
    When the store is restored from a copy without the duty
    Then the holder claims it again, and orders only after a lease, with a higher fence
    And the other one does not request it until all earlier orders have expired
    And a confirmation that overwrote an object of the later epoch counts as taking it over

  # Guards against shares of quotas and limits that are too large because nodes are missing.
  Scenario: entries of nodes are lost in a restore
    When the store is restored from a copy made before two of three nodes registered
    Then all nodes have registered again within five seconds
    And no node counts fewer than three nodes meanwhile

  # Guards against losing the record of content that crashes endpoints when all nodes stop.
  Scenario: records of quarantined contents are lost in a restore
    Then owners write records of quarantined content again, and remove again what was cleared
