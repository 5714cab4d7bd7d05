Feature: endpoints that advertise that they drain, or ask for a pause

  # Seen by users: an endpoint had said in its answers that it drains, while the store was away; nodes
  # that had passed such answers on sent it 18 more requests after the two seconds that they have.
  # Aim: later than that no request of a caller goes from such a node to that endpoint.
  Scenario: an endpoint drains while the store is away
    Given three endpoints of a service
    When one of them drains while the store is silent, and callers ask for 24 requests a second
    Then it gets no request that was sent two seconds after its node had passed such an answer on
    And all callers are served

  # Seen by users: an endpoint had rejected a request with 503 and Retry-After 3, and got four more
  # from that node within the three seconds.
  # Aim: two at most, from half a second after the answer on.
  Scenario: an endpoint asks for a pause
    Given three endpoints of a service, of which one is in the nodes' availability zone
    When that one rejects all and asks for a pause of 4 s, and callers ask for 12 requests a second
    Then no node sends it more than two requests from half a second after such an answer to the pause's end
    And all callers are served
