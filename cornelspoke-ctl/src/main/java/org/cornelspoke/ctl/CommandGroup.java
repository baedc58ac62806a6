package org.cornelspoke.ctl;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParametersDelegate;

/** A parent command that groups subcommands, for example {@code account}. */
final class CommandGroup {

  @ParametersDelegate final CommonOptions common;

  private final JCommander parser;

  private CommandGroup(CommonOptions common, JCommander root, String name) {
    this.common = common;
    root.addCommand(name, this);
    this.parser = root.getCommands().get(name);
  }

  static CommandGroup addTo(JCommander root, CommonOptions common, String name) {
    return new CommandGroup(common, root, name);
  }

  CommandGroup addCommand(String commandName, Command command) {
    parser.addCommand(commandName, command);
    return this;
  }
}
