package org.cornelspoke.daemon.admin;

/** Result of a change of the control group's members. */
public sealed interface MembershipResult {

  /**
   * The change is committed.
   *
   * @param index log index of the committed entry
   */
  record Committed(long index) implements MembershipResult {}

  /**
   * The change is not made.
   *
   * @param reason why the change is refused, for example that the learner has not caught up
   */
  record Refused(String reason) implements MembershipResult {}
}
