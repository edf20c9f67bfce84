Feature: Configuration between instances
  The newest accepted document is in force everywhere and never reverts,
  whatever the configuration service serves.

  Scenario: Eight instances keep the newest document while the service reverts
    Given a deployment of the document "kandy" with 8 instances
    When revision 2 is published
    Then every instance comes to revision 2
    When the service serves revision 1 again
    And an instance starts beside it
    Then every instance comes to revision 2
    When the service is down
    Then every instance comes to revision 2
