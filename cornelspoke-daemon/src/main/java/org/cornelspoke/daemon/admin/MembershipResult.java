package org.cornelspoke.daemon.admin;

/** Answer to a change of the control group's members. */
public sealed interface MembershipResult {

  /**
   * The change is committed.
   *
   * @param index log index of the change
   */
  record Committed(long index) implements MembershipResult {}

  /** The change breaks a rule, for example the learner has not caught up. */
  record Refused(String rule) implements MembershipResult {}
}
