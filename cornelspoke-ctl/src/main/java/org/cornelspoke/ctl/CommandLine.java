package org.cornelspoke.ctl;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.Map;

/**
 * Parses the command line, runs the command and maps failures to exit codes.
 *
 * <p>An instance runs a single command line.
 */
public final class CommandLine {

  static final String PROGRAM = "cornelspokectl";
  private static final int HELP_COLUMNS = 100;

  private final CommonOptions options;
  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates a command line.
   *
   * @param environment variables, used as defaults of options
   * @param out receives the output, with {@code --json} also errors
   * @param err receives error messages
   */
  public CommandLine(Map<String, String> environment, PrintStream out, PrintStream err) {
    this.options = new CommonOptions(environment);
    this.out = out;
    this.err = err;
  }

  /** Runs the command line and returns the exit code. */
  public int run(String... args) {
    JCommander root = buildParser();
    try {
      root.parse(args);
    } catch (ParameterException e) {
      String message = e.getMessage().lines().findFirst().orElse("usage error");
      return reportFailure(CommandException.usage(message));
    }
    JCommander selected = root;
    String fullName = PROGRAM;
    while (selected.getParsedCommand() != null) {
      fullName += " " + selected.getParsedCommand();
      selected = selected.getCommands().get(selected.getParsedCommand());
    }
    if (options.isHelpRequested()) {
      out.print(helpText(fullName, selected));
      return ExitCodes.OK;
    }
    if (!(selected.getObjects().get(0) instanceof Command command)) {
      return reportFailure(
          CommandException.usage(
              "a command is missing; one of "
                  + String.join(", ", selected.getCommands().keySet())));
    }
    try {
      return command.run(createContext());
    } catch (CommandException e) {
      return reportFailure(e);
    }
  }

  private CommandContext createContext() throws CommandException {
    ApiClient client = new ApiClient(options.endpoints(), options.token(), options.timeoutMillis());
    return new CommandContext(
        options, client, new Console(out, options.isJsonOutput()), new SecretGenerator());
  }

  private int reportFailure(CommandException failure) {
    if (options.isJsonOutput()) {
      new Console(out, true).printJson(failure.json());
    } else {
      err.println(PROGRAM + ": " + failure.getMessage());
    }
    return failure.exitCode();
  }

  private static String helpText(String fullName, JCommander selected) {
    StringBuilder text = new StringBuilder();
    if (selected.getCommands().isEmpty()) {
      // JCommander looks up parsed commands by program name, so the full name is set after parsing.
      selected.setProgramName(fullName);
      selected.setColumnSize(HELP_COLUMNS);
      selected.getUsageFormatter().usage(text);
      return text.toString();
    }
    // JCommander's formatter would print the options of all commands.
    text.append("Usage: ").append(fullName).append(" COMMAND [options]\n");
    appendCommands(text, fullName, selected);
    return text.append("Run a command with --help for its options.\n").toString();
  }

  private static void appendCommands(StringBuilder text, String prefix, JCommander parent) {
    parent
        .getCommands()
        .forEach(
            (commandName, child) -> {
              String fullName = prefix + " " + commandName;
              if (child.getCommands().isEmpty()) {
                text.append("  ").append(fullName).append("\n      ");
                text.append(parent.getUsageFormatter().getCommandDescription(commandName))
                    .append('\n');
              } else {
                appendCommands(text, fullName, child);
              }
            });
  }

  private JCommander buildParser() {
    JCommander root = JCommander.newBuilder().programName(PROGRAM).addObject(options).build();
    // By default, JCommander reads arguments from a file if one starts with @.
    root.setExpandAtSign(false);
    CommandGroup.addTo(root, options, "account")
        .addCommand("create", new AccountCommands.Create(options))
        .addCommand("list", new AccountCommands.ListAll(options))
        .addCommand("show", new AccountCommands.Show(options))
        .addCommand("set", new AccountCommands.Set(options))
        .addCommand("delete", new AccountCommands.Delete(options));
    CommandGroup.addTo(root, options, "key")
        .addCommand("give", new KeyCommands.Give(options))
        .addCommand("withdraw", new KeyCommands.Withdraw(options))
        .addCommand("list", new KeyCommands.ListAll(options));
    CommandGroup.addTo(root, options, "preset")
        .addCommand("list", new PresetCommands.ListAll(options))
        .addCommand("show", new PresetCommands.Show(options))
        .addCommand("set", new PresetCommands.Set(options))
        .addCommand("use", new PresetUseCommand(options));
    CommandGroup.addTo(root, options, "route")
        .addCommand("list", new RouteCommands.ListAll(options))
        .addCommand("set", new RouteCommands.Set(options))
        .addCommand("delete", new RouteCommands.Delete(options));
    CommandGroup.addTo(root, options, "data-centre")
        .addCommand("evacuate", new DataCentreCommands.Evacuate(options))
        .addCommand("restore", new DataCentreCommands.Restore(options))
        .addCommand("list", new DataCentreCommands.ListAll(options));
    CommandGroup.addTo(root, options, "quarantine")
        .addCommand("list", new QuarantineCommands.ListAll(options))
        .addCommand("release", new QuarantineCommands.Release(options));
    CommandGroup.addTo(root, options, "upstream")
        .addCommand("list", new StatusCommands.UpstreamList(options));
    CommandGroup.addTo(root, options, "member")
        .addCommand("list", new MemberCommands.ListAll(options))
        .addCommand("add", new MemberCommands.Add(options))
        .addCommand("promote", new MemberCommands.Promote(options))
        .addCommand("remove", new MemberCommands.Remove(options));
    CommandGroup.addTo(root, options, "operator")
        .addCommand("list", new OperatorCommands.ListAll(options))
        .addCommand("set", new OperatorCommands.Set(options))
        .addCommand("delete", new OperatorCommands.Delete(options));
    CommandGroup.addTo(root, options, "config")
        .addCommand("show", new StatusCommands.ConfigShow(options));
    root.addCommand("status", new StatusCommands.Status(options));
    root.addCommand("audit", new StatusCommands.Audit(options));
    return root;
  }
}
