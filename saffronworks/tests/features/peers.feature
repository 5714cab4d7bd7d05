Feature: sockets between nodes

  Scenario: an idle socket is closed and reopened on demand
    Given a node that last sent a message to a peer a minute ago
    When it sends a message to another peer
    Then the socket to the first peer is closed
    And a later message to the first peer arrives

  # Guards against a node that ends with all of its requests because of one event id of an endpoint.
  Scenario: a message that can't be encoded ends no service of the node
    Given two nodes of which one reports more tokens than an integer of a message holds
    When the first one sends another message to the same peer
    Then it arrives, and the first node's services run on

  # Guards against a node whose other peers get no messages after its listener failed.
  Scenario: a node whose listener fails listens again at its address
    Given two nodes of which one lost its listener
    When the other one sends it a message
    Then it arrives, and the failure is counted

  # Guards against descriptors that run out, one for each message to an address that is not valid.
  Scenario: an address that can't be dialled
    When a node sends messages to an address that can't be dialled
    Then each of them is counted as failed, and no socket stays open

  # Guards against a lone node that spends its processor and link on dead peers: each socket dialled
  # again and again by itself, 400 times a second for 195 peers, and kept up to 512 messages.

  Scenario: peers that refuse connections
    When a node sends 300 messages to a peer that refuses connections
    Then few of them are kept, and the peer is dialled again after a pause

  Scenario: all other nodes are dead
    Then 60 or 195 dead peers are dialled 25 times a second at most, and 5 every 1.5 s at least

  # Guards against a connect without an answer, which the kernel repeats less and less often.
  Scenario: a peer loses power and returns
    Given a peer whose connects hang for 12 s, and a node that sends to it
    When the peer returns
    Then a message arrives within 2.4 s

  Scenario: a peer that returns and sends a message first
    Then the next message to its machine needs no pause
    And the pause of a peer shrinks as others are reached again

  # Guards against a peer behind a full link, whose handshake takes longer than a dial may, that gets
  # no message at all.
  Scenario: a peer that is up and slow to connect
    Given a peer that is up and takes 0.8 s to connect
    When a node sends messages to it for 6 s
    Then most of them arrive

  # Guards against a holder of shares or a planner that returns and is passed over for up to 16 s.
  Scenario: a peer that did not answer, and was unreachable, returns
    Given a node that has avoided an unreachable peer for seconds, and sends nothing to it any more
    Then 2.4 s after its return no service of the node avoids the peer
