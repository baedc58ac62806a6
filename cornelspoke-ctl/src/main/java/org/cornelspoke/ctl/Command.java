package org.cornelspoke.ctl;

import com.beust.jcommander.ParametersDelegate;

/** One command of the tool. JCommander sets the fields of the implementations. */
abstract class Command {

  @ParametersDelegate final CommonOptions common;

  Command(CommonOptions common) {
    this.common = common;
  }

  /**
   * Runs the command.
   *
   * @return the exit code
   * @throws CommandException if the command did not succeed
   */
  abstract int run(Session session) throws CommandException;
}
