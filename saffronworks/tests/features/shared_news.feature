Feature: nodes that share store updates

  # Guards against drains and configurations that nodes in touch know late, because publishers are
  # reset, refused, frozen or restarted, or because one answer of the store is large.
  Scenario: series of trouble at one node, at eight and at twelve that share updates
    When publishers and others are struck beside changes of both kinds, in drawn series
    Then each node in touch has each change in force within two seconds

  Scenario: the same at sixty nodes in three zones
    When nodes of three zones are struck beside changes of both kinds, in drawn series
    Then each node in touch has each change in force within two seconds
