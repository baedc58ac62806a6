package org.cornelspoke.ctl;

/** Exit codes of the tool; docs/operators/exit-codes.md explains them to operators. */
final class ExitCodes {

  static final int OK = 0;
  static final int REFUSED = 1;
  static final int USAGE = 2;
  static final int CONFLICT = 3;
  static final int NOT_AUTHORISED = 4;
  static final int UNREACHABLE = 5;
  static final int NOT_IN_FORCE_EVERYWHERE = 6;

  private ExitCodes() {}
}
