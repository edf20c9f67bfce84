Feature: Propagation of the configuration
  Every instance applies the newest accepted document and never reverts to an
  older one, whatever the configuration service serves.

  Scenario: Eight instances keep the newest document when the service reverts
    Given a deployment of the document "kandy" with 8 instances
    When revision 2 is published
    Then every instance applies revision 2
    When the configuration service reverts to revision 1
    And another instance starts
    Then every instance applies revision 2
    When the configuration service is unavailable
    Then every instance applies revision 2
