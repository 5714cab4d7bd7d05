Feature: planned decode memory

  Scenario: the foreseen peak is the most that runs have at one time
    Then for any runs the foreseen peak is that of a token by token play

  Scenario: what is granted leaves room in every endpoint for longer answers
    Then whatever is asked, released and reported, foreseen peaks leave the margin free
    And a small memory keeps room for as many answers beyond the plan as a large one
    And an endpoint whose slots are taken gets nothing, however much memory is free

  Scenario: those who can be in time come first, and no one is refused who is foreseen in time
    Given a plan whose only endpoint is full
    Then a late one does not pass one who can be in time
    And one who returned takes its turn with those who come first, by the time that each has left
    And one whose turn is not foreseen in time is told to return, later ones later
    And one who returned is kept waiting

  Scenario: no place is granted whose prompt would wait long for its reading
    Given a plan with free memory and a single reader
    Then places are granted as fast as prompts are read, the most pressing first
    And one who fits is not refused while its reading is foreseen in time
    And one whom only endpoints short of memory could read for in time is told to return
    And an endpoint that failed a request gets nothing for a while

  Scenario: what one node meets at an endpoint, all nodes are spared
    Given a plan that hears from a node that an endpoint failed its request
    Then requests of other nodes go elsewhere for a while, and are granted if there is no other
    And when it fails again right after that, it is left alone for twice as long
    And what is known of endpoints that are gone is forgotten

  Scenario: how long answers become is learnt
    Then an answer that has reached its hint is expected to go on for half as long again
    And after many answers that ended at their hints hardly anything more is expected
    And whatever was learnt, no more is expected than an answer may have
    And for any answers it is what a naive mean over the longer ones gives

  Scenario: reports tell how far runs are
    Given a plan whose runs made more than was likely
    Then their endpoint has less room than one whose runs made little
    And an endpoint whose run came to a halt gets nothing for a while

  Scenario: a grant that found no room
    Given a plan that granted a place where there was no room
    Then the endpoint is asked for no other place until one of its runs ends
    And the reader is not taken for busy with the prompt

  Scenario: readers share the prompts
    Given a plan with two readers in different zones
    Then prompts go to the nearer one first, then to the one that is free first
    And a reader that takes long gets fewer prompts
    And prompts without tokens leave its pace as it is
    And without readers each decode endpoint reads one prompt at a time
    And while readers are busy a decode endpoint reads by itself only if much of its memory is free

  Scenario: a burst does not wear the planner out
    Given a plan with many endpoints that are all full, and many who wait
    Then a tick looks at each endpoint a few times at most, and a report at none

  Scenario: a planner that is new, or that stood still, does not plan before it has heard all
    Given a planner that is asked for the first time
    Then it sends the asker to the endpoints until it has heard the reports
    And not any more once each node has told what runs there, be it nothing
    And who waited for a node that is gone is sent on in a moment
    And after it stood still it does so again

  Scenario: a planner that only hears reports knows which runs are over
    Given a second planner that heard the reports of many short runs
    Then it counts those of the newest report alone
    And a grant that a report crossed on its way is counted on

  Scenario: runs of a node that is gone are forgotten
    Given a plan with runs of two nodes of which one reports no more
    Then only the runs of the other one remain

  Scenario: all nodes choose the same planner, a strong one
    Given a census of strong and weak nodes
    Then every node chooses the same strong node, and two nodes receive the reports
    And if the chosen node does not answer, the other receiver is chosen, and both get reports
    And a node that does not answer is asked less and less often, until it answers
    And a weak node is chosen when no strong one is left

  Scenario: a planner that does not answer holds nobody up
    When a node asks a planner that is gone
    Then it goes on without within a tenth of a second, and passes that planner over

  Scenario: nodes that start together plan at once
    When the first ask reaches a planner that has just started with the other nodes
    Then it grants at once, as each node has told that nothing runs
    And a node that has just started passes a silent planner over for a moment only

  Scenario: nodes plan together
    Given two nodes of which one plans
    When the other one asks for more than fits
    Then it is granted what fits, waits for the rest, and gets it after a release

  Scenario: the planner counts on a granted place until it is given up
    When the planner grants memory, the prompt is prefilled, and the decode endpoint is unreachable
    Then the prefill is reported to the planner, and the end only when the memory is released
    And after a rejected hold the planner is asked again without reporting an end

  Scenario: a node that starts again takes part in planning at once
    When a node enters itself in a store where others have entered before
    Then it knows all of them at once, not only at the second count
