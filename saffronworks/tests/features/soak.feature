Feature: a soak of real processes under faults that overlap

  Scenario: a seed stands for its faults
    Then the same seed draws the same faults, another one others
    And over some seeds every kind of fault is drawn, and faults overlap

  Scenario: long turns of nodes that stop come on top of the other faults
    Then a seed with long turns draws the same faults, and turns that lie apart
    And a turn takes long after its signal

  Scenario: each fault of the store is felt by who calls it
    Then a store that is at fault answers late, refuses, loses its answer or its history

  # Large sites did not end: one event loop had to carry all links of all nodes.
  Scenario: proxies run in processes of their own
    When a proxy in a process of its own resets, carries again and refuses, and stands still
    Then connections are carried, reset and refused like that, and the stall is known

  # Such connections used up the descriptors of a late proxy.
  Scenario: a proxy holds no connection that was given up
    When a caller ends its connection before the proxy carries it
    Then the proxy closes both of its sockets at once

  Scenario Outline: a soak finds what breaks a promise
    Given what was seen of a request that <case>
    Then the soak tells that <promise> does not hold

    Examples:
      | case                                           | promise                   |
      | got half of its stream                         | answers_are_whole         |
      | got an answer without signature                | answers_are_whole         |
      | may run once and ran twice                     | once_at_most              |
      | was told that it did not run though it did     | refusals_are_true         |
      | got nothing until long after its deadline      | answered_in_time          |
      | runs on though its caller left                 | gone_work_ends            |
      | reached an endpoint long after it left         | leaving_get_nothing       |
      | went by an older configuration                 | newest_version            |
      | was sent again and again                       | extra_sends_bounded       |
      | broke while its node was stopped as planned    | planned_stops_cut_nothing |
      | was refused after all faults were over         | calm_again                |
      | ended endpoint after endpoint                  | deadly_reach_few          |
      | shared a part that ended endpoint after endpoint | parts_reach_few         |
      | had a key that was taken away long before      | taken_keys_reach_none     |
      | ran far beyond the quota of its organisation   | quotas_hold               |
      | came again far beyond the limit of its endpoint | limits_hold               |
      | came long after its endpoint said that it drains | draining_get_nothing     |
      | came again and again in a pause of its endpoint | pauses_hold               |
      | failed like many others as the paths of its node were cut | partitioned_serve |
      | failed as the paths of its node were cut and another one stopped | partitioned_serve |
      | failed like many others that its node read in a surge | surged_serve       |
      | has events of two versions in one answer       | one_version_each          |
      | was resumed at another version                 | one_version_each          |
      | was refused like many others that were resumed | resumed_go_on             |
      | rested on a connection that its node closed early | kept_connections_stay  |
      | rested on a connection that its node closed early, beside a small lag | kept_connections_stay |
      | rested on a connection that its node closed early, beside a lag of others | kept_connections_stay |
      | got an answer without end that was read on     | endless_answers_end       |
      | was lost while its endpoint paused             | pauses_lose_nothing       |
      | was sent long after SIGTERM, passed on and cut | stops_lose_nothing        |
      | was cut in a stop before its last sixth        | stops_lose_nothing        |
      | was long, cut before the last sixth and made whole by its endpoint | stops_lose_nothing |
      | was cut in a stop though its endpoint had ended its work | stops_lose_nothing |
      | was cut in a stop after its prompt was read    | stops_lose_nothing        |
      | was held and closed in a stop                  | stops_lose_nothing        |
      | was one of four that were closed without an answer | closes_lose_few       |
      | was at a node that outlived its grace          | stops_end_in_grace        |
      | was at a node that outlived its grace after its own freeze | stops_end_in_grace |
      | continued elsewhere while its endpoint worked on | continued_alone         |
      | came again, continued elsewhere and ran on from its first send | continued_alone |
      | was prefilled elsewhere while its endpoint worked on | continued_alone     |
      | continued elsewhere while its endpoint was suspended | continued_alone     |
      | is a page that ran again while its endpoint worked on | continued_alone    |
      | is a page that ran again, and its suspended endpoint worked on | continued_alone |

  Scenario Outline: what the node has kept breaks no promise
    Given what was seen of a request that <case>
    Then the soak finds nothing

    Examples:
      | case                                                    |
      | came again within what its endpoint tolerates          |
      | came long after that at a node that has started since   |
      | came twice in a pause of its endpoint                   |
      | failed right after the paths of its node were cut       |
      | failed as the paths of all nodes were cut               |
      | failed in a planned stop of its node, whose paths were cut |
      | came unread in a surge as the paths of its node were cut |
      | was one of few that failed of those read in a surge     |
      | was served                                              |
      | rested on a connection that a planned stop closed       |
      | rested on a connection whose last answer was read late  |
      | got an answer without end that was closed               |
      | was resumed at its version                              |
      | was resumed while one endpoint of its version served    |
      | was broken by a kill across a planned stop of its node  |
      | was sent soon after SIGTERM and cut at the end of the grace |
      | was long, cut at the end of the grace and made whole by its endpoint |
      | was closed in a stop as it came                         |
      | was held and closed in a stop on a new connection       |
      | was one of three that were closed without an answer     |
      | was one of four that were closed while their endpoint was suspended |
      | was cut by a kill across a stop                         |
      | was broken off by its endpoint in a stop                |
      | reached its timeout in a stop                           |
      | was cut in a stop as its endpoint had restarted         |
      | was at a node that outlived its grace in a stall of the soak |
      | was prefilled elsewhere and its endpoint stopped soon |
      | came again, continued elsewhere and soon ended          |
      | continued elsewhere and its endpoint stopped soon       |
      | continued elsewhere while the path to its endpoint was cut |
      | is a page that ran again while its endpoint was suspended |
      | ran on at a suspended endpoint though its caller left   |

  Scenario: a suspended endpoint behaves like a suspended process
    When an endpoint is suspended while it is asked
    Then it accepts the connection, answers only after it is resumed, and then sees a close

  # Its proxy is another process, and refuses connections a little later.
  Scenario: an endpoint that has ended takes no request until it restarts
    When an endpoint is asked after its end and after its restart
    Then only the later request runs

  Scenario: an endpoint sends some answers a second time
    When an endpoint sends each answer again on its connection
    Then the second copy comes late, with the id of the first, and never into another answer

  Scenario: a stop is that of one process, whatever is started meanwhile
    When a process is killed and another one started while it is stopped as planned
    Then the stop has ended, and the other one runs on

  Scenario: a short soak breaks no promise
    When two nodes are soaked for some seconds
    Then no promise was broken, and callers were served

  Scenario: runs side by side on one machine have addresses of their own
    When two runs draw more addresses than a block has, from the same block on
    Then no address is drawn by both
