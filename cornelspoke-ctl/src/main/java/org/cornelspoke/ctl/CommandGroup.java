package org.cornelspoke.ctl;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParametersDelegate;

/** A word that stands before several commands, for example {@code account}. */
final class CommandGroup {

  @ParametersDelegate final CommonOptions common;

  private final JCommander commander;

  private CommandGroup(CommonOptions common, JCommander root, String name) {
    this.common = common;
    root.addCommand(name, this);
    this.commander = root.getCommands().get(name);
  }

  static CommandGroup addTo(JCommander root, CommonOptions common, String name) {
    return new CommandGroup(common, root, name);
  }

  CommandGroup with(String command, Command implementation) {
    commander.addCommand(command, implementation);
    return this;
  }
}
