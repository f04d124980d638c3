Feature: Operators edit the rules at the same time
  Two operators show the rules, edit them for a while, and apply them. The
  one who comes second must not undo the first one's change unseen.

  Scenario: The second operator is told what the first one changed
    Given the rules are in force as revision 1
    And Ana and Eva have both seen revision 1
    When Eva gives alerts 5s and applies
    And Ana gives alerts 9s and applies
    Then Eva has revision 2 accepted
    And Ana gets a conflict that names "rules: alerts changed"
    And alerts have 5s

  Scenario: After a conflict the change is made again on what is in force
    Given the rules are in force as revision 1
    And Ana and Eva have both seen revision 1
    When Eva gives alerts 5s and applies
    And Ana gives alerts 9s and applies
    And Ana looks again
    And Ana gives alerts 9s and applies
    Then Ana has revision 3 accepted
    And alerts have 9s

  Scenario: Going back is a new revision
    Given the rules are in force as revision 1
    When Eva gives alerts 5s and applies
    And Eva looks again
    And Eva gives alerts 2s and applies
    Then Eva has revision 3 accepted
    And the history names Eva, Eva, Ana
