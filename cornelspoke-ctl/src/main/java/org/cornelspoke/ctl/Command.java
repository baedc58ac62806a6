package org.cornelspoke.ctl;

import com.beust.jcommander.ParametersDelegate;

/** A command of the tool. JCommander sets the annotated fields of the subclasses. */
abstract class Command {

  @ParametersDelegate final CommonOptions common;

  Command(CommonOptions common) {
    this.common = common;
  }

  /**
   * Runs the command.
   *
   * @return the exit code
   * @throws CommandException if the command fails
   */
  abstract int run(CommandContext context) throws CommandException;
}
