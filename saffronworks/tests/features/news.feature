Feature: few nodes of a zone ask the store, and tell the others

  Scenario: calls go with zones, not with nodes
    Then in a zone of forty nodes two ask, and all know a change at once
    And in a zone of eight each asks by itself, as often as it did

  Scenario: who tells falls silent
    Then when both are dead the others know a change in time, and the next pair tells
    And when both are cut off from the store the same holds
    And when they are back they tell again, and the others ask no more

  Scenario: news that can't be taken as they are
    Then old news change nothing, and news with a gap make a node ask
    And a node that missed news asks the store once, and knows all
    And news that are too large to send make a node ask
    And an answer that came late is no news

  Scenario: a node that is cut off from the store hears of it
    Then it goes by what others tell it
    And one that tells the others, and loses its watch, goes by what the other one tells

  Scenario: the strong nodes of a zone tell
    Then weak ones do so only where there are too few strong ones
    And nodes that have just counted each other do not all tell

  # Guards against nodes that order what others tell by revisions of different epochs.
  Scenario: the store is restored from an older copy
    Then few nodes list it anew, and all know its changes in time, whatever their revisions
    And news of an earlier epoch, or of a node that knows none, change nothing
    And a watch that waits in an earlier epoch ends once any answer shows the later one
