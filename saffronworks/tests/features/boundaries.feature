Feature: values from outside

  # Guards against a node that ends, or a service that fails for good, because of one number of an
  # endpoint, a caller, a peer or the store: what comes out must have an encoding.
  Scenario: whatever ids a stream has, its progress can be reported to other nodes
    Then with any ids of events, the report of the stream's node can be encoded

  Scenario: whatever a peer sends, a node drops it or can send on what it makes of it
    Then with any values in the fields of messages, a node's answers can be encoded

  Scenario: whatever the store holds, an entry or a configuration is read, or rejected with findings
    Then with any values in their fields, what is read fits messages and header fields

  # Guards against header fields that an endpoint smuggles into requests to another endpoint, and
  # against handles that raise when a request line is made of them.
  Scenario: a handle of an endpoint that a header field can't hold is rejected
    Then with any reservation or handle from an endpoint, it is rejected or fits a header field

  # Guards against callers' connections that are closed without an answer, because the head of an
  # endpoint's answer can't be sent on.
  Scenario: a caller gets a whole answer whatever the endpoint's status and fields are
    When endpoints answer with statuses that have no body or don't exist, and with odd fields
    Then each caller gets one whole answer, and no success that the endpoint didn't send

  # Guards against the same after a failure of the node's own.
  Scenario: a request whose handling raises is answered with its id, or cut if its answer began
    When the handling of a request raises before its answer, and of another one inside it
    Then the first caller gets status 500 with its request's id, and the second no proper end

  # Guards against loops that end, and requests without an answer, on nodes of the own deployment.
  Scenario: whatever engines and the store of the own deployment reply, it is read or a failure
    Then with any replies of an engine, its calls return a failure or what can be sent on
    And with any replies of the store and any values in it, reading them returns a result

  Scenario: whatever bytes a caller's fields have, they reach the endpoint or are rejected
    Then with any text in a caller's target and fields, a request to an endpoint can be made of them
    And with any relay field of another node, it is read or rejected
